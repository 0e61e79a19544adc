"""JSON logs with numbered events."""

from __future__ import annotations

import logging
import sys
from typing import Any
from typing import TYPE_CHECKING

import structlog

if TYPE_CHECKING:
    from fulmarscale.events import Event


def configure_logs() -> None:
    """Send JSON lines to standard error."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )


class EventLog:
    """Writes numbered events of one process."""

    def __init__(self, program: str, name: str) -> None:
        self._logger = structlog.get_logger().bind(
            program=program, process=name
        )

    def write(self, event: Event, **fields: Any) -> None:
        """Write an event.

        :param event: the event.
        :param fields: named values; never a key or a payload.
        """
        self._logger.info(event.name, number=event.value, **fields)

    def write_error(self, event: Event, error: BaseException) -> None:
        """Write an event with an error's trace."""
        self._logger.error(event.name, number=event.value, exc_info=error)
