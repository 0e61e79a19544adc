"""The program `fulmar-entry` on the users' platform."""

from __future__ import annotations

import asyncio
import sys
from typing import Final
from typing import TYPE_CHECKING

import click

from fulmarscale.cli._common import ExitCode
from fulmarscale.cli._common import make_stop_event
from fulmarscale.cli._common import read_vm_settings
from fulmarscale.cli._common import settings_options
from fulmarscale.cli._common import wait_for_any
from fulmarscale.cli._settings_watcher import SettingsWatcher
from fulmarscale.entry.jobs.process import DispatchProcess
from fulmarscale.listeners.http_admission import RequestAdmission
from fulmarscale.listeners.http_server import AsgiServer
from fulmarscale.logs import configure_logs
from fulmarscale.logs import EventLog
from fulmarscale.logs import NonBlockingStream
from fulmarscale.platform.asgi import CRASHES_PATH
from fulmarscale.platform.asgi import MetricsApp
from fulmarscale.platform.ingress import IngressApp
from fulmarscale.platform.ingress import ReadinessApp
from fulmarscale.platform.store import RowStoreClient
from fulmarscale.platform.table_follower import DurableJobFollower
from fulmarscale.platform.table_follower import make_agent_follower
from fulmarscale.platform.table_follower import make_site_follower
from fulmarscale.settings import SiteEntrySettings
from fulmarscale.settings import split_address

if TYPE_CHECKING:
    from pathlib import Path

PROGRAM: Final = "fulmar-entry"
"""The program's name in its log."""

STDOUT_FD: Final = 1
"""File descriptor of the standard output."""


async def run(path: Path, settings: SiteEntrySettings) -> ExitCode:
    """Run an entry until a signal stops it or an invariant is violated.

    :param path: the settings file, which is reloaded when it changes.
    :param settings: its present content.
    """
    stop = make_stop_event()
    log = EventLog(PROGRAM, settings.name)
    store = RowStoreClient(settings.store_address)

    def apply_settings(changed: SiteEntrySettings) -> None:
        store.set_address(changed.store_address)

    watcher = SettingsWatcher(path, settings, apply_settings, log)
    watcher.start()
    process = DispatchProcess(
        settings.name,
        settings.data_centre,
        store,
        log,
        settings.far_factor,
    )
    admission = RequestAdmission(
        settings.requests, settings.memory_mb, log, settings.streams
    )
    process.metrics.add_admission(admission)
    ready = AsgiServer(
        ReadinessApp(process),
        *split_address(settings.ready_address),
        admission=admission,
    )
    ingress = AsgiServer(
        IngressApp(process, log),
        *split_address(settings.caller_address),
        settings.caller_connections,
        admission,
        lambda: process.site.max_body_bytes,
    )
    metrics = AsgiServer(
        MetricsApp(process.metrics, {CRASHES_PATH: process.render_crashes}),
        settings.address,
        settings.metrics_port,
        admission=admission,
    )
    followers = (
        make_site_follower(
            store,
            process.adopt_site_config,
            log,
            process.confirm_site_config,
        ),
        make_agent_follower(store, process.update_agents, log),
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
    admission.close()
    return ExitCode.INVARIANT if process.failed.is_set() else ExitCode.OK


@click.command()
@settings_options
def main(settings_path: Path, check_settings: bool) -> None:
    """Accept jobs from the platform's callers and dispatch their tasks."""
    settings = read_vm_settings(settings_path, SiteEntrySettings)
    if check_settings:
        click.echo("the settings are valid")
        return
    stream = NonBlockingStream(STDOUT_FD, PROGRAM, settings.name)
    configure_logs(stream)
    try:
        exit_code = asyncio.run(run(settings_path, settings))
    finally:
        stream.close()
    sys.exit(exit_code)


if __name__ == "__main__":
    main()
