"""Steps that send hostile and malformed input."""

from __future__ import annotations

from random import Random
import socket
import time
from typing import Any
from typing import TYPE_CHECKING

from behave import then
import httpx
from hypothesis import given as any_of
from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import strategies
import msgspec

from fulmarscale.errors import ResultCode
from fulmarscale.ids import generate_submission_id

if TYPE_CHECKING:
    from collections.abc import Callable

    from behave.runner import Context

    from features.support.site_driver import HttpAnswer
    from features.support.site_driver import SiteDriver

RANDOM = Random(7)
VALID_JOB: dict[str, Any] = {"kind": "echo", "tasks": [{"payload": 1}]}


def new_id(ahead_s: float = 0.0) -> str:
    """Mint a submission id for a time `ahead_s` seconds from now."""
    return generate_submission_id(time.time() + ahead_s, RANDOM)


class FaultySubmission:
    """A submission that is made invalid before it is sent."""

    def __init__(self, driver: SiteDriver) -> None:
        self._driver = driver
        self.key: str | None = driver.site.state.customers["fjaervik"]
        self.submission_id: str | None = new_id()
        """Submission id to send; no header is sent if none."""
        self.body = msgspec.json.encode(VALID_JOB)

    def change_job(self, **changes: Any) -> None:
        self.body = msgspec.json.encode({**VALID_JOB, **changes})

    def send(self) -> HttpAnswer:
        headers = {}
        if self.key is not None:
            headers["authorization"] = f"Bearer {self.key}"
        if self.submission_id is not None:
            headers["idempotency-key"] = self.submission_id
        url = f"{self._driver.entry_url(0)}/v1/jobs"
        return self._driver.send_request(
            "POST", url, headers=headers, content=self.body
        )


def set_key(key: str | None) -> Callable[[FaultySubmission], None]:
    return lambda submission: setattr(submission, "key", key)


def set_id(
    make_id: Callable[[], str | None],
) -> Callable[[FaultySubmission], None]:
    return lambda submission: setattr(submission, "submission_id", make_id())


def set_body(body: bytes) -> Callable[[FaultySubmission], None]:
    return lambda submission: setattr(submission, "body", body)


def set_job(**changes: Any) -> Callable[[FaultySubmission], None]:
    return lambda submission: submission.change_job(**changes)


SUBMISSION_FAULTS: dict[str, Callable[[FaultySubmission], None]] = {
    "no key": set_key(None),
    "a wrong key": set_key("not-a-key"),
    "the operators' key": set_key("operator-key-of-the-stand-in"),
    "no id": set_id(lambda: None),
    "an id that is no UUIDv7": set_id(
        lambda: "6e2b1c1e-5a0b-4c59-9a0e-2f1f5b8b0a11"
    ),
    "an id in upper case": set_id(lambda: new_id().upper()),
    "an id an hour in advance": set_id(lambda: new_id(3600)),
    "an empty body": set_body(b""),
    "random bytes": set_body(RANDOM.randbytes(2000)),
    "a deeply nested body": set_body(
        b'{"kind":"echo","tasks":[{"payload":' + b"[" * 200_000
    ),
    "an unknown field": set_job(colour="red"),
    "no tasks": set_job(tasks=[]),
    "too many tasks": set_job(tasks=[{}] * 10_001),
    "a payload that is too long": set_job(tasks=[{"payload": "x" * 300_000}]),
    "a body that is too long": set_body(b"[" + b"1," * 5_000_000),
    "a deadline of 0": set_job(deadline_ms=0),
    "a deadline of an hour": set_job(deadline_ms=3_600_000),
    "a kind with spaces": set_job(kind="two words"),
    "dispatch notes as idempotent": set_job(
        kind="dispatch_note", idempotent=True
    ),
}
"""Changes that make a submission invalid, by fault in the feature."""


@then("these submissions are rejected")
def check_rejected(context: Context) -> None:
    for row in context.table:
        submission = FaultySubmission(context.driver)
        SUBMISSION_FAULTS[row["fault"]](submission)
        answer = submission.send()
        actual = (answer.status, answer.body.get("code"))
        expected = (int(row["status"]), int(row["code"]))
        assert actual == expected, (row["fault"], answer)
        if answer.body["code"] == ResultCode.ID_IN_FUTURE.value:
            platform_s = float(answer.body["detail"].split()[-1])
            assert abs(platform_s - time.time()) < 60, answer


@then("random bodies are rejected with an error code")
def check_random_bodies(context: Context) -> None:
    json_values = strategies.recursive(
        strategies.none() | strategies.integers() | strategies.text(),
        lambda inner: (
            strategies.lists(inner)
            | strategies.dictionaries(strategies.text(), inner)
        ),
    )

    @settings(
        max_examples=100,
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @any_of(json_values | strategies.binary())
    def send_one(value: Any) -> None:
        submission = FaultySubmission(context.driver)
        submission.body = (
            value
            if isinstance(value, bytes)
            else httpx.Request("POST", "http://x", json=value).content
        )
        answer = submission.send()
        assert answer.status == 400, (value, answer)
        assert answer.body["code"] == ResultCode.BODY_INVALID.value

    send_one()


@then("random bytes on its listeners do not stop an entry")
def check_garbage_bytes(context: Context) -> None:
    state = context.driver.site.state
    path = context.driver.site.folder / "entry-0.json"
    settings_read = msgspec.json.decode(path.read_bytes())
    addresses = [
        settings_read["stream_address"],
        state.entries[0].url.removeprefix("http://"),
    ]
    for address in addresses:
        host, port = address.split(":")
        for _ in range(20):
            with socket.create_connection((host, int(port)), 5) as conn:
                conn.sendall(RANDOM.randbytes(3000))
    context.driver.wait_until_ready(0)


@then("an agent with a wrong secret cannot join")
def check_wrong_secret(context: Context) -> None:
    site = context.driver.site
    path = site.folder / "agent-0.json"
    changed = msgspec.json.decode(path.read_bytes())
    changed["name"] = "intruder"
    changed["secret"] = "a-secret-of-its-own-making"
    path.with_name("intruder.json").write_bytes(msgspec.json.encode(changed))
    site.start_extra_agent("agent-intruder", path.with_name("intruder.json"))
    time.sleep(3)
    status = context.driver.send_as_operator("GET", "/v1/status").body
    assert [a["name"] for a in status["agents"]] == ["agent-0"], status


@then(
    "a customer can neither reuse the id nor read the job of another customer"
)
def check_other_customer(context: Context) -> None:
    driver = context.driver
    submission_id = driver.mint_ids(0, customer="fjaervik")[0]
    own = driver.submit(submission_id, [1], kind="echo", customer="fjaervik")
    assert own.outcome == "done", own
    other = driver.submit(submission_id, [1], kind="echo", customer="lautoka")
    assert (other.status, other.body["code"]) == (409, 4005), other
    key = driver.site.state.customers["lautoka"]
    shown = driver.send_request(
        "GET",
        f"{driver.entry_url(0)}/v1/jobs/{submission_id}",
        headers={"authorization": f"Bearer {key}"},
    )
    assert (shown.status, shown.body["code"]) == (404, 4007), shown


@then("an id that is reused with another body is rejected")
def check_other_body(context: Context) -> None:
    driver = context.driver
    submission_id = driver.mint_ids(0)[0]
    assert driver.submit(submission_id, [1], kind="echo").outcome == "done"
    other = driver.submit(submission_id, [2], kind="echo")
    assert (other.status, other.body["code"]) == (409, 4005), other
    assert len(driver.started_indexes(submission_id)) == 1


@then("a submission with an id minted an hour ago ends as outcome_unknown")
def check_old_id(context: Context) -> None:
    submission_id = new_id(-3600)
    answer = context.driver.submit(submission_id, [1], kind="echo")
    assert answer.outcome == "outcome_unknown", answer
    assert answer.body["code"] == ResultCode.ID_TOO_OLD.value, answer


@then("only the tasks of valid jobs were started")
def check_only_valid_started(context: Context) -> None:
    assert len(context.driver.starts()) == 2, context.driver.starts()


class OperatorRequest:
    """An operator's request that is made invalid before it is sent."""

    def __init__(self, version: str) -> None:
        self.method = "PUT"
        self.path = "/v1/data-centres/vest-a"
        self.key = "operator-key-of-the-stand-in"
        self.version: str | None = version
        self.body: Any = {"state": "out"}


def make_invalid(request: OperatorRequest, fault: str) -> None:
    """Make a request invalid by a fault that the feature names."""
    if fault == "a customer's key":
        request.key = "customer-key-of-fjaervik"
    elif fault == "no version":
        request.version = None
    elif fault == "an old version":
        request.version = '"77"'
    elif fault == "an unknown state":
        request.body = {"state": "sideways"}
    elif fault == "a contract without keys":
        request.path = "/v1/contracts/fjaervik"
        request.body = {"rate": 1, "burst": 1, "key_hashes": []}
    elif fault == "an unknown customer":
        request.method = "GET"
        request.path = "/v1/contracts/nobody"
    elif fault == "an unknown route":
        request.path = "/v1/nothing"


@then("these operator requests are rejected")
def check_operator_rejected(context: Context) -> None:
    driver = context.driver
    path = "/v1/data-centres/vest-a"
    version = driver.send_as_operator("GET", path).headers["etag"]
    for row in context.table:
        request = OperatorRequest(version)
        make_invalid(request, row["fault"])
        headers = {"authorization": f"Bearer {request.key}"}
        if request.version is not None:
            headers["if-match"] = request.version
        answer = driver.send_request(
            request.method,
            f"{driver.entry_url(0)}{request.path}",
            headers=headers,
            json=request.body,
        )
        actual = (answer.status, answer.body.get("code"))
        expected = (int(row["status"]), int(row["code"]))
        assert actual == expected, (row["fault"], answer)
    shown = driver.send_as_operator("GET", path)
    assert shown.body == {"state": "in"}, shown


@then("an unknown agent can't be drained")
def check_unknown_agent(context: Context) -> None:
    answer = context.driver.send_as_operator(
        "PUT", "/v1/agents/nobody", body={"state": "draining"}
    )
    assert (answer.status, answer.body["code"]) == (404, 5004), answer
