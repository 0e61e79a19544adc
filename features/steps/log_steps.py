"""Steps that log to pipes and files."""

from __future__ import annotations

import asyncio
import fcntl
import json
import os
from pathlib import Path
import socket
import tempfile
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when
import structlog

from fulmarscale.events import Event
from fulmarscale.logs import configure_logs
from fulmarscale.logs import EventLog
from fulmarscale.logs import NonBlockingStream

if TYPE_CHECKING:
    from behave.runner import Context

READ_BYTES = 65536
SLOW_READ_BYTES = 4096
READ_INTERVAL_S = 0.0005
UNUSED_DESCRIPTOR = 900
QUIET_S = 0.2
"""Time without a line after which nothing more is written."""


def open_log(context: Context, descriptor: int) -> None:
    context.stream = NonBlockingStream(descriptor, "fulmar-entry", "entry-1")
    configure_logs(context.stream)
    context.log = EventLog("fulmar-entry", "entry-1")
    structlog.reset_defaults()
    context.read = b""
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)


@given("a log on a pipe of {size:d} bytes")
def open_pipe(context: Context, size: int) -> None:
    context.reader, writer = os.pipe()
    fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, size)
    os.set_blocking(context.reader, False)
    context.add_cleanup(os.close, context.reader)
    context.add_cleanup(os.close, writer)
    open_log(context, writer)


@given("a log on a pipe nobody reads")
def open_unread_pipe(context: Context) -> None:
    open_pipe(context, SLOW_READ_BYTES)


@given("a log on a regular file")
def open_file(context: Context) -> None:
    context.reader, path = tempfile.mkstemp()
    writer = os.open(path, os.O_WRONLY)
    Path(path).unlink()
    context.add_cleanup(os.close, context.reader)
    context.add_cleanup(os.close, writer)
    open_log(context, writer)


@given("a log on a pipe without reader")
def open_readerless_pipe(context: Context) -> None:
    reader, writer = os.pipe()
    os.close(reader)
    context.reader = None
    context.add_cleanup(os.close, writer)
    open_log(context, writer)


@given("a log on a closed descriptor")
def open_closed_descriptor(context: Context) -> None:
    context.reader = None
    open_log(context, UNUSED_DESCRIPTOR)


@given("a log on a connection in use")
def open_used_connection(context: Context) -> None:
    reader, writer = socket.socketpair()
    reader.setblocking(False)
    context.reader = reader.fileno()
    open_log(context, writer.fileno())
    _, connection = context.loop.run_until_complete(
        asyncio.open_connection(sock=writer)
    )
    context.add_cleanup(reader.close)
    context.add_cleanup(connection.close)


def log_burst(context: Context, events: list[Event]) -> None:
    async def log() -> None:
        for number, event in enumerate(events):
            context.log.write(event, line=number)

    context.events = events
    context.loop.run_until_complete(log())


@when(
    "{count:d} lines, the last one a warning, are logged at once in an event"
    " loop"
)
def log_lines(context: Context, count: int) -> None:
    log_burst(context, [Event.JOB_ENDED] * (count - 1) + [Event.STORE_LOST])


@when(
    "{count:d} lines, every {stride:d}th a change or a warning, are logged at"
    " once in an event loop"
)
def log_mixed_lines(context: Context, count: int, stride: int) -> None:
    important = (Event.AGENT_CONNECTED, Event.RUN_CUT_SHORT)
    log_burst(
        context,
        [
            important[number // stride % 2]
            if number % stride == 0
            else Event.JOB_ENDED
            for number in range(count)
        ],
    )


def read_once(context: Context, size: int) -> bool:
    """Read from the pipe or file; returns whether there was anything."""
    try:
        data = os.read(context.reader, size)
    except BlockingIOError:
        return False
    context.read += data
    return bool(data)


@when("a slow reader reads the pipe")
def read_slowly(context: Context) -> None:
    async def read() -> None:
        quiet_since = context.loop.time()
        while context.loop.time() - quiet_since < QUIET_S:
            await asyncio.sleep(READ_INTERVAL_S)
            if read_once(context, SLOW_READ_BYTES):
                quiet_since = context.loop.time()

    context.loop.run_until_complete(read())


@when("the pipe is read once and the log is closed")
def read_and_close(context: Context) -> None:
    while read_once(context, READ_BYTES):
        pass
    context.stream.close()
    while read_once(context, READ_BYTES):
        pass


def read_lines(context: Context) -> list[dict]:
    return [json.loads(line) for line in context.read.splitlines()]


@then("all {count:d} lines are read, in order")
def check_all_read(context: Context, count: int) -> None:
    numbers = [line.get("line") for line in read_lines(context)]
    assert numbers == list(range(count)), (len(numbers), numbers[-3:])


@then("every change and warning is read, in order")
def check_important_read(context: Context) -> None:
    numbers = [line["line"] for line in read_lines(context) if "line" in line]
    assert numbers == sorted(numbers)
    expected = {
        number
        for number, event in enumerate(context.events)
        if event is not Event.JOB_ENDED
    }
    missing = expected - set(numbers)
    assert not missing, (len(missing), len(expected), len(numbers))


@then("LINES_DROPPED counts the missing lines, with process, time and level")
def check_dropped(context: Context) -> None:
    lines = read_lines(context)
    dropped = [line for line in lines if line["event"] == "LINES_DROPPED"]
    assert dropped
    counted = 0
    for line in dropped:
        assert line["number"] == Event.LINES_DROPPED
        assert line["program"] == "fulmar-entry"
        assert line["process"] == "entry-1"
        assert line["level"] == "warning"
        assert line["timestamp"].endswith("Z")
        assert line["events"] == {"JOB_ENDED": line["count"]}, line
        counted += line["count"]
    read = len(lines) - len(dropped)
    assert counted == len(context.events) - read, (counted, read)


@then("closing the log leaves {count} lines there")
def check_closed_log(context: Context, count: str) -> None:
    context.stream.close()
    while context.reader is not None and read_once(context, READ_BYTES):
        pass
    found = context.read.count(b"\n")
    if count == "some":
        assert 0 < found < len(context.events), found
    else:
        assert found == (0 if count == "no" else int(count)), found


@when("a line of {event} is logged")
def log_line(context: Context, event: str) -> None:
    log_burst(context, [Event[event]])
    read_once(context, READ_BYTES)


@then("its level is {level}")
def check_level(context: Context, level: str) -> None:
    assert [line["level"] for line in read_lines(context)] == [level]
