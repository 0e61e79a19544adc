"""Steps that test the adapter to the users' platform against stubs."""

from __future__ import annotations

import asyncio
import base64
from contextlib import suppress
from pathlib import Path
import re
from typing import Any
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when
import msgspec

from features.support.exchange import Exchange
from features.support.loopback import LOG
from features.support.loopback import LONG_TIMEOUTS
from features.support.loopback import make_queue
from features.support.loopback import TARGET_INCARNATION
from fulmarscale.agent.run_target_client import TargetUnreachableError
from fulmarscale.cli._settings_watcher import SettingsWatcher
from fulmarscale.entry.durable.record import DurableJobState
from fulmarscale.entry.durable.rows import CommitResult
from fulmarscale.entry.durable.rows import CommitStatus
from fulmarscale.entry.durable.rows import Row
from fulmarscale.entry.jobs.actions import AnswerJob
from fulmarscale.entry.jobs.actions import JobOutcome
from fulmarscale.entry.jobs.actions import JobState
from fulmarscale.entry.jobs.job_service import DurableJobs
from fulmarscale.entry.jobs.job_service import JobService
from fulmarscale.entry.jobs.process import DispatchProcess
from fulmarscale.errors import FulmarError
from fulmarscale.errors import ResultCode
from fulmarscale.events import Event
from fulmarscale.ids import EntryId
from fulmarscale.logs import EventLog
from fulmarscale.platform.agent_registration import AgentRegistrar
from fulmarscale.platform.agent_registration import AgentRow
from fulmarscale.platform.asgi import MetricsApp
from fulmarscale.platform.heartbeats import HeartbeatApp
from fulmarscale.platform.http_client import HttpClient
from fulmarscale.platform.http_client import RequestError
from fulmarscale.platform.ingress import IngressApp
from fulmarscale.platform.runner import RunnerClient
from fulmarscale.platform.store import HistoryGoneError
from fulmarscale.platform.store import RowStoreClient
from fulmarscale.platform.table_follower import make_site_follower
from fulmarscale.platform.wire import WireRow
from fulmarscale.platform.wire import WireRows
from fulmarscale.runs.clock import boottime_s
from fulmarscale.runs.model import JobId
from fulmarscale.runs.model import JobSpec
from fulmarscale.runs.model import Resources
from fulmarscale.runs.model import ServiceName
from fulmarscale.runs.model import Step
from fulmarscale.runs.model import TargetIncarnation
from fulmarscale.runs.model import TargetReport
from fulmarscale.runs.model import TargetState
from fulmarscale.runs.model import TaskKey
from fulmarscale.runs.site_config import newer_config
from fulmarscale.runs.site_config import SiteConfig
from fulmarscale.settings import load_settings
from fulmarscale.settings import SiteAgentSettings
from fulmarscale.settings import SiteEntrySettings
from standins.http_stub import HttpStub
from standins.http_stub import StubResponse

if TYPE_CHECKING:
    from behave.runner import Context

    from fulmarscale.entry.durable.rows import RowKey
    from fulmarscale.entry.durable.rows import RowWrite
    from standins.http_stub import StubRequest

ENTRY = EntryId("e", 1)

TASK = TaskKey(JobId("00"), 0, 0, 0)

HEARTBEAT: dict[str, Any] = {
    "service": "press",
    "address": "10.0.0.9:80",
    "zone": "here",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "coldLeftMs": 0,
    "capacity": {"cpu": 16000, "memMb": 32768, "gpu": 0},
    "labels": ["a", "r1"],
    "clockMs": 482113,
    "callSeq": 4,
    "born": 1780000000000,
}

JOB: dict[str, Any] = {
    "spec": "text",
    "bestEffort": True,
    "steps": [{"count": 2, "cpu": 1600, "memMb": 64, "estimatedMs": 120}],
}


TARGET_REPORT = TargetReport(
    TARGET_INCARNATION,
    ServiceName("press"),
    "here",
    TargetState.READY,
    Resources(16000),
)

JOB_SPEC = JobSpec("text", (Step(1, Resources(1600, 64, 0), 0.12),))


class FakeDurableJobs(DurableJobs):
    """Holds one durable job, 0033, which is completed."""

    def __init__(self) -> None:
        self.is_store_unavailable = False
        self.cancelled: list[str] = []

    def owns(self, job_id: Any) -> bool:
        return False

    async def state_of(self, job_id: Any) -> DurableJobState | None:
        self._check_store()
        return DurableJobState.COMPLETED if job_id == "0033" else None

    async def code_of(self, job_id: Any) -> ResultCode:
        self._check_store()
        return ResultCode.OK

    async def cancel(self, job_id: Any) -> bool:
        self._check_store()
        self.cancelled.append(job_id)
        return job_id == "0033"

    async def pending_of(self, queue: str) -> int:
        return 7 if queue == "/quick/" else 0

    def _check_store(self) -> None:
        if self.is_store_unavailable:
            raise FulmarError(ResultCode.STORE_UNAVAILABLE, "away")


class FakeJobService(JobService):
    """Reports the same outcome for every job."""

    def __init__(self, outcome: JobOutcome | None) -> None:
        self.outcome = outcome
        """The outcome of each job; none if no job ends."""
        self.stopping = False
        self.fake_configuration = SiteConfig(1, 1, (make_queue("/quick/"),))
        self.fake_site_age_s = 0.0
        """Time since the configuration was known to be the newest."""
        self.disconnected: list[str] = []
        """Jobs whose caller has disconnected."""
        self.cancelled_jobs: list[str] = []
        """Best-effort jobs that a caller has cancelled."""
        self.submitted: list[str] = []
        """Best-effort jobs that were submitted."""
        self.fake_durable_jobs = FakeDurableJobs()

    @property
    def durable_jobs(self) -> FakeDurableJobs:
        return self.fake_durable_jobs

    @property
    def site(self) -> SiteConfig:
        return self.fake_configuration

    @property
    def site_age_s(self) -> float:
        return self.fake_site_age_s

    @property
    def is_stopping(self) -> bool:
        return self.stopping

    @property
    def is_ready(self) -> bool:
        return True

    def submit(self, job_id: Any, *_: Any) -> Any:
        self.submitted.append(job_id)
        future: asyncio.Future[AnswerJob] = asyncio.Future()
        if self.outcome is not None:
            future.set_result(AnswerJob(job_id, self.outcome, 1.0))
        return future

    def state_of(self, job_id: Any) -> JobState | None:
        return JobState.RUNNING if job_id == "0022" else None

    async def submit_durable(self, job_id: Any, *_: Any) -> AnswerJob:
        if self.outcome is not None:
            return AnswerJob(job_id, self.outcome, 1.0)
        try:
            await asyncio.Event().wait()
        finally:
            self.disconnected.append(job_id)

    def cancel_job(self, job_id: Any) -> None:
        self.cancelled_jobs.append(job_id)

    def withdraw_caller(self, job_id: Any, future: Any) -> None:
        self.disconnected.append(job_id)


@when("a heartbeat with {change} is received")
def send_heartbeat(context: Context, change: str) -> None:
    heartbeat = dict(HEARTBEAT)
    match change:
        case "no capacity":
            del heartbeat["capacity"]
        case "an unknown state":
            heartbeat["state"] = "sleeping"
        case "a string for a number":
            heartbeat["callSeq"] = "4"
    body = msgspec.json.encode(heartbeat)
    if change == "a body that is not JSON":
        body = b"\xff\x00"
    context.targets = []
    app = HeartbeatApp(context.targets.append, LOG)
    context.exchange = Exchange("POST", "/api/Instances.Heartbeat/i-1", body)
    asyncio.run(context.exchange.run(app))


@then(
    "the heartbeat response has status {status:d} and {count:d} targets are"
    " registered"
)
def check_heartbeat(context: Context, status: int, count: int) -> None:
    assert context.exchange.status == status, context.exchange.status
    assert len(context.targets) == count, context.targets


@given("an ingress that {state}")
def make_ingress(context: Context, state: str) -> None:
    outcomes = {
        "completes all jobs": JobOutcome.COMPLETED,
        "fails all jobs": JobOutcome.FAILED,
        "runs no job": JobOutcome.NOT_RUN,
        "leaves jobs unfinished": JobOutcome.UNFINISHED,
        "is shutting down": JobOutcome.COMPLETED,
        "stores all jobs": JobOutcome.STORED,
        "cannot reach the store": JobOutcome.NOT_RUN,
    }
    context.job_service = FakeJobService(outcomes.get(state))
    context.job_service.fake_durable_jobs.is_store_unavailable = (
        state == "cannot reach the store"
    )
    context.job_service.stopping = state == "is shutting down"
    if state == "has no configuration":
        context.job_service.fake_configuration = SiteConfig()


@given("its configuration was confirmed {s:g} s ago")
def set_site_age(context: Context, s: float) -> None:
    context.job_service.fake_site_age_s = s


@when("a caller disconnects after sending a {kind} job")
def send_and_disconnect(context: Context, kind: str) -> None:
    body = msgspec.json.encode({**JOB, "bestEffort": kind == "best-effort"})
    context.exchange = Exchange("POST", "/quick/0011", body)
    context.exchange.disconnects = True

    async def run() -> None:
        async with asyncio.timeout(1.0):
            await context.exchange.run(IngressApp(context.job_service, LOG))
        context.disconnected = list(context.job_service.disconnected)

    asyncio.run(run())


@when("a caller sends {request}")
def send_request(context: Context, request: str) -> None:
    job = dict(JOB)
    method, path = "POST", "/quick/0011"
    match request:
        case "a durable job":
            job["bestEffort"] = False
        case "a gang-scheduled job":
            job["steps"] = [{"count": 2, "gang": True}]
        case "a recurring job":
            job["runCount"] = 3
        case "a job that needs advice":
            queue = msgspec.structs.replace(
                make_queue("/quick/"), needs_advice=True
            )
            context.job_service.fake_configuration = SiteConfig(1, 1, (queue,))
        case "a job without steps":
            job["steps"] = []
        case "a job with a forward dependency":
            job["steps"] = [{"count": 1, "after": [1]}, {"count": 1}]
        case "a job for an unknown queue":
            path = "/slow/0011"
        case "a GET for a queue":
            method, path = "GET", "/quick/"
        case "a GET for an unknown job":
            method = "GET"
        case "a GET for a durable job":
            method, path = "GET", "/quick/0033"
        case "a DELETE for a durable job":
            method, path = "DELETE", "/quick/0033"
        case "a GET for a running job":
            method, path = "GET", "/quick/0022"
        case "a DELETE for a running job":
            method, path = "DELETE", "/quick/0022"
        case "a DELETE for an unknown job":
            method = "DELETE"
    body = msgspec.json.encode(job) if method == "POST" else b""
    context.exchange = Exchange(method, path, body)
    asyncio.run(context.exchange.run(IngressApp(context.job_service, LOG)))


@then("the response is {status:d} with {detail}")
def check_response(context: Context, status: int, detail: str) -> None:
    exchange = context.exchange
    assert exchange.status == status, exchange.status
    match detail.split(" "):
        case ["Retry-After"]:
            assert b"retry-after" in exchange.headers
        case ["no", "Retry-After"]:
            assert b"retry-after" not in exchange.headers
        case ["state", state]:
            assert msgspec.json.decode(exchange.body)["state"] == state
        case ["a", "cancellation"]:
            assert context.job_service.cancelled_jobs == ["0022"], (
                context.job_service.cancelled_jobs
            )
        case ["a", "durable", "cancellation"]:
            cancelled = context.job_service.fake_durable_jobs.cancelled
            assert cancelled == ["0033"], cancelled
        case ["pending"]:
            assert msgspec.json.decode(exchange.body)["pending"] == 7
        case _:
            assert exchange.headers[b"connection"] == b"close"


@then("the job service was notified that the caller disconnected")
def check_disconnected(context: Context) -> None:
    assert context.disconnected == ["0011"], context.disconnected
    assert context.exchange.status == 0, context.exchange.status


@given('queues with the path prefixes "{first}" and "{second}"')
def make_queues(context: Context, first: str, second: str) -> None:
    context.site_configuration = SiteConfig(
        1, 1, (make_queue(first), make_queue(second))
    )


@then('the path "{path}" is routed to the queue "{name}"')
def check_queue(context: Context, path: str, name: str) -> None:
    queue = context.site_configuration.find_queue("site.example", path)
    assert queue is not None, "no queue"
    assert queue.name == name, queue.name


class FakeStore:
    """Returns scripted results for reads and for the change feed."""

    def __init__(self, reads: list[Any], feed_results: list[Any]) -> None:
        self._reads = reads
        self._feed_results = feed_results
        self.exhausted = asyncio.Event()
        """Set when a call finds no more scripted results."""

    async def read(self, table: str, part: str = "") -> WireRows:
        return await self._next(self._reads)

    async def read_changes(
        self, table: str, after: int, wait_s: float
    ) -> WireRows:
        return await self._next(self._feed_results)

    async def _next(self, results: list[Any]) -> WireRows:
        if not results:
            self.exhausted.set()
            await asyncio.sleep(3600)
        result = results.pop(0)
        if isinstance(result, Exception):
            raise result
        return result


def make_rows(revision: int, value: bytes | None = None) -> WireRows:
    """Return the rows of the operators' configuration at a revision."""
    if value is None:
        value = msgspec.json.encode({"version": revision, "routes": []})
    text = base64.b64encode(value).decode()
    row = WireRow(table="op", key="config", ver=revision, value=text)
    return WireRows(revision, (row,))


@given("a store that returns revision 9, then 4, then 12")
def make_stale_store(context: Context) -> None:
    gone = HistoryGoneError()
    context.reads = [make_rows(9), make_rows(4), make_rows(12)]
    context.feed_results = [gone, gone]


@given("a store whose change history has expired after revision 5")
def make_expired_store(context: Context) -> None:
    context.reads = [make_rows(5), make_rows(8)]
    context.feed_results = [HistoryGoneError()]


@given("a store whose second configuration can't be decoded")
def make_malformed_store(context: Context) -> None:
    context.reads = [make_rows(3)]
    context.feed_results = [make_rows(6, b"\xff")]


@when("the operators' configuration is followed {extent}")
def follow_configuration(context: Context, extent: str) -> None:
    context.adopted = []
    context.confirmed = 0

    async def run() -> None:
        store: Any = FakeStore(context.reads, context.feed_results)

        def record_revision(site: SiteConfig) -> None:
            context.adopted.append(site.revision)

        def record_confirmation() -> None:
            context.confirmed += 1

        follower = make_site_follower(
            store, record_revision, LOG, record_confirmation
        )
        follower.start()
        await store.exhausted.wait()
        await follower.close()

    asyncio.run(run())


@given("a store that returns revision 3, and no changes after it")
def make_idle_store(context: Context) -> None:
    context.reads = [make_rows(3)]
    context.feed_results = [WireRows(3, ())]


@then("it was confirmed {count:d} times")
def check_confirmed(context: Context, count: int) -> None:
    assert context.confirmed == count, context.confirmed


@then("the adopted revisions are {first:d} and {second}")
def check_adopted(context: Context, first: int, second: str) -> None:
    expected = [first] if second == "nothing else" else [first, int(second)]
    assert context.adopted == expected, context.adopted


@given("a site configuration of version {version:d} at revision {revision:d}")
def make_configuration(context: Context, version: int, revision: int) -> None:
    context.site_configuration = SiteConfig(revision, version)


@when(
    "a site configuration of version {version:d} at revision {revision:d} is"
    " received"
)
def receive_configuration(
    context: Context, version: int, revision: int
) -> None:
    offered = SiteConfig(revision, version)
    context.site_configuration = newer_config(
        context.site_configuration, offered
    )


@then("version {version:d} stays in effect")
def check_configuration(context: Context, version: int) -> None:
    assert context.site_configuration.configuration_version == version


@given("a server that never responds on its first connection")
def make_silent_server(context: Context) -> None:
    context.stub = HttpStub(lambda request: None)

    def respond(request: StubRequest) -> StubResponse | None:
        return None if context.stub.connections == 1 else StubResponse(200)

    context.stub = HttpStub(respond)


@when("two calls are made in sequence")
def call_twice(context: Context) -> None:
    context.call_results = []

    async def run() -> None:
        await context.stub.start()
        client = HttpClient(context.stub.address, 4, 20.0)
        for timeout_s in (3.0, 20.0):
            try:
                answer = await client.call("GET", "/x", b"", timeout_s)
                context.call_results.append(answer.status)
            except RequestError as error:
                context.call_results.append(error.may_be_sent)
        client.close()
        await context.stub.close()

    asyncio.run(run())


@then(
    "the first fails after its request was sent and the second gets a response"
)
def check_two_calls(context: Context) -> None:
    assert context.call_results == [True, 200], context.call_results


@given("an address on which no server listens")
def make_closed_address(context: Context) -> None:
    context.address = "127.0.0.1:1"


@when("a call is made")
def call_once(context: Context) -> None:
    async def run() -> None:
        client = HttpClient(context.address, 4, 20.0)
        try:
            await client.call("GET", "/x", b"", 20.0)
        except RequestError as error:
            context.error = error

    asyncio.run(run())


@then("it fails with its request not sent")
def check_not_sent(context: Context) -> None:
    error: FulmarError = context.error
    assert isinstance(error, RequestError), error
    assert not error.may_be_sent, error.detail


def run_with_runner(context: Context, respond: Any, work: Any) -> None:
    """Make calls to a scripted runner.

    The timeouts are long, so that a slow machine does not change a result.
    """

    async def run() -> None:
        context.stub = HttpStub(respond)
        await context.stub.start()
        runner = RunnerClient(LOG, LONG_TIMEOUTS)
        runner.update_from_heartbeat(
            TARGET_INCARNATION, context.stub.address, 100
        )
        await work(runner)
        await runner.close()
        await context.stub.close()

    asyncio.run(run())


@given("a runner that has received the fencing token {token:d}")
def make_fenced_runner(context: Context, token: int) -> None:
    def respond(request: StubRequest) -> StubResponse:
        sent = msgspec.json.decode(request.body)["fencingToken"]
        if sent < token:
            body = {"clockMs": token + 10, "reason": "fence"}
            return StubResponse(409, msgspec.json.encode(body))
        body = {"clockMs": token + 20, "born": 77}
        return StubResponse(200, msgspec.json.encode(body))

    context.respond = respond


@given(
    "a runner at time {clock_ms:d} that has received the fencing token"
    " {token:d}"
)
def make_reborn_runner(context: Context, clock_ms: int, token: int) -> None:
    def respond(request: StubRequest) -> StubResponse:
        sent = msgspec.json.decode(request.body)["fencingToken"]
        if sent < token:
            body: dict[str, Any] = {"clockMs": clock_ms, "reason": "fence"}
            return StubResponse(409, msgspec.json.encode(body))
        body = {"clockMs": clock_ms, "born": 77, "running": [], "ended": []}
        return StubResponse(200, msgspec.json.encode(body))

    context.respond = respond


def renew_times(context: Context, token: int, times: int) -> None:
    """Renew a lease as a new process; records which renewals succeed."""

    async def work(runner: RunnerClient) -> None:
        context.renewals = []
        runner.supersede(token)
        for _ in range(times):
            try:
                await runner.renew(TARGET_INCARNATION, 0, 0.0, boottime_s())
                context.renewals.append(True)
            except TargetUnreachableError:
                context.renewals.append(False)

    run_with_runner(context, context.respond, work)


@when(
    "an agent that has read the fencing token {token:d} from its row renews a"
    " lease"
)
def renew_with_token(context: Context, token: int) -> None:
    renew_times(context, token, 1)


@when("an agent whose row could not be read renews a lease {times:d} times")
def renew_without_token(context: Context, times: int) -> None:
    renew_times(context, 0, times)


@then("the runner accepts renewal {number:d}")
def check_renewal(context: Context, number: int) -> None:
    assert context.renewals[number - 1], context.renewals


@when("an agent writes its row with the fencing token {token:d}")
def write_token(context: Context, token: int) -> None:
    rows: list[bytes] = []

    class RowHolder:
        """A store that holds one row."""

        async def commit(self, writes: tuple[RowWrite, ...]) -> CommitResult:
            (write,) = writes
            assert write.expected_version == len(rows), writes
            assert write.value is not None
            rows.append(write.value)
            return CommitResult(CommitStatus.APPLIED, len(rows))

        async def read_row(self, name: RowKey) -> Row | None:
            return Row(name, rows[-1], len(rows)) if rows else None

    async def run() -> None:
        store: Any = RowHolder()
        registrar = AgentRegistrar(store, "a", "127.0.0.1:1", LOG)
        registrar.update_target(TARGET_REPORT, "127.0.0.1:2", token)
        registrar.start()
        while not rows:
            await asyncio.sleep(0)
        await registrar.close()
        # The next process writes its row before its target's heartbeat.
        following = AgentRegistrar(store, "a", "127.0.0.1:1", LOG)
        await following.read_previous_row()
        following.start()
        while len(rows) < 2:
            await asyncio.sleep(0)
        await following.close()
        last = AgentRegistrar(store, "a", "127.0.0.1:1", LOG)
        context.restored = await last.read_previous_row()

    asyncio.run(run())


@then("an agent that starts again reads the fencing token {token:d}")
def check_stored_token(context: Context, token: int) -> None:
    assert context.restored.fencing_token == token, context.restored


@given("a runner that accepts every renewal")
def make_accepting_runner(context: Context) -> None:
    def respond(_: StubRequest) -> StubResponse:
        body = {"clockMs": 10, "born": 77, "running": [], "ended": []}
        return StubResponse(200, msgspec.json.encode(body))

    context.respond = respond


@when(
    "its lease is renewed before and after it starts again with a lower clock"
)
def renew_around_restart(context: Context) -> None:
    async def work(runner: RunnerClient) -> None:
        address = context.stub.address
        target = TARGET_INCARNATION.target
        for born_ms, clock_ms in ((78, 5000), (79, 20)):
            incarnation = TargetIncarnation(target, born_ms)
            runner.update_from_heartbeat(incarnation, address, clock_ms)
            await runner.renew(incarnation, 0, 0.0, boottime_s())

    run_with_runner(context, context.respond, work)


@when("a lease is renewed twice, first with a fencing token of 100")
def renew_twice(context: Context) -> None:
    async def work(runner: RunnerClient) -> None:
        for _ in range(2):
            try:
                await runner.renew(TARGET_INCARNATION, 0, 0.0, boottime_s())
            except TargetUnreachableError:
                continue

    run_with_runner(context, context.respond, work)


@then("the second renewal carries a fencing token of {token:d} or more")
def check_token(context: Context, token: int) -> None:
    bodies = [msgspec.json.decode(r.body) for r in context.stub.requests]
    tokens = [body["fencingToken"] for body in bodies]
    assert tokens[0] == 100, tokens
    assert tokens[1] >= token, tokens


@then("the second renewal carries a higher fencing token than the first")
def check_token_rises(context: Context) -> None:
    bodies = [msgspec.json.decode(r.body) for r in context.stub.requests]
    first, second = (body["fencingToken"] for body in bodies)
    assert second > first >= 5000, (first, second)


@then("an agent that has read the first token from its row exceeds the second")
def check_following_token(context: Context) -> None:
    bodies = [msgspec.json.decode(r.body) for r in context.stub.requests]
    first, second = (body["fencingToken"] for body in bodies)
    following = RunnerClient(LOG)
    following.supersede(first)
    assert following.fencing_token > second, (following.fencing_token, second)


@when("a start and a renewal are sent {late_s:g} s after their decision")
def send_late(context: Context, late_s: float) -> None:
    async def work(runner: RunnerClient) -> None:
        decided_at = boottime_s() - late_s
        await runner.start(TARGET_INCARNATION, TASK, 1, "text", decided_at)
        await runner.renew(TARGET_INCARNATION, 0, 0.0, decided_at)

    run_with_runner(context, context.respond, work)


@then("their leases end within {most_s:g} s of the runner's time {clock_ms:d}")
def check_lease_ends(context: Context, most_s: float, clock_ms: int) -> None:
    bodies = [msgspec.json.decode(r.body) for r in context.stub.requests]
    leases_s = [(body["untilMs"] - clock_ms) / 1000 for body in bodies]
    assert len(leases_s) == 2, leases_s
    assert 0.0 < max(leases_s) <= most_s, leases_s


@given(
    "a runner that leaves one start request without a response, then rejects"
    ' one as "late" and one as "old"'
)
def make_rejecting_runner(context: Context) -> None:
    reasons = [None, "late", "old"]

    def respond(request: StubRequest) -> StubResponse | None:
        reason = reasons.pop(0)
        if reason is None:
            return None
        body = {"clockMs": 500, "reason": reason}
        return StubResponse(409, msgspec.json.encode(body))

    context.respond = respond


@when("three start requests are sent")
def send_three_starts(context: Context) -> None:
    context.start_results = []

    async def work(runner: RunnerClient) -> None:
        for number in range(3):
            answer = await runner.start(
                TARGET_INCARNATION, TASK, number + 1, "text", boottime_s()
            )
            context.start_results.append(answer.value)

    run_with_runner(context, context.respond, work)


@then("their results are unknown, rejected and number_too_low")
def check_starts(context: Context) -> None:
    expected = ["unknown", "rejected", "number_too_low"]
    assert context.start_results == expected, context.start_results


@given("an entry that has responded to a job")
def make_entry(context: Context) -> None:
    async def run() -> None:
        log = EventLog("test", "entry")
        context.process = DispatchProcess("e", "here", RowStoreClient(""), log)
        log.write(Event.JOB_REJECTED, status=404)
        context.process.submit(
            JobId("0011"), make_queue("/quick/"), JOB_SPEC, 5.0
        )
        context.process.cancel_job(JobId("0011"))

    asyncio.run(run())


@when("its metrics are scraped")
def scrape_metrics(context: Context) -> None:
    context.exchange = Exchange("GET", "/metrics", b"")
    asyncio.run(context.exchange.run(MetricsApp(context.process.metrics)))


@then('they contain "{text}"')
def check_metrics(context: Context, text: str) -> None:
    assert text in context.exchange.body.decode(), context.exchange.body


@given("a store whose row of the agent is {row}")
def make_row_store(context: Context, row: str) -> None:
    value = msgspec.json.encode(
        AgentRow("10.0.0.1:7", TARGET_REPORT, "10.0.0.2:8")
    )
    if row == "malformed":
        value = b"{"
    text = base64.b64encode(value).decode()
    rows = [{"table": "agents", "key": "a", "ver": 4, "value": text}]
    if row == "missing":
        rows = []
    body = msgspec.json.encode({"ver": 9, "rows": rows, "hasMore": False})

    def respond(request: StubRequest) -> StubResponse | None:
        return None if row == "unavailable" else StubResponse(200, body)

    context.respond = respond


@when("the agent restores its target from the store")
def restore_target(context: Context) -> None:
    async def run() -> None:
        stub = HttpStub(context.respond)
        await stub.start()
        store = RowStoreClient(stub.address, call_timeout_s=4.0)
        registrar = AgentRegistrar(store, "a", "10.0.0.1:7", LOG)
        context.restored = await registrar.read_previous_row()
        await store.close()
        await stub.close()

    asyncio.run(run())


@then("it restores {result}")
def check_restored(context: Context, result: str) -> None:
    if result == "nothing":
        assert context.restored is None, context.restored
        return
    assert context.restored.target.incarnation == TARGET_INCARNATION, (
        context.restored
    )


@when(
    "the lease of a target known from before an agent restart is renewed twice"
)
def renew_restored(context: Context) -> None:
    async def run() -> None:
        context.stub = HttpStub(context.respond)
        await context.stub.start()
        runner = RunnerClient(LOG, LONG_TIMEOUTS)
        runner.resume_target(TARGET_INCARNATION, context.stub.address)
        for _ in range(2):
            try:
                await runner.renew(TARGET_INCARNATION, 0, 0.0, boottime_s())
            except TargetUnreachableError:
                continue
        await runner.close()
        await context.stub.close()

    asyncio.run(run())


@then("the first renewal does not extend the lease and the second does")
def check_lease(context: Context) -> None:
    bodies = [msgspec.json.decode(r.body) for r in context.stub.requests]
    assert "untilMs" not in bodies[0], bodies
    assert bodies[1]["untilMs"] > 5000, bodies


PLATFORM_FIELDS: dict[str, Any] = {
    "nodeName": "front-vest-a-1",
    "zone": "vest-a",
    "ip": "10.1.0.13",
    "listen": {
        "front": "10.1.0.13:8161",
        "ready": "10.1.0.13:8167",
        "control": "10.1.0.13:8166",
    },
    "internalPorts": [7720, 7735],
    "limits": {"memoryMb": 300},
    "platform": {"address": "10.200.1.7:8169"},
}


def render_template(text: str) -> bytes:
    """Replace the placeholders of a template as the platform does."""

    def replace_placeholder(match: re.Match[str]) -> str:
        value: Any = PLATFORM_FIELDS
        for name in match[1].split("."):
            value = value[int(name)] if name.isdigit() else value[name]
        return msgspec.json.encode(value).decode()

    return re.sub(
        r"{{([A-Za-z0-9.]+)\|json}}", replace_placeholder, text
    ).encode()


@when('the template "{path}" is rendered as by the platform')
def render(context: Context, path: str) -> None:
    root = Path(__file__).parents[2]
    context.settings_path = Path(context.folder, "settings.json")
    rendered = render_template((root / path).read_text())
    context.settings_path.write_bytes(rendered)


@then('the rendered settings are valid for the program "{program}"')
def check_rendered(context: Context, program: str) -> None:
    kinds = {"entry": SiteEntrySettings, "agent": SiteAgentSettings}
    settings = load_settings(context.settings_path, kinds[program])
    assert settings.name == "front-vest-a-1", settings


@given('an agent\'s settings file with the store address "{address}"')
def write_settings(context: Context, address: str) -> None:
    root = Path(__file__).parents[2]
    text = (root / "deploy/agent.json.tmpl").read_text()
    context.settings_path = Path(context.folder, "settings.json")
    rendered = render_template(text).replace(
        b"10.200.1.7:8169", address.encode()
    )
    context.settings_path.write_bytes(rendered)
    context.applied = []
    current = load_settings(context.settings_path, SiteAgentSettings)
    context.watcher = SettingsWatcher(
        context.settings_path, current, context.applied.append, LOG
    )


@when('the store address in the file changes to "{address}"')
def change_settings(context: Context, address: str) -> None:
    text = context.settings_path.read_text()
    text = text.replace("10.0.0.1:80", address)
    context.settings_path.write_text(text)
    context.watcher.reload()


@when("the file is truncated")
def truncate_settings(context: Context) -> None:
    context.applied.clear()
    text = context.settings_path.read_text()
    context.settings_path.write_text(text[: len(text) // 2])
    context.watcher.reload()


@then("the change is applied")
def check_applied(context: Context) -> None:
    stores = [settings.store_address for settings in context.applied]
    assert stores == ["10.0.0.2:80"], stores


@then("no change is applied")
def check_not_applied(context: Context) -> None:
    assert not context.applied, context.applied


class SilencedStore(HttpStub):
    """A store with one configuration whose old connections go silent.

    :param silent_after_s: time from the start after which requests on the
        connections opened by then get no response.
    """

    def __init__(self, silent_after_s: float) -> None:
        super().__init__(self._answer)
        self._silent_after_s = silent_after_s
        self._opened_at: dict[asyncio.Task[Any] | None, float] = {}
        self.silent_at = float("inf")
        """When the connections stop delivering, by the event loop's time."""

    async def start(self) -> None:
        """Listen on a free port of loopback."""
        self.silent_at = asyncio.get_running_loop().time()
        self.silent_at += self._silent_after_s
        await super().start()

    async def _serve(self, reader: Any, writer: Any) -> None:
        now = asyncio.get_running_loop().time()
        self._opened_at[asyncio.current_task()] = now
        await super()._serve(reader, writer)

    def _answer(self, request: StubRequest) -> StubResponse | None:
        now = asyncio.get_running_loop().time()
        if self._opened_at[asyncio.current_task()] < self.silent_at <= now:
            return None
        version = 1 if now < self.silent_at else 2
        if "rows-feed" in request.target and f"after={version}" in (
            request.target
        ):
            # The feed waits for the next change, which this connection
            # doesn't deliver.
            return None
        rows = make_rows(version)
        return StubResponse(200, msgspec.json.encode(rows))


@given("a store whose connections all stop delivering after {s:g} s")
def make_silenced_store(context: Context, s: float) -> None:
    context.silenced_store = SilencedStore(s)


@given("{count:d} idle connections to it beside that of the change feed")
def open_idle_connections(context: Context, count: int) -> None:
    context.idle_connections = count


@when("the operators' configuration changes as the connections stop")
def follow_silenced_store(context: Context) -> None:
    stub = context.silenced_store
    context.adopted_after_s = float("inf")

    async def run() -> None:
        await stub.start()
        loop = asyncio.get_running_loop()
        store = RowStoreClient(stub.address)
        is_adopted = asyncio.Event()

        def record(site: SiteConfig) -> None:
            if site.revision == 2:
                context.adopted_after_s = loop.time() - stub.silent_at
                is_adopted.set()

        reads = [store.read("op") for _ in range(context.idle_connections + 1)]
        await asyncio.gather(*reads)
        follower = make_site_follower(store, record, LOG)
        follower.start()
        with suppress(TimeoutError):
            async with asyncio.timeout(8.0):
                await is_adopted.wait()
        await follower.close()
        await store.close()
        await stub.close()

    asyncio.run(run())


@then("the change is adopted within {s:g} s")
def check_adopted_in_time(context: Context, s: float) -> None:
    assert context.adopted_after_s <= s, context.adopted_after_s


@when("a job is submitted to a route that is added while its body arrives")
def submit_during_change(context: Context) -> None:
    service = context.job_service
    exchange = Exchange("POST", "/later/0011", msgspec.json.encode(JOB))

    def add_route() -> None:
        service.fake_configuration = SiteConfig(
            2, 2, (make_queue("/quick/"), make_queue("/later/"))
        )

    exchange.on_body = add_route
    asyncio.run(exchange.run(IngressApp(service, LOG)))
    context.exchange = exchange


@then("the response has status {status:d}")
def check_status(context: Context, status: int) -> None:
    assert context.exchange.status == status, context.exchange.status
