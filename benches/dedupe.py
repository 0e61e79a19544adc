"""Measures the cost of claiming each submission in the platform's table.

A claim is a row written once for each submission: the simplest way to prevent
a second start, and the alternative to owners that keep submissions in memory.
Claims are written one by one and in batches of one transaction, as a database
writes all rows of a batch in one statement
(see docs/decisions/0001-ownership.md). The table is the stand-in of the
platform, with its rate limits.
"""

from __future__ import annotations

import asyncio
from pathlib import Path
from random import Random
from statistics import median
import subprocess
import sys
import tempfile
import time

import click
import httpx
import msgspec

from fulmarscale.ids import generate_submission_id
from fulmarscale.platform.http_table import TableCheck
from fulmarscale.platform.http_table import TableWrite
from fulmarscale.platform.http_table import Transaction

PORT = 39500
"""Port of the stand-in table."""

JOB_COUNT = 2_000
"""Submissions to claim in each measurement."""

CALLER_COUNT = 64
"""Callers that write claims at the same time."""

CLAIM_VALUE = msgspec.Raw(b'"claimed"')


def make_claim(ids: list[str]) -> bytes:
    """Return the body of one transaction that claims submissions."""
    return msgspec.json.encode(
        Transaction(
            checks=tuple(
                TableCheck(f"claim/{submission_id}", 0)
                for submission_id in ids
            ),
            writes=tuple(
                TableWrite(f"claim/{submission_id}", CLAIM_VALUE)
                for submission_id in ids
            ),
        )
    )


async def measure_claims(url: str, batch: int) -> None:
    """Claim all submissions from parallel callers, and print the figures.

    A rejected write is repeated after a pause.

    :param url: where transactions are posted.
    :param batch: number of claims in one transaction.
    """
    random = Random(1)
    ids = [
        generate_submission_id(time.time(), random) for _ in range(JOB_COUNT)
    ]
    batches = [ids[i : i + batch] for i in range(0, JOB_COUNT, batch)]
    write_times_s: list[float] = []
    rejected = 0

    async def claim_batches(client: httpx.AsyncClient) -> None:
        nonlocal rejected
        while batches:
            claimed_ids = batches.pop()
            began_at = time.monotonic()
            while True:
                reply = await client.post(
                    url, content=make_claim(list(claimed_ids))
                )
                if reply.status_code == httpx.codes.OK:
                    break
                rejected += 1
                await asyncio.sleep(0.05)
            write_times_s.append(time.monotonic() - began_at)

    began_at = time.monotonic()
    async with httpx.AsyncClient(timeout=60) as client:
        await asyncio.gather(
            *[claim_batches(client) for _ in range(CALLER_COUNT)]
        )
    total_s = time.monotonic() - began_at
    click.echo(
        f"claims of {batch}: {JOB_COUNT / total_s:.0f} jobs/s, median"
        f" {median(write_times_s) * 1000:.1f} ms added,"
        f" {rejected} rejected writes"
    )


@click.command()
def main() -> None:
    """Measure claims one by one and in batches."""
    with tempfile.TemporaryDirectory() as folder:
        log = (Path(folder) / "log").open("wb")
        command = [sys.executable, "-m", "standins.platform"]
        process = subprocess.Popen(
            [*command, "--port", str(PORT)], stderr=log, stdout=log
        )
        try:
            time.sleep(1.5)
            url = f"http://127.0.0.1:{PORT}/v1/transactions"
            for batch in (1, 16, 64):
                asyncio.run(measure_claims(url, batch))
                time.sleep(1.1)
        finally:
            process.terminate()
            process.wait()
            log.close()


if __name__ == "__main__":
    main()
