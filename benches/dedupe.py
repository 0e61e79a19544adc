"""Claims in the table against an owner in memory, on the stand-in table.

One claim a job is the simplest way to see that no submission starts twice.
Claims written in sets follow the idea of setting all rows of a batch in one
statement (see docs/decisions/0001-ownership.md).
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

from fulmarscale.ids import mint_submission_id
from fulmarscale.platform.http_table import TableCheck
from fulmarscale.platform.http_table import TableWrite
from fulmarscale.platform.http_table import Transaction

PORT = 39500
JOBS = 2_000
CALLERS = 64
CLAIM = msgspec.Raw(b'"claimed"')


def claim(ids: list[str]) -> bytes:
    """Make one transaction that claims submissions."""
    return msgspec.json.encode(
        Transaction(
            checks=tuple(TableCheck(f"claim/{made}", 0) for made in ids),
            writes=tuple(TableWrite(f"claim/{made}", CLAIM) for made in ids),
        )
    )


async def run(url: str, batch: int) -> None:
    """Claim all jobs, in batches, from several callers."""
    random = Random(1)
    ids = [mint_submission_id(time.time(), random) for _ in range(JOBS)]
    batches = [ids[i : i + batch] for i in range(0, JOBS, batch)]
    spent: list[float] = []
    refused = 0

    async def work(client: httpx.AsyncClient) -> None:
        nonlocal refused
        while batches:
            part = batches.pop()
            began_at = time.monotonic()
            while True:
                reply = await client.post(url, content=claim(list(part)))
                if reply.status_code == httpx.codes.OK:
                    break
                refused += 1
                await asyncio.sleep(0.05)
            spent.append(time.monotonic() - began_at)

    began_at = time.monotonic()
    async with httpx.AsyncClient(timeout=60) as client:
        await asyncio.gather(*[work(client) for _ in range(CALLERS)])
    total_s = time.monotonic() - began_at
    click.echo(
        f"claims of {batch}: {JOBS / total_s:.0f} jobs/s, median"
        f" {median(spent) * 1000:.1f} ms added, {refused} refused writes"
    )


@click.command()
def main() -> None:
    """Measure claims one by one and in sets."""
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
                asyncio.run(run(url, batch))
                time.sleep(1.1)
        finally:
            process.terminate()
            process.wait()
            log.close()


if __name__ == "__main__":
    main()
