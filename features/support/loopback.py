"""An entry, an agent, a scripted runner and a store on loopback."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import msgspec

from fulmarscale.agent.run_process import RunProcess
from fulmarscale.entry.jobs.process import DispatchProcess
from fulmarscale.entry.jobs.subset import KnownAgent
from fulmarscale.logs import EventLog
from fulmarscale.platform.runner import Runner
from fulmarscale.platform.runner import RunnerTimeouts
from fulmarscale.platform.store import RowStore
from fulmarscale.runs.model import QueueName
from fulmarscale.runs.model import Resources
from fulmarscale.runs.model import ServiceName
from fulmarscale.runs.model import TargetId
from fulmarscale.runs.model import TargetLife
from fulmarscale.runs.model import TargetReport
from fulmarscale.runs.model import TargetState
from fulmarscale.runs.site_state import Queue
from fulmarscale.runs.site_state import SiteState
from standins.http_stub import HttpStub
from standins.http_stub import StubAnswer
from standins.ports import PORTS
from standins.row_store import RowStoreStandIn

if TYPE_CHECKING:
    from standins.http_stub import StubRequest


LOG = EventLog("test", "platform")
LIFE = TargetLife(TargetId("i-1"), 77)
PATIENT = RunnerTimeouts(order_s=3.0, renew_slack_s=20.0, connect_s=20.0)


def make_queue(prefix: str) -> Queue:
    """Make a queue whose name is its prefix."""
    return Queue(
        QueueName(prefix), "site.example", prefix, ServiceName("press")
    )


class ScriptedRunner:
    """Ends every run as done at once."""

    def __init__(self) -> None:
        self.started: list[str] = []
        self._ended: list[list[Any]] = []

    def answer(self, request: StubRequest) -> StubAnswer:
        """Answer an order or a renewal."""
        body = msgspec.json.decode(request.body)
        if request.target == "/api/run-start":
            self.started.append(body["task"])
            position = len(self.started)
            row = [position, body["task"], body["run"], "done", ""]
            self._ended.append(row)
        ended = [
            row for row in self._ended if row[0] > body.get("lastSeen", 0)
        ]
        answer = {"clockMs": 500, "born": 77, "running": [], "ended": ended}
        return StubAnswer(200, msgspec.json.encode(answer))


class Loopback:
    """An entry, an agent, a scripted runner and a store on loopback."""

    def __init__(self, runner: ScriptedRunner) -> None:
        self.store = RowStoreStandIn()
        self._stub = HttpStub(runner.answer)
        self.agent: RunProcess
        self.entry: DispatchProcess

    async def __aenter__(self) -> Loopback:
        site = SiteState(1, 1, (make_queue("/quick/"),))
        report = TargetReport(
            LIFE,
            ServiceName("press"),
            "here",
            TargetState.READY,
            Resources(16000),
        )
        await self.store.start()
        await self._stub.start()
        runner = Runner(LOG, PATIENT)
        runner.meet(LIFE, self._stub.address, 100)
        self.agent = RunProcess("agent-1", "here", runner, LOG)
        port = PORTS.pick()
        await self.agent.start("127.0.0.1", port)
        self.agent.adopt_site(site)
        self.agent.see_target(report, 1)
        self.start_entry(site, port)
        return self

    def start_entry(self, site: SiteState, port: int) -> None:
        rows = RowStore(self.store.address)
        self.entry = DispatchProcess("entry-1", "here", rows, LOG)
        self.entry.start()
        self.entry.adopt_site(site)
        agent = KnownAgent("agent-1", f"127.0.0.1:{port}")
        self.entry.follow_agents((agent,))

    async def __aexit__(self, *_: object) -> None:
        await self.entry.close()
        await self.agent.close()
        await self._stub.close()
        await self.store.close()
