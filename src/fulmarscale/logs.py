"""JSON logs with numbered events."""

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


class BoundedStream:
    """A file descriptor that is written to without ever blocking.

    Lines that it can't take at once are dropped and counted; the next line
    that it takes is preceded by one that tells the count.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._dropped = 0
        self._rest = b""
        os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Lines dropped since the last that was taken."""
        return self._dropped

    def write(self, text: str) -> None:
        """Write a line, or drop it."""
        if not self._flush_rest():
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
        self._rest = data[written:]

    def flush(self) -> None:
        """Do nothing: nothing is buffered but the rest of a line."""

    def _flush_rest(self) -> bool:
        """Finish the line that was written in part."""
        if not self._rest:
            return True
        try:
            written = os.write(self._descriptor, self._rest)
        except BlockingIOError:
            return False
        self._rest = self._rest[written:]
        return not self._rest


def _encode(line: Any, **_: Any) -> str:
    return msgspec.json.encode(line, enc_hook=repr).decode()


def configure_logs(stream: BoundedStream | None = None) -> None:
    """Send JSON lines to a stream, or to standard error.

    :param stream: where the lines go.
    """
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(_encode),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.WriteLoggerFactory(stream or sys.stderr),
        cache_logger_on_first_use=True,
    )


class EventLog:
    """Writes numbered events of one process."""

    def __init__(self, program: str, name: str) -> None:
        self._logger = structlog.get_logger().bind(
            program=program, process=name
        )
        self._counts: Counter[Event] = Counter()

    @property
    def counts(self) -> Counter[Event]:
        """How often each event was written, dropped lines included."""
        return self._counts

    def write(self, event: Event, **fields: Any) -> None:
        """Write an event.

        :param event: the event.
        :param fields: named values; never a key or a payload.
        """
        self._counts[event] += 1
        self._logger.info(event.name, number=event.value, **fields)

    def write_error(self, event: Event, error: BaseException) -> None:
        """Write an event with an error's trace."""
        self._counts[event] += 1
        self._logger.error(event.name, number=event.value, exc_info=error)
