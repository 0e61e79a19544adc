"""A gRPC server that holds a bounded part of what its clients send.

grpclib acknowledges the data of a message while it arrives, so that its flow
control doesn't bound the message. Here the length that a message announces
is checked, and claimed from the process's budget, before it is received.
"""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

from grpclib.config import Configuration
from grpclib.server import Server

from fulmarscale.wire.stream_connection import BoundedStreamConnection

if TYPE_CHECKING:
    from grpclib.protocol import H2Protocol

    from fulmarscale.listeners.http_admission import RequestAdmission
    from fulmarscale.wire.codec import MessagePackCodec

WINDOW_BYTES: Final = 1 << 20
"""Bytes of a connection that may arrive before they are read."""

MAX_MESSAGE_BYTES: Final = 16 << 20
"""The longest message; the largest, a result of all targets, is far less."""

CONNECTION_BYTES: Final = 32 << 10
"""The share of the budget that allows one more connection."""

MIN_CONNECTIONS: Final = 256
MAX_CONNECTIONS: Final = 2_048
"""The most connections; each process of a site opens one."""


class BoundedStreamServer(Server):
    """A gRPC server with bounds on messages, frames and connections.

    :param handler: the object whose `__mapping__` names the methods.
    :param codec: the codec of the messages.
    :param admission: decides on the bytes of all connections.
    :param max_message_bytes: the longest message.
    """

    def __init__(
        self,
        handler: object,
        codec: MessagePackCodec,
        admission: RequestAdmission,
        max_message_bytes: int = MAX_MESSAGE_BYTES,
    ) -> None:
        super().__init__(
            [handler],  # type: ignore[list-item]
            codec=codec,
            config=Configuration(
                http2_connection_window_size=WINDOW_BYTES,
                http2_stream_window_size=WINDOW_BYTES,
            ),
        )
        self._admission = admission
        self._max_message_bytes = max_message_bytes
        self._connections: dict[BoundedStreamConnection, None] = {}
        """Open connections, the oldest one first."""

    def _protocol_factory(self) -> H2Protocol:
        plain = super()._protocol_factory()
        return BoundedStreamConnection(
            plain,
            self._admission,
            self._connections,
            max_connections(self._admission.budget.total_bytes),
            self._max_message_bytes,
        )


def max_connections(budget_bytes: int) -> int:
    """Return the most connections of a server.

    :param budget_bytes: the budget of the process.
    """
    connections = budget_bytes // CONNECTION_BYTES
    return max(MIN_CONNECTIONS, min(MAX_CONNECTIONS, connections))
