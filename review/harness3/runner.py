"""The project's stand-in of a runner, with a rack of its own."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import msgspec

from fulmarscale.platform.http_client import HttpClient
from fulmarscale.platform.http_client import RequestError
from standins.runner import CAPACITY
from standins.runner import RunnerStandIn

if TYPE_CHECKING:
    from standins.runner import _Incarnation


class RackRunner(RunnerStandIn):
    """A runner that reports its rack, and notes who gives it orders."""

    rack = ""
    """The label of its rack."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self._own_control = HttpClient(arguments[3], 1)

    def fail_runs(self) -> None:
        """End all that runs now as failed."""
        incarnation = self._incarnation
        assert incarnation is not None
        for task in list(incarnation.running):
            incarnation.end(task, "failed")

    async def _send_heartbeat(
        self, incarnation: _Incarnation, sequence: int
    ) -> bool:
        report = {
            "service": self._service,
            "address": self.address,
            "zone": self._zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldLeftMs": 0,
            "capacity": CAPACITY,
            "labels": ["a", self.rack],
            "clockMs": incarnation.clock_ms,
            "callSeq": sequence,
            "born": incarnation.born,
        }
        path = f"/api/Instances.Heartbeat/{self.runner_id}"
        try:
            response = await self._own_control.call(
                "POST", path, msgspec.json.encode(report), 1.0
            )
        except RequestError:
            return False
        return response.status == 200
