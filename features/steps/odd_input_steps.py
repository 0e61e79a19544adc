"""Steps that feed odd rows, heartbeats and lists of runs to the programs."""

from __future__ import annotations

import asyncio
import base64
from typing import Any
from typing import Final
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when
import msgspec

from features.support.exchange import Exchange
from features.support.loopback import LOG
from features.support.loopback import TARGET_INCARNATION
from fulmarscale.agent.run_target_client import TargetUnreachableError
from fulmarscale.background import BackgroundTask
from fulmarscale.events import Event
from fulmarscale.ids import EntryId
from fulmarscale.logs import EventLog
from fulmarscale.platform.heartbeats import HeartbeatApp
from fulmarscale.platform.ingress import _parse_wait_s
from fulmarscale.platform.ingress import IngressApp
from fulmarscale.platform.runner import RunnerClient
from fulmarscale.platform.store import RowStoreClient
from fulmarscale.platform.table_follower import make_agent_follower
from fulmarscale.runs.clock import boottime_s
from fulmarscale.runs.messages import EntryMessage
from fulmarscale.runs.model import QueueName
from fulmarscale.runs.model import ServiceName
from fulmarscale.runs.site_config import Queue
from fulmarscale.runs.site_config import SiteConfig
from fulmarscale.runs.streams import AgentStream
from fulmarscale.runs.streams import AgentStreamHandler
from fulmarscale.runs.streams import EntryStreamHandler
from fulmarscale.runs.streams import RunStreamServer
from standins.http_stub import HttpStub
from standins.http_stub import StubResponse
from standins.ports import PortPicker

if TYPE_CHECKING:
    from behave.runner import Context

    from fulmarscale.runs.streams import MessageQueue
    from standins.http_stub import StubRequest

LIMIT_S: Final = 5.0
"""Time after which a test gives up."""

TOO_LARGE: Final = 2**70

NESTED: Final = b"[" * 3_000 + b"]" * 3_000

CAPACITY: Final = {"cpu": 16_000, "memMb": 64, "gpu": 0}

HEARTBEAT: Final = {
    "service": "press",
    "address": "10.0.0.2:8080",
    "zone": "here",
    "state": "ready",
    "capacity": CAPACITY,
    "callSeq": 4,
    "clockMs": 100,
    "born": 1,
}

RUN_LIST: Final = {"clockMs": 100, "born": 1, "running": [], "ended": []}


def odd_value(fault: str) -> bytes | None:
    """Return bytes that are odd whatever they are for; none if unknown."""
    match fault:
        case "a deeply nested value":
            return b'{"unknown":' + NESTED + b"}"
        case "bytes that can't be read":
            return b'{"address":"\xff'
    return None


def agent_row(fault: str) -> bytes:
    """Return the value of an agent's row."""
    row: dict[str, Any] = {"address": "10.0.0.1:7"}
    report = ["i-1", 1], "press", "here", "ready", [16_000, 64, 0], []
    match fault:
        case "a number too large":
            row["target"] = (*report[:4], [TOO_LARGE, 64, 0], [])
        case "a port of 70000":
            row["address"] = "10.0.0.1:70000"
        case "a port of -1":
            row["address"] = "10.0.0.1:-1"
        case "no port":
            row["address"] = "10.0.0.1"
        case "a list in place of a target":
            row["target"] = [1, 2, 3]
    return odd_value(fault) or msgspec.json.encode(row)


def encode_rows(version: int, values: dict[str, bytes]) -> StubResponse:
    """Return the store's response with rows of agents."""
    rows = [
        {
            "table": "agents",
            "key": key,
            "ver": version,
            "value": base64.b64encode(value).decode(),
        }
        for key, value in values.items()
    ]
    return StubResponse(
        200, msgspec.json.encode({"ver": version, "rows": rows})
    )


@given("a store with rows of agents, of which one has {fault}")
def make_agent_rows(context: Context, fault: str) -> None:
    first = {"a": agent_row(""), "odd": agent_row(fault), "z": agent_row("")}

    def respond(request: StubRequest) -> StubResponse | None:
        if request.target.startswith("/api/rows-get"):
            return encode_rows(5, first)
        if "after=5" in request.target:
            return encode_rows(6, {"further": agent_row("")})
        return None

    context.respond = respond


@when("the agents are followed until the store has a further row")
def follow_agents(context: Context) -> None:
    context.known = ()

    async def run() -> None:
        stub = HttpStub(context.respond)
        await stub.start()
        store = RowStoreClient(stub.address)
        is_known = asyncio.Event()

        def record(agents: Any) -> None:
            context.known = tuple(agent.name for agent in agents)
            if "further" in context.known:
                is_known.set()

        follower = make_agent_follower(store, record, LOG)
        follower.start()
        try:
            async with asyncio.timeout(LIMIT_S):
                await is_known.wait()
        finally:
            await follower.close()
            await store.close()
            await stub.close()
            await asyncio.sleep(0.05)

    asyncio.run(run())


@then("the agents with sound rows are known, also the further one")
def check_agents(context: Context) -> None:
    assert context.known == ("a", "further", "z"), context.known


@given("background work that fails {times:d} times")
def make_failing_work(context: Context, times: int) -> None:
    context.log = EventLog("test", "background")
    context.calls = 0

    async def work() -> None:
        context.calls += 1
        if context.calls <= times:
            raise ZeroDivisionError
        context.succeeded.set()
        await asyncio.sleep(3600)

    context.work = work


@when("it runs in the background")
def run_in_background(context: Context) -> None:
    async def run() -> None:
        context.succeeded = asyncio.Event()
        task = BackgroundTask(context.work, context.log)
        task.start()
        try:
            async with asyncio.timeout(LIMIT_S):
                await context.succeeded.wait()
        finally:
            await task.close()

    asyncio.run(run())


@then("it has succeeded after {times:d} failures in the log")
def check_background(context: Context, times: int) -> None:
    assert context.log.event_counts[Event.UNEXPECTED_ERROR] == times
    assert context.calls == times + 1, context.calls


def heartbeat(fault: str) -> bytes:
    """Return the body of a heartbeat."""
    changes: dict[str, Any] = {
        "a number too large": {"capacity": {**CAPACITY, "cpu": TOO_LARGE}},
        "a port of 70000": {"address": "10.0.0.2:70000"},
        "a name as host": {"address": "target.example:8080"},
    }.get(fault, {})
    return odd_value(fault) or msgspec.json.encode({**HEARTBEAT, **changes})


@when("a heartbeat with {fault} is received, and then a sound one")
def receive_heartbeats(context: Context, fault: str) -> None:
    app = HeartbeatApp(lambda received: None, LOG)
    context.statuses = []
    for body in (heartbeat(fault), heartbeat("")):
        exchange = Exchange("POST", "/api/Instances.Heartbeat/i-1", body)
        asyncio.run(exchange.run(app))
        context.statuses.append(exchange.status)


@then("the agent has answered {first:d} and {second:d}")
def check_statuses(context: Context, first: int, second: int) -> None:
    assert context.statuses == [first, second], context.statuses


@given("a target whose list of runs has {fault}")
def make_run_list(context: Context, fault: str) -> None:
    task = "00aa.0.0.1"
    changes: dict[str, Any] = {
        "a run number too large": {"running": [[task, TOO_LARGE, "", 3]]},
        "a task index too large": {
            "running": [[f"00aa.0.0.{TOO_LARGE}", 1, "", 3]]
        },
        "a clock too large": {"clockMs": 10**300},
        "a position too large": {"ended": [[TOO_LARGE, task, 1, "done", ""]]},
    }.get(fault, {})
    context.body = odd_value(fault)
    if context.body is None:
        context.body = msgspec.json.encode({**RUN_LIST, **changes})


@when("the agent asks for its runs")
def ask_for_runs(context: Context) -> None:
    async def run() -> None:
        stub = HttpStub(lambda request: StubResponse(200, context.body))
        await stub.start()
        runner = RunnerClient(LOG)
        runner.resume_target(TARGET_INCARNATION, stub.address)
        context.error = None
        try:
            await runner.renew(TARGET_INCARNATION, 0, 0.0, boottime_s())
        except TargetUnreachableError as error:
            context.error = error
        finally:
            await runner.close()
            await stub.close()

    asyncio.run(run())


@then("the target counts as unreachable")
def check_unreachable(context: Context) -> None:
    assert context.error is not None


class OneQueueService:
    """The part of a job service that a rejected submission reaches."""

    site = SiteConfig(
        1,
        1,
        (Queue(QueueName("q"), "site.example", "/q/", ServiceName("press")),),
    )
    site_age_s = 0.0
    is_stopping = False


@when("a job with {fault} is submitted on the platform's interface")
def submit_odd_job(context: Context, fault: str) -> None:
    step: dict[str, Any] = {"count": 1, "cpu": 1_000, "memMb": 64}
    match fault:
        case "a demand too large":
            step["cpu"] = TOO_LARGE
        case "a memory too large":
            step["memMb"] = TOO_LARGE
    body = msgspec.json.encode({"bestEffort": True, "steps": [step]})
    service: Any = OneQueueService()
    context.exchange = Exchange("POST", "/q/0011", odd_value(fault) or body)
    asyncio.run(context.exchange.run(IngressApp(service, LOG)))


@then("it is answered {status:d}")
def check_answer(context: Context, status: int) -> None:
    assert context.exchange.status == status, context.exchange.status


@then('a deadline of "{text}" milliseconds is taken as {s:g} s')
def check_deadline(context: Context, text: str, s: float) -> None:
    assert _parse_wait_s(text.encode()) == s, _parse_wait_s(text.encode())


class SilentAgent(EntryStreamHandler):
    """An agent that accepts streams and sends nothing."""

    def open_entry(self, outgoing: Any, entry: EntryId) -> int:
        return 1

    def receive_entry(self, session: int, message: EntryMessage) -> None:
        return

    def close_entry(self, session: int) -> None:
        return


class SpoilingEntry(AgentStreamHandler):
    """An entry whose first stream gets a message that can't be encoded."""

    def __init__(self) -> None:
        self.opened = 0
        self.opened_again = asyncio.Event()

    def open_agent(
        self, outgoing: MessageQueue[EntryMessage], name: str
    ) -> int:
        self.opened += 1
        backlog = TOO_LARGE if self.opened == 1 else 0
        outgoing.put(EntryMessage(EntryId("e", 1), 1, None, backlog=backlog))
        if self.opened > 1:
            self.opened_again.set()
        return self.opened

    def receive_agent(self, session: int, message: Any) -> None:
        return

    def close_agent(self, session: int) -> None:
        return


@given("an agent that accepts streams")
def make_silent_agent(context: Context) -> None:
    context.port = PortPicker().pick()


@when("an entry sends it a message that can't be encoded")
def send_unencodable(context: Context) -> None:
    async def run() -> None:
        server = RunStreamServer(SilentAgent())
        await server.start("127.0.0.1", context.port)
        entry = SpoilingEntry()
        stream = AgentStream("a", f"127.0.0.1:{context.port}", entry, LOG)
        stream.start()
        try:
            async with asyncio.timeout(LIMIT_S / 2):
                await entry.opened_again.wait()
        finally:
            context.opened = entry.opened
            await stream.close()
            await server.close()

    asyncio.run(run())


@then("the stream was opened {times:d} times")
def check_opened(context: Context, times: int) -> None:
    assert context.opened == times, context.opened
