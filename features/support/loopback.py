"""One entry and one agent on loopback, with a scripted runner and a store.

Entry and agent are the real processes, run in the event loop of the test.
The runner and the row store are HTTP stand-ins.
"""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import msgspec

from fulmarscale.agent.run_process import RunProcess
from fulmarscale.entry.jobs.process import DispatchProcess
from fulmarscale.entry.jobs.subset import AnnouncedAgent
from fulmarscale.logs import EventLog
from fulmarscale.platform.runner import RunnerClient
from fulmarscale.platform.runner import RunnerTimeouts
from fulmarscale.platform.store import RowStoreClient
from fulmarscale.runs.model import QueueName
from fulmarscale.runs.model import Resources
from fulmarscale.runs.model import ServiceName
from fulmarscale.runs.model import TargetId
from fulmarscale.runs.model import TargetIncarnation
from fulmarscale.runs.model import TargetReport
from fulmarscale.runs.model import TargetState
from fulmarscale.runs.site_config import Queue
from fulmarscale.runs.site_config import SiteConfig
from standins.http_stub import HttpStub
from standins.http_stub import StubResponse
from standins.ports import PORTS
from standins.row_store import RowStoreStandIn

if TYPE_CHECKING:
    from standins.http_stub import StubRequest


LOG = EventLog("test", "platform")
TARGET_INCARNATION = TargetIncarnation(TargetId("i-1"), 77)
"""Incarnation of the only target; the runner reports it as born at 77."""

LONG_TIMEOUTS = RunnerTimeouts(min_s=20.0, max_s=20.0, connect_s=20.0)
"""Timeouts far above the duration of a call on loopback."""


def make_queue(prefix: str) -> Queue:
    """Return a queue whose name is its path prefix."""
    return Queue(
        QueueName(prefix), "site.example", prefix, ServiceName("press")
    )


class ScriptedRunner:
    """Runner that reports every run as done as soon as it starts."""

    def __init__(self) -> None:
        self.started: list[str] = []
        """Tasks in the order of their starts."""
        self._completions: list[list[Any]] = []

    def handle_request(self, request: StubRequest) -> StubResponse:
        """Respond to a start request or a lease renewal.

        The response lists the completions after the last position that the
        agent has received.
        """
        body = msgspec.json.decode(request.body)
        if request.target == "/api/run-start":
            self.started.append(body["task"])
            position = len(self.started)
            row = [position, body["task"], body["run"], "done", ""]
            self._completions.append(row)
        ended = [
            row
            for row in self._completions
            if row[0] > body.get("lastSeen", 0)
        ]
        response = {"clockMs": 500, "born": 77, "running": [], "ended": ended}
        return StubResponse(200, msgspec.json.encode(response))


class Loopback:
    """Starts an entry, an agent and their stand-ins, and closes them.

    :param runner: responds to the requests of the agent to its target.
    """

    def __init__(self, runner: ScriptedRunner) -> None:
        self.store = RowStoreStandIn()
        self._runner_stub = HttpStub(runner.handle_request)
        self.agent: RunProcess
        self.entry: DispatchProcess

    async def __aenter__(self) -> Loopback:
        site_config = SiteConfig(1, 1, (make_queue("/quick/"),))
        report = TargetReport(
            TARGET_INCARNATION,
            ServiceName("press"),
            "here",
            TargetState.READY,
            Resources(16000),
        )
        await self.store.start()
        await self._runner_stub.start()
        runner = RunnerClient(LOG, LONG_TIMEOUTS)
        runner.update_from_heartbeat(
            TARGET_INCARNATION, self._runner_stub.address, 100
        )
        self.agent = RunProcess("agent-1", "here", runner, LOG)
        port = PORTS.pick()
        await self.agent.start("127.0.0.1", port)
        self.agent.adopt_site_config(site_config)
        self.agent.record_heartbeat(report, 1)
        self.start_entry(site_config, port)
        return self

    def start_entry(self, site_config: SiteConfig, port: int) -> None:
        """Start the entry and point it to the agent at a port."""
        rows = RowStoreClient(self.store.address)
        self.entry = DispatchProcess("entry-1", "here", rows, LOG)
        self.entry.start()
        self.entry.adopt_site_config(site_config)
        agent = AnnouncedAgent("agent-1", f"127.0.0.1:{port}")
        self.entry.update_agents((agent,))

    async def __aexit__(self, *_: object) -> None:
        await self.entry.close()
        await self.agent.close()
        await self._runner_stub.close()
        await self.store.close()
