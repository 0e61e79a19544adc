"""Structured logs: one JSON line for each numbered event."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections import deque
from contextlib import suppress
from datetime import datetime
from datetime import UTC
import logging
import os
import sys
from typing import Any
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

import msgspec
import structlog

from fulmarscale.events import Event
from fulmarscale.events import Importance

if TYPE_CHECKING:
    from collections.abc import MutableMapping


BUFFER_BYTES: Final = 262_144
"""Bytes of lines that are kept while the output takes none."""

CHUNK_BYTES: Final = 4096
"""Bytes of lines that are written at once; a pipe takes all or none."""


class _Line(NamedTuple):
    """A line that is not written yet."""

    number: int
    """Its place in the order of all lines."""
    event: Event
    data: bytes


class NonBlockingStream:
    """Writes lines to a file descriptor without blocking.

    Lines that it doesn't take at once are kept in a bounded buffer. They are
    written when the descriptor is writable again, if an event loop runs, and
    with each next line. When the buffer is full, the oldest lines of the least
    importance are dropped; LINES_DROPPED then precedes the lines that follow.

    Errors of the descriptor don't reach the caller: a log whose reader is gone
    drops lines.

    :param descriptor: the file descriptor, which is made non-blocking.
    :param program: the program's name, for LINES_DROPPED.
    :param name: the process's name in the site, for LINES_DROPPED.
    """

    def __init__(self, descriptor: int, program: str, name: str) -> None:
        self._descriptor = descriptor
        self._program = program
        self._name = name
        self._lines: dict[Importance, deque[_Line]] = {
            importance: deque() for importance in Importance
        }
        self._line_count = 0
        self._buffered_bytes = 0
        self._dropped: Counter[str] = Counter()
        """Dropped lines that LINES_DROPPED has not reported, by event."""
        self._unwritten = b""
        """The rest of the chunk that is being written."""
        self._loop: asyncio.AbstractEventLoop | None = None
        """The event loop that watches the descriptor."""
        with suppress(OSError):
            os.set_blocking(descriptor, False)

    def write(self, text: str, event: Event) -> None:
        """Write a line, or keep it until the descriptor takes it.

        :param text: the line, without its end.
        :param event: its event.
        """
        data = f"{text}\n".encode()
        self._line_count += 1
        line = _Line(self._line_count, event, data)
        self._lines[event.importance].append(line)
        self._buffered_bytes += len(data)
        while self._buffered_bytes > BUFFER_BYTES:
            self._drop_least_important()
        if self._write_kept():
            self._watch()

    debug = info = warning = error = critical = write

    def close(self) -> None:
        """Write what the descriptor takes of the kept lines."""
        self._unwatch()
        self._write_kept()

    def _drop_least_important(self) -> None:
        lines = next(each for each in self._lines.values() if each)
        dropped = lines.popleft()
        self._buffered_bytes -= len(dropped.data)
        self._dropped[dropped.event.name] += 1

    def _write_kept(self) -> bool:
        """Write the kept lines until the descriptor takes no more.

        :returns: whether more can be written once the descriptor is writable.
        """
        while self._unwritten or self._buffered_bytes:
            if not self._unwritten:
                self._unwritten = self._take_chunk()
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return True
            except OSError:
                # It may be temporary: the next line tries again.
                return False
            self._unwritten = self._unwritten[written:]
        return False

    def _take_chunk(self) -> bytes:
        """Take the oldest lines out of the buffer, one at least."""
        chunk = [self._render_dropped()] if self._dropped else []
        size = sum(map(len, chunk))
        while self._buffered_bytes:
            oldest = min(each[0] for each in self._lines.values() if each)
            if chunk and size + len(oldest.data) > CHUNK_BYTES:
                break
            self._lines[oldest.event.importance].popleft()
            self._buffered_bytes -= len(oldest.data)
            size += len(oldest.data)
            chunk.append(oldest.data)
        return b"".join(chunk)

    def _render_dropped(self) -> bytes:
        """Return a LINES_DROPPED line and reset its counts."""
        event = Event.LINES_DROPPED
        line = {
            "number": event.value,
            "program": self._program,
            "process": self._name,
            "count": self._dropped.total(),
            "events": dict(self._dropped),
            "event": event.name,
            "level": logging.getLevelName(event.importance.level).lower(),
            "timestamp": datetime.now(UTC).isoformat().replace("+00:00", "Z"),
        }
        self._dropped.clear()
        return msgspec.json.encode(line) + b"\n"

    def _watch(self) -> None:
        """Let the running event loop, if any, write the kept lines."""
        if self._loop is not None:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return
        # Not all descriptors can be watched: no regular file, and none that
        # belongs to a transport of the loop.
        with suppress(OSError, RuntimeError, ValueError):
            loop.add_writer(self._descriptor, self._on_writable)
            self._loop = loop

    def _unwatch(self) -> None:
        loop = self._loop
        self._loop = None
        if loop is not None and not loop.is_closed():
            loop.remove_writer(self._descriptor)

    def _on_writable(self) -> None:
        if not self._write_kept():
            self._unwatch()


def _encode_line(line: Any, **_: Any) -> str:
    return msgspec.json.encode(line, enc_hook=repr).decode()


def _render_event(
    _logger: Any, _method: str, line: MutableMapping[str, Any]
) -> tuple[tuple[str, Event], dict[str, Any]]:
    """Return the arguments of `NonBlockingStream.write`."""
    return (_encode_line(line), Event[line["event"]]), {}


def configure_logs(stream: NonBlockingStream | None = None) -> None:
    """Configure structlog to write JSON lines.

    :param stream: the output; standard error if none.
    """
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(_encode_line)
            if stream is None
            else _render_event,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.WriteLoggerFactory(sys.stderr)
        if stream is None
        else lambda *_: stream,
        cache_logger_on_first_use=True,
    )


class EventLog:
    """Logs the events of one process.

    :param program: the program's name, in each line as `program`.
    :param name: the process's name in the site, in each line as `process`.
    """

    def __init__(self, program: str, name: str) -> None:
        self._logger = structlog.get_logger().bind(
            program=program, process=name
        )
        self._counts: Counter[Event] = Counter()

    @property
    def event_counts(self) -> Counter[Event]:
        """Number of times each event was logged, dropped lines included."""
        return self._counts

    def write(self, event: Event, **fields: Any) -> None:
        """Log an event.

        :param event: the event.
        :param fields: fields of the line; never a key or a payload.
        """
        self._counts[event] += 1
        self._logger.log(
            event.importance.level,
            event.name,
            number=event.value,
            **fields,
        )

    def write_error(self, event: Event, error: BaseException) -> None:
        """Log an event with the traceback of an exception."""
        self._counts[event] += 1
        self._logger.log(
            event.importance.level,
            event.name,
            number=event.value,
            exc_info=error,
        )
