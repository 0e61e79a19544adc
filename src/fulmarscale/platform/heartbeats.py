"""Takes in the heartbeats of the runner beside an agent."""

from __future__ import annotations

from typing import Any
from typing import Final
from typing import TYPE_CHECKING

import msgspec

from fulmarscale.events import Event
from fulmarscale.platform.http import read_body
from fulmarscale.platform.http import respond
from fulmarscale.platform.wire import WireHeartbeat
from fulmarscale.runs.model import TargetReport

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarscale.logs import EventLog

HEARTBEAT_PATH: Final = "/api/Instances.Heartbeat/"
LEAVE_PATH: Final = "/api/Instances.Deregister/"

LONGEST_BODY_BYTES: Final = 1 << 20
"""Many times the longest heartbeat seen."""


class Heartbeat(msgspec.Struct, frozen=True):
    """A heartbeat and what is needed to call its sender."""

    report: TargetReport
    address: str
    """Where the runner takes calls."""
    sequence: int
    """Rises with each heartbeat of one life."""
    clock_ms: int
    """The runner's own steady clock when it was sent."""


class HeartbeatApp:
    """An ASGI application for one runner."""

    def __init__(
        self, take: Callable[[Heartbeat], None], log: EventLog
    ) -> None:
        self._take = take
        self._log = log

    async def __call__(
        self, scope: dict[str, Any], receive: Any, send: Any
    ) -> None:
        """Serve a request."""
        path = scope["path"]
        body = await read_body(receive, LONGEST_BODY_BYTES)
        if path.startswith(LEAVE_PATH):
            # The runner has drained; its last heartbeat said so before.
            await respond(send, 200)
            return
        if not path.startswith(HEARTBEAT_PATH) or body is None:
            await respond(send, 404)
            return
        try:
            wire = msgspec.json.decode(body, type=WireHeartbeat)
            report = wire.decode(path.removeprefix(HEARTBEAT_PATH))
        except (msgspec.MsgspecError, ValueError) as error:
            self._log.write(Event.HEARTBEAT_INVALID, detail=str(error))
            await respond(send, 400)
            return
        self._take(
            Heartbeat(report, wire.address, wire.call_seq, wire.clock_ms)
        )
        await respond(send, 200, b"{}")
