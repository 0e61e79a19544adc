"""What the command-line programs share."""

from __future__ import annotations

import asyncio
from enum import IntEnum
from pathlib import Path
import signal
import sys
from typing import Any
from typing import TYPE_CHECKING

import click

from fulmarscale import VERSION
from fulmarscale.errors import FulmarError
from fulmarscale.settings import load_settings

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarscale.settings import Settings


class ExitCode(IntEnum):
    """Exit codes of all programs."""

    OK = 0
    FAILED = 1
    USAGE = 2
    SETTINGS = 3
    CONFLICT = 4
    UNREACHABLE = 5
    NOT_DONE = 6
    INVARIANT = 70


def settings_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add the options that every program has."""
    command = click.option(
        "--check-settings",
        is_flag=True,
        help="Check the settings file and end.",
    )(command)
    command = click.option(
        "--settings",
        "settings_path",
        required=True,
        type=click.Path(path_type=Path, dir_okay=False),
        envvar="FULMARSCALE_BOOT",
        help="The JSON settings file.",
    )(command)
    return click.version_option(VERSION)(command)


def read_settings(path: Path, kind: type[Settings]) -> Settings:
    """Read settings, or end the program with a message."""
    try:
        return load_settings(path, kind)
    except FulmarError as error:
        click.echo(str(error), err=True)
        sys.exit(ExitCode.SETTINGS)


def stop_event() -> asyncio.Event:
    """Make an event that SIGTERM and SIGINT set."""
    event = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, event.set)
    return event


async def wait_first(*events: asyncio.Event) -> None:
    """Wait until one of several events is set."""
    waits = [asyncio.create_task(event.wait()) for event in events]
    await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for wait in waits:
        wait.cancel()
