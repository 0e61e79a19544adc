"""HTTP connections of a server, which tell whether the client has left.

A request may have lain unread for long, so that its client has left by the
time it is handled. The event loop reports that only after the request.
"""

from __future__ import annotations

import socket
from typing import Final
from typing import TYPE_CHECKING

from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable
    from collections.abc import Mapping
    from typing import Any

    from uvicorn._types import ASGI3Application
    from uvicorn.protocols.http.httptools_impl import RequestResponseCycle

CONNECTION_EXTENSION: Final = "fulmarscale.connection"
"""Name of the ASGI extension that tells whether the client has left."""

MAX_PIPELINED_REQUESTS: Final = 16
"""Requests that wait on a connection, above which it is not read.

The loss of a connection is noticed only while it is read.
"""


def has_client_left(scope: Mapping[str, Any]) -> bool:
    """Return whether the client of a request has closed its connection.

    :param scope: the request's ASGI scope; without the extension the client
        counts as connected.
    """
    extension = scope.get("extensions", {}).get(CONNECTION_EXTENSION, {})
    is_closed: Callable[[], bool] | None = extension.get("is_closed")
    return is_closed is not None and is_closed()


class ReadGate(FlowControl):
    """The flow control of a connection that may have to stop reading.

    While it is shut, neither the application nor a response resumes reading.
    """

    def __init__(self, transport: asyncio.Transport) -> None:
        super().__init__(transport)
        self._is_shut = False

    def shut(self) -> None:
        """Stop reading until `open`."""
        self._is_shut = True
        self.pause_reading()

    def open(self) -> None:
        """Read again."""
        self._is_shut = False
        self.resume_reading()

    def resume_reading(self) -> None:
        """Read again, unless the gate is shut."""
        if self.read_paused and not self._is_shut:
            super().resume_reading()


class ObservableConnection(HttpToolsProtocol):
    """An HTTP connection that can be asked whether its client has left.

    It also reports the loss of the connection to the request that is being
    handled while further ones wait for their turn.
    """

    _handled: RequestResponseCycle | None = None
    """The request that is being handled; none before the first."""

    def __init__(self, *arguments: Any, **named_arguments: Any) -> None:
        super().__init__(*arguments, **named_arguments)
        self._extensions: dict[str, dict[object, object]] = {
            CONNECTION_EXTENSION: {"is_closed": self._is_closed}
        }
        """The extensions of all requests of the connection."""

    def on_message_begin(self) -> None:
        """Begin a request and add the extension to its scope."""
        super().on_message_begin()
        self.scope["extensions"] = self._extensions

    def on_headers_complete(self) -> None:
        """Start to handle a request, or queue it behind the former one."""
        super().on_headers_complete()
        if 0 < len(self.pipeline) <= MAX_PIPELINED_REQUESTS:
            self.flow.resume_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the loss of the connection to the request being handled."""
        super().connection_lost(exc)
        self.pipeline.clear()
        handled = self._handled
        if handled is not None and not handled.response_complete:
            handled.disconnected = True
            handled.message_event.set()

    def _start_asgi_task(
        self, cycle: RequestResponseCycle, app: ASGI3Application
    ) -> None:
        self._handled = cycle
        super()._start_asgi_task(cycle, app)

    def _is_closed(self) -> bool:
        """Return whether the client has closed or reset the connection.

        Unlike the event loop, this shows what has arrived but was not
        processed yet.
        """
        if self.transport.is_closing():
            return True
        connection = self.transport.get_extra_info("socket")
        if connection is None:
            return False
        probe = socket.socket(
            connection.family,
            connection.type,
            connection.proto,
            connection.fileno(),
        )
        try:
            return not probe.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True
        finally:
            # The event loop goes on to use the descriptor.
            probe.detach()
