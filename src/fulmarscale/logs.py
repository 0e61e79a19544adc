"""Structured logs: one JSON line for each numbered event."""

from __future__ import annotations

from collections import Counter
import logging
import os
import sys
from typing import Any
from typing import TYPE_CHECKING

import msgspec
import structlog

if TYPE_CHECKING:
    from fulmarscale.events import Event


class NonBlockingStream:
    """Writes lines to a file descriptor without blocking.

    Lines that can't be written at once are dropped and counted. The next
    line that is written is preceded by a LINES_DROPPED line with the count.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._dropped = 0
        self._unwritten = b""
        os.set_blocking(descriptor, False)

    @property
    def dropped_lines(self) -> int:
        """Number of lines dropped since the last one that was written."""
        return self._dropped

    def write(self, text: str) -> None:
        """Write a line, or drop it."""
        if not self._flush_unwritten():
            self._dropped += 1
            return
        data = text.encode()
        if self._dropped:
            data = (
                f'{{"event":"LINES_DROPPED","count":{self._dropped}}}\n'.encode()
                + data
            )
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            self._dropped += 1
            return
        self._dropped = 0
        self._unwritten = data[written:]

    def flush(self) -> None:
        """Do nothing; only the rest of a partly written line is buffered."""

    def _flush_unwritten(self) -> bool:
        """Continue a line that was written in part.

        :returns: whether nothing of it is left to write.
        """
        if not self._unwritten:
            return True
        try:
            written = os.write(self._descriptor, self._unwritten)
        except BlockingIOError:
            return False
        self._unwritten = self._unwritten[written:]
        return not self._unwritten


def _encode_line(line: Any, **_: Any) -> str:
    return msgspec.json.encode(line, enc_hook=repr).decode()


def configure_logs(stream: NonBlockingStream | None = None) -> None:
    """Configure structlog to write JSON lines.

    :param stream: the output; standard error if none.
    """
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(_encode_line),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.WriteLoggerFactory(stream or sys.stderr),
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
