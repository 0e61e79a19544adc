"""The program `fulmar-entry` on the users' platform."""

from __future__ import annotations

import asyncio
import sys
from typing import Final
from typing import TYPE_CHECKING

import click

from fulmarscale.cli._common import ExitCode
from fulmarscale.cli._common import make_stop_event
from fulmarscale.cli._common import read_settings
from fulmarscale.cli._common import settings_options
from fulmarscale.cli._common import wait_for_any
from fulmarscale.cli._reload import SettingsWatcher
from fulmarscale.entry.jobs.process import DispatchProcess
from fulmarscale.http_server import AppServer
from fulmarscale.logs import BoundedStream
from fulmarscale.logs import configure_logs
from fulmarscale.logs import EventLog
from fulmarscale.platform.follow import DurableJobFollower
from fulmarscale.platform.follow import follow_agents
from fulmarscale.platform.follow import follow_site
from fulmarscale.platform.http import MetricsApp
from fulmarscale.platform.ingress import IngressApp
from fulmarscale.platform.ingress import ReadinessApp
from fulmarscale.platform.store import RowStore
from fulmarscale.settings import SiteEntrySettings
from fulmarscale.settings import split_address

if TYPE_CHECKING:
    from pathlib import Path

STDOUT_FD: Final = 1
"""File descriptor of the standard output."""


async def run(path: Path, settings: SiteEntrySettings) -> ExitCode:
    """Run an entry until a signal stops it or an invariant is violated.

    :param path: the settings file, which is reloaded when it changes.
    :param settings: its present content.
    """
    stop = make_stop_event()
    log = EventLog("fulmar-entry", settings.name)
    store = RowStore(settings.store_address)

    def apply_settings(changed: SiteEntrySettings) -> None:
        store.move(changed.store_address)

    watcher = SettingsWatcher(path, settings, apply_settings, log)
    watcher.start()
    process = DispatchProcess(settings.name, settings.data_centre, store, log)
    ready = AppServer(
        ReadinessApp(process), *split_address(settings.ready_address)
    )
    ingress = AppServer(
        IngressApp(process, log),
        *split_address(settings.caller_address),
        settings.connections,
    )
    metrics = AppServer(
        MetricsApp(process.metrics), settings.address, settings.metrics_port
    )
    followers = (
        follow_site(store, process.adopt_site_config, log),
        follow_agents(store, process.update_agents, log),
        DurableJobFollower(store, process.durable_jobs, log),
    )
    process.start()
    for component in (ready, ingress, metrics, *followers):
        component.start()
    await wait_for_any(stop, process.failed)
    if not process.failed.is_set():
        await process.begin_shutdown()
        ingress.drain()
        await process.drain()
    for component in (
        ingress,
        ready,
        metrics,
        *followers,
        process,
        store,
        watcher,
    ):
        await component.close()
    return ExitCode.INVARIANT if process.failed.is_set() else ExitCode.OK


@click.command()
@settings_options
def main(settings_path: Path, check_settings: bool) -> None:
    """Accept jobs from the platform's callers and dispatch their tasks."""
    settings = read_settings(settings_path, SiteEntrySettings)
    if check_settings:
        click.echo("the settings are valid")
        return
    configure_logs(BoundedStream(STDOUT_FD))
    sys.exit(asyncio.run(run(settings_path, settings)))


if __name__ == "__main__":
    main()
