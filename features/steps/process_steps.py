"""Steps that test one entry process."""

from __future__ import annotations

import asyncio
from pathlib import Path
import time
from typing import TYPE_CHECKING
from unittest import mock

from behave import given
from behave import then
from behave import when
from msgspec import structs

from fulmarscale.control.actions import SendPeer
from fulmarscale.control.entry_list import Member
from fulmarscale.entry.core import EntryCore
from fulmarscale.entry.inputs import Tick
from fulmarscale.entry.process import EntryProcess
from fulmarscale.events import Event
from fulmarscale.ids import DataCentreName
from fulmarscale.ids import EntryId
from fulmarscale.logs import EventLog
from fulmarscale.platform.http_table import HttpTableClient
from fulmarscale.settings import EntrySettings
from fulmarscale.settings import load_settings
from fulmarscale.wire.messages import LeasePromiseRequest

if TYPE_CHECKING:
    from behave.runner import Context

EXAMPLE = Path(__file__).parent.parent.parent / "etc/entry-fjaervik.json"
CLOSED_ADDRESS = "127.0.0.1:9"


@given("an entry process without peers")
def make_process(context: Context) -> None:
    settings = load_settings(EXAMPLE, EntrySettings)
    settings = structs.replace(settings, drain_s=0.0)
    context.log = mock.create_autospec(EventLog, instance=True)
    table = HttpTableClient("http://127.0.0.1:9", 0.1)
    context.process = EntryProcess(settings, table, context.log)


@when("it sends a message to an entry that is not on the entry list")
def send_message(context: Context) -> None:
    gone = Member(
        EntryId("gone", 1), CLOSED_ADDRESS, "", DataCentreName("vest-a")
    )
    context.action = SendPeer(gone, LeasePromiseRequest(0.0, 0, 0))


@then("the stream stays open at first and is closed after 60 unused seconds")
def check_closed(context: Context) -> None:
    async def run() -> None:
        process = context.process
        process._send_peer(context.action)
        assert process.peer_stream_count == 1
        await process.close_unused_streams(time.monotonic())
        assert process.peer_stream_count == 1
        await process.close_unused_streams(time.monotonic() + 60)
        assert process.peer_stream_count == 0

    asyncio.run(run())


@when("its decision code raises an exception")
def raise_in_decision(context: Context) -> None:
    with mock.patch.object(EntryCore, "handle", side_effect=KeyError):
        try:
            context.process.dispatch(Tick())
        except KeyError:
            return
    raise AssertionError("the process did not raise the exception again")


@then("the process is marked as failed and has logged event 901")
def check_failed(context: Context) -> None:
    assert context.process.failed.is_set()
    event, _ = context.log.write_error.call_args.args
    assert event is Event.UNEXPECTED_ERROR
