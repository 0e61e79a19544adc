"""Exit codes, common options and helpers of the command-line programs."""

from __future__ import annotations

import asyncio
from enum import IntEnum
import os
from pathlib import Path
import signal
import sys
from typing import Any
from typing import TYPE_CHECKING

import click

from fulmarscale import VERSION
from fulmarscale.errors import FulmarError
from fulmarscale.settings import add_vm_fields
from fulmarscale.settings import load_settings

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarscale.settings import Settings


class ExitCode(IntEnum):
    """Exit codes of all programs."""

    OK = 0
    FAILED = 1
    """A request was rejected."""
    USAGE = 2
    """The command line is invalid; set by click."""
    SETTINGS = 3
    """The settings are invalid or lack a key."""
    CONFLICT = 4
    """Another operator changed the row first."""
    UNREACHABLE = 5
    """No entry responded."""
    NOT_DONE = 6
    """The job's outcome is not `done`."""
    INVARIANT = 70
    """The process stopped because an invariant was violated."""


def settings_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add the options that all programs have to a command."""
    command = click.option(
        "--check-settings",
        is_flag=True,
        help="Check the settings file and exit.",
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


def read_settings(path: Path, settings_type: type[Settings]) -> Settings:
    """Read settings; ends the program with a message if they are invalid."""
    try:
        return load_settings(path, settings_type)
    except FulmarError as error:
        click.echo(str(error), err=True)
        sys.exit(ExitCode.SETTINGS)


def read_vm_settings(path: Path, settings_type: type[Settings]) -> Settings:
    """Read settings, with the VM's fields that only the environment has.

    Ends the program with a message if they are invalid.
    """
    settings = read_settings(path, settings_type)
    try:
        return add_vm_fields(settings, os.environ)
    except FulmarError as error:
        click.echo(str(error), err=True)
        sys.exit(ExitCode.SETTINGS)


def make_stop_event() -> asyncio.Event:
    """Return an event that is set on SIGTERM and SIGINT."""
    event = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, event.set)
    return event


async def wait_for_any(*events: asyncio.Event) -> None:
    """Wait until any of the events is set."""
    tasks = [asyncio.create_task(event.wait()) for event in events]
    await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    for task in tasks:
        task.cancel()
