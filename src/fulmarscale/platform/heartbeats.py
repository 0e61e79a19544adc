"""HTTP endpoint for the heartbeats of the runner beside an agent."""

from __future__ import annotations

from typing import Any
from typing import Final
from typing import TYPE_CHECKING

import msgspec

from fulmarscale.decoding import decode_json
from fulmarscale.events import Event
from fulmarscale.platform.asgi import DisconnectedError
from fulmarscale.platform.asgi import NoRoomError
from fulmarscale.platform.asgi import read_body
from fulmarscale.platform.asgi import respond
from fulmarscale.platform.wire import WireHeartbeat
from fulmarscale.runs.model import TargetReport
from fulmarscale.settings import split_address

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarscale.logs import EventLog

HEARTBEAT_PATH: Final = "/api/Instances.Heartbeat/"
DEREGISTER_PATH: Final = "/api/Instances.Deregister/"

MAX_BODY_BYTES: Final = 1 << 20
"""Limit on a request's body, many times the longest heartbeat observed."""


class Heartbeat(msgspec.Struct, frozen=True):
    """A decoded heartbeat, with the runner's address and clock."""

    report: TargetReport
    """The runner's state, as a target."""
    address: str
    """IP:port on which the runner accepts requests."""
    sequence: int
    """Sequence number; increases with each heartbeat of one incarnation."""
    clock_ms: int
    """The runner's monotonic clock when the heartbeat was sent."""
    remaining_s: float | None = None
    """Least time until the runner ends; none if it isn't known."""
    cold_left_s: float | None = None
    """How long the runner remains slow; none if it isn't known."""


class HeartbeatApp:
    """ASGI application that receives the heartbeats of one runner."""

    def __init__(
        self, on_heartbeat: Callable[[Heartbeat], None], log: EventLog
    ) -> None:
        self._on_heartbeat = on_heartbeat
        self._log = log

    async def __call__(
        self, scope: dict[str, Any], receive: Any, send: Any
    ) -> None:
        """Handle a request."""
        path = scope["path"]
        if not path.startswith((HEARTBEAT_PATH, DEREGISTER_PATH)):
            await respond(send, 404)
            return
        try:
            body = await read_body(scope, receive, MAX_BODY_BYTES)
        except DisconnectedError:
            return
        except NoRoomError:
            await respond(send, 503)
            return
        if path.startswith(DEREGISTER_PATH):
            # The runner has drained; its last heartbeat has already reported
            # that.
            await respond(send, 200)
            return
        if body is None:
            await respond(send, 404)
            return
        try:
            message = decode_json(body, WireHeartbeat)
            report = message.decode(path.removeprefix(HEARTBEAT_PATH))
            split_address(message.address)
        except (msgspec.MsgspecError, ValueError) as error:
            self._log.write(Event.HEARTBEAT_INVALID, detail=str(error))
            await respond(send, 400)
            return
        self._on_heartbeat(
            Heartbeat(
                report,
                message.address,
                message.call_seq,
                message.clock_ms,
                message.remaining_s,
                message.cold_left_s,
            )
        )
        await respond(send, 200, b"{}")
