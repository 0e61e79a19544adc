"""The program `fulmar-crashes`: which tasks and queues crashed which targets.

It asks one entry on the users' platform; each entry knows the crashes of all
targets that it uses.
"""

from __future__ import annotations

import sys
from typing import Final

import click
import httpx
import msgspec

from fulmarscale.cli._client import print_table
from fulmarscale.cli._common import ExitCode
from fulmarscale.decoding import decode_json
from fulmarscale.entry.jobs.crash_report import CrashReport
from fulmarscale.platform.asgi import CRASHES_PATH

TIMEOUT_S: Final = 5.0

HEADINGS: Final = (
    "age",
    "target",
    "agent",
    "state",
    "queue",
    "task",
    "probability",
    "crashes",
    "given up",
    "confined",
    "runs lost",
)


def fetch_crashes(address: str) -> list[CrashReport]:
    """Return the crashes that an entry knows of, the newest first.

    :param address: IP:port on which the entry serves its metrics.
    :raises httpx.HTTPError: if the entry does not respond.
    :raises msgspec.MsgspecError: if its response is malformed.
    """
    response = httpx.get(f"http://{address}{CRASHES_PATH}", timeout=TIMEOUT_S)
    response.raise_for_status()
    return decode_json(response.content, list[CrashReport])


def to_row(crash: CrashReport) -> tuple[object, ...]:
    """Return a crash as a row of the table."""
    return (
        f"{crash.age_s} s",
        crash.target,
        crash.agent,
        crash.state,
        crash.queue,
        crash.task,
        crash.probability,
        crash.crashes,
        "yes" if crash.is_given_up else "no",
        "yes" if crash.is_confined else "no",
        crash.runs,
    )


@click.command()
@click.argument("address")
def main(address: str) -> None:
    """List the crashes of targets that the entry at ADDRESS knows of.

    ADDRESS is the IP:port on which the entry serves its metrics. The task is
    the most suspected one.
    """
    try:
        crashes = fetch_crashes(address)
    except (httpx.HTTPError, msgspec.MsgspecError) as error:
        click.echo(f"the entry gave no usable response: {error}", err=True)
        sys.exit(ExitCode.UNREACHABLE)
    print_table(HEADINGS, [to_row(crash) for crash in crashes])


if __name__ == "__main__":
    main()
