"""The program `fulmar-agent` on the users' platform."""

from __future__ import annotations

import asyncio
import sys
from typing import Final
from typing import TYPE_CHECKING

import click

from fulmarscale.agent.run_process import RunProcess
from fulmarscale.cli._common import ExitCode
from fulmarscale.cli._common import make_stop_event
from fulmarscale.cli._common import read_settings
from fulmarscale.cli._common import settings_options
from fulmarscale.cli._common import wait_for_any
from fulmarscale.cli._reload import SettingsWatcher
from fulmarscale.http_server import AppServer
from fulmarscale.logs import BoundedStream
from fulmarscale.logs import configure_logs
from fulmarscale.logs import EventLog
from fulmarscale.platform.announce import AgentAnnouncer
from fulmarscale.platform.follow import follow_site
from fulmarscale.platform.heartbeats import HeartbeatApp
from fulmarscale.platform.http import MetricsApp
from fulmarscale.platform.runner import Runner
from fulmarscale.platform.store import RowStore
from fulmarscale.settings import SiteAgentSettings
from fulmarscale.settings import split_address

if TYPE_CHECKING:
    from pathlib import Path

    from fulmarscale.platform.heartbeats import Heartbeat

STDOUT_FD: Final = 1
"""File descriptor of the standard output."""

RESTORED_SEQUENCE: Final = -1
"""Sequence number of a restored target, lower than that of any heartbeat."""


async def run(path: Path, settings: SiteAgentSettings) -> ExitCode:
    """Run an agent until a signal stops it or an invariant is violated.

    :param path: the settings file, which is reloaded when it changes.
    :param settings: its present content.
    """
    stop = make_stop_event()
    log = EventLog("fulmar-agent", settings.name)
    store = RowStore(settings.store_address)

    def apply_settings(changed: SiteAgentSettings) -> None:
        store.move(changed.store_address)

    watcher = SettingsWatcher(path, settings, apply_settings, log)
    watcher.start()
    runner = Runner(log)
    address = f"{settings.address}:{settings.stream_port}"
    announcer = AgentAnnouncer(store, settings.name, address, log)
    process = RunProcess(settings.name, settings.data_centre, runner, log)

    def on_heartbeat(heartbeat: Heartbeat) -> None:
        process.see_target(heartbeat.report, heartbeat.sequence)
        target = process.guard.target
        if target is not None and target.incarnation == heartbeat.report.incarnation:
            runner.meet(target.incarnation, heartbeat.address, heartbeat.clock_ms)
            announcer.update_target(target, heartbeat.address)

    heartbeats = AppServer(
        HeartbeatApp(on_heartbeat, log),
        *split_address(settings.heartbeat_address),
    )
    metrics = AppServer(
        MetricsApp(process.metrics), settings.address, settings.metrics_port
    )
    follower = follow_site(store, process.adopt_site, log)
    heartbeats.start()
    metrics.start()
    await process.start(settings.address, settings.stream_port)
    follower.start()
    restored = await announcer.restore()
    if restored is not None and restored.target is not None:
        runner.resume(restored.target.incarnation, restored.target_address)
        process.see_target(restored.target, RESTORED_SEQUENCE)
    announcer.start()
    await wait_for_any(stop, process.failed)
    if not process.failed.is_set():
        await process.finish()
    for component in (
        heartbeats,
        metrics,
        follower,
        announcer,
        process,
        store,
        watcher,
    ):
        await component.close()
    return ExitCode.INVARIANT if process.failed.is_set() else ExitCode.OK


@click.command()
@settings_options
def main(settings_path: Path, check_settings: bool) -> None:
    """Run tasks on the platform's runner beside this process."""
    settings = read_settings(settings_path, SiteAgentSettings)
    if check_settings:
        click.echo("the settings are valid")
        return
    configure_logs(BoundedStream(STDOUT_FD))
    sys.exit(asyncio.run(run(settings_path, settings)))


if __name__ == "__main__":
    main()
