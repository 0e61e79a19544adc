"""The program `fulmar-agent`, with the table service as its platform."""

from __future__ import annotations

import asyncio
import sys
import time
from typing import TYPE_CHECKING

import click

from fulmarscale.agent.process import AgentProcess
from fulmarscale.agent.target_client import TargetClient
from fulmarscale.cli._common import ExitCode
from fulmarscale.cli._common import make_stop_event
from fulmarscale.cli._common import read_settings
from fulmarscale.cli._common import settings_options
from fulmarscale.cli._common import wait_for_any
from fulmarscale.logs import configure_logs
from fulmarscale.logs import EventLog
from fulmarscale.platform.http_table import HttpTableClient
from fulmarscale.settings import AgentSettings

if TYPE_CHECKING:
    from pathlib import Path


async def run(settings: AgentSettings) -> ExitCode:
    """Run an agent until a signal stops it or an invariant is violated."""
    log = EventLog("fulmar-agent", settings.name)
    platform = settings.platform
    table = HttpTableClient(
        platform.url, platform.timeout_s, platform.authority
    )
    target = TargetClient(
        settings.target_url, settings.result_bytes, time.monotonic
    )
    process = AgentProcess(settings, table, target, log)
    stop = make_stop_event()
    await process.start()
    await wait_for_any(stop, process.failed)
    if not process.failed.is_set():
        await process.drain()
    await process.close()
    return ExitCode.INVARIANT if process.failed.is_set() else ExitCode.OK


@click.command()
@settings_options
def main(settings_path: Path, check_settings: bool) -> None:
    """Run tasks on the target beside this process."""
    settings = read_settings(settings_path, AgentSettings)
    if check_settings:
        click.echo("the settings are valid")
        return
    configure_logs()
    sys.exit(asyncio.run(run(settings)))
