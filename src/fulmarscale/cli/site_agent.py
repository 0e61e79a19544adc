"""The program `fulmar-agent` on the users' platform."""

from __future__ import annotations

import asyncio
import sys
from typing import Final
from typing import TYPE_CHECKING

import click

from fulmarscale.agent.run_process import RunProcess
from fulmarscale.agent.target_times import date_report
from fulmarscale.agent.target_times import undate_report
from fulmarscale.cli._common import ExitCode
from fulmarscale.cli._common import make_stop_event
from fulmarscale.cli._common import read_vm_settings
from fulmarscale.cli._common import settings_options
from fulmarscale.cli._common import wait_for_any
from fulmarscale.cli._settings_watcher import SettingsWatcher
from fulmarscale.listeners.http_admission import RequestAdmission
from fulmarscale.listeners.http_server import AsgiServer
from fulmarscale.logs import configure_logs
from fulmarscale.logs import EventLog
from fulmarscale.logs import NonBlockingStream
from fulmarscale.platform.agent_registration import AgentRegistrar
from fulmarscale.platform.asgi import MetricsApp
from fulmarscale.platform.heartbeats import HeartbeatApp
from fulmarscale.platform.heartbeats import MAX_BODY_BYTES
from fulmarscale.platform.runner import RunnerClient
from fulmarscale.platform.store import RowStoreClient
from fulmarscale.platform.table_follower import make_site_follower
from fulmarscale.runs.clock import boottime_s
from fulmarscale.settings import SiteAgentSettings
from fulmarscale.settings import split_address

if TYPE_CHECKING:
    from pathlib import Path

    from fulmarscale.platform.heartbeats import Heartbeat

PROGRAM: Final = "fulmar-agent"
"""The program's name in its log."""

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
    log = EventLog(PROGRAM, settings.name)
    store = RowStoreClient(settings.store_address)

    def apply_settings(changed: SiteAgentSettings) -> None:
        store.set_address(changed.store_address)

    watcher = SettingsWatcher(path, settings, apply_settings, log)
    watcher.start()
    runner = RunnerClient(log)
    address = f"{settings.address}:{settings.stream_port}"
    registrar = AgentRegistrar(store, settings.name, address, log)
    admission = RequestAdmission(
        settings.requests, settings.memory_mb, log, settings.streams
    )
    process = RunProcess(
        settings.name, settings.data_centre, runner, log, admission
    )
    process.metrics.add_admission(admission)

    def on_heartbeat(heartbeat: Heartbeat) -> None:
        report = date_report(
            heartbeat.report,
            process.guard.target,
            heartbeat.remaining_s,
            heartbeat.cold_left_s,
            boottime_s(),
        )
        process.record_heartbeat(report, heartbeat.sequence)
        target = process.guard.target
        if (
            target is not None
            and target.incarnation == heartbeat.report.incarnation
        ):
            runner.update_from_heartbeat(
                target.incarnation, heartbeat.address, heartbeat.clock_ms
            )
            registrar.update_target(
                undate_report(target),
                heartbeat.address,
                runner.fencing_token,
            )

    heartbeats = AsgiServer(
        HeartbeatApp(on_heartbeat, log),
        *split_address(settings.heartbeat_address),
        admission=admission,
        max_body_bytes=lambda: MAX_BODY_BYTES,
    )
    metrics = AsgiServer(
        MetricsApp(process.metrics),
        settings.address,
        settings.metrics_port,
        admission=admission,
    )
    follower = make_site_follower(store, process.adopt_site_config, log)
    heartbeats.start()
    metrics.start()
    await process.start(settings.address, settings.stream_port)
    follower.start()
    restored = await registrar.read_previous_row()
    if restored is not None:
        runner.supersede(restored.fencing_token)
    if restored is not None and restored.target is not None:
        runner.resume_target(
            restored.target.incarnation, restored.target_address
        )
        process.record_heartbeat(restored.target, RESTORED_SEQUENCE)
    registrar.start()
    await wait_for_any(stop, process.failed)
    if not process.failed.is_set():
        await process.shut_down()
    for component in (
        heartbeats,
        metrics,
        follower,
        registrar,
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
    """Run tasks on the platform's runner beside this process."""
    settings = read_vm_settings(settings_path, SiteAgentSettings)
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
