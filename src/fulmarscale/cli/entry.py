"""The program `fulmar-entry`, with the table service as its platform."""

from __future__ import annotations

import asyncio
import sys
from typing import TYPE_CHECKING

import click
import uvicorn

from fulmarscale.cli._common import ExitCode
from fulmarscale.cli._common import make_stop_event
from fulmarscale.cli._common import read_settings
from fulmarscale.cli._common import settings_options
from fulmarscale.cli._common import wait_for_any
from fulmarscale.entry.http import HttpApi
from fulmarscale.entry.process import EntryProcess
from fulmarscale.entry.routes import make_app
from fulmarscale.listeners.http_admission import RequestAdmission
from fulmarscale.listeners.http_server import EmbeddedServer
from fulmarscale.listeners.http_server import KEEP_ALIVE_S
from fulmarscale.listeners.http_server import make_protocol
from fulmarscale.logs import configure_logs
from fulmarscale.logs import EventLog
from fulmarscale.platform.http_table import HttpTableClient
from fulmarscale.settings import EntrySettings
from fulmarscale.settings import split_address

if TYPE_CHECKING:
    from pathlib import Path


def make_server(
    http_api: HttpApi, settings: EntrySettings, admission: RequestAdmission
) -> EmbeddedServer:
    """Create the HTTP server for callers and operators."""
    host, port = split_address(settings.http_address)
    tls = settings.tls
    config = uvicorn.Config(
        make_app(http_api, settings.input.body_bytes),
        host=host,
        port=port,
        loop="asyncio",
        ws="none",
        http=make_protocol(admission, lambda: settings.input.body_bytes),
        lifespan="off",
        access_log=False,
        log_config=None,
        server_header=False,
        date_header=False,
        limit_concurrency=settings.input.connections,
        timeout_keep_alive=KEEP_ALIVE_S,
        ssl_certfile=tls.certificate if tls is not None else None,
        ssl_keyfile=tls.key if tls is not None else None,
    )
    return EmbeddedServer(config)


async def run(settings: EntrySettings) -> ExitCode:
    """Run an entry until a signal stops it or an invariant is violated."""
    log = EventLog("fulmar-entry", settings.name)
    platform = settings.platform
    table = HttpTableClient(
        platform.url, platform.timeout_s, platform.authority
    )
    admission = RequestAdmission(
        settings.requests, settings.memory_mb, log, settings.streams
    )
    process = EntryProcess(settings, table, log, admission)
    process.metrics.add_admission(admission)
    http_api = HttpApi(process, settings, log)
    server = make_server(http_api, settings, admission)
    stop = make_stop_event()
    await process.start()
    server_task = asyncio.create_task(server.serve())
    await wait_for_any(stop, process.failed)
    if not process.failed.is_set():
        await process.shut_down()
    server.request_shutdown()
    await server_task
    await process.close()
    admission.close()
    return ExitCode.INVARIANT if process.failed.is_set() else ExitCode.OK


@click.command()
@settings_options
def main(settings_path: Path, check_settings: bool) -> None:
    """Accept jobs from callers and dispatch their tasks to agents."""
    settings = read_settings(settings_path, EntrySettings)
    if check_settings:
        click.echo("the settings are valid")
        return
    configure_logs()
    sys.exit(asyncio.run(run(settings)))
