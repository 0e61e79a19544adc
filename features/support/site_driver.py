"""Client for callers, operators and faults at a site of real processes."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
import os
import signal
import time
from typing import Any
from typing import TYPE_CHECKING

import httpx
import msgspec

from standins.site import wait_until

if TYPE_CHECKING:
    from collections.abc import Callable
    from concurrent.futures import Future

    from standins.site import Site

CALL_TIMEOUT_S = 90
"""Time limit of every HTTP call."""


class HttpAnswer(msgspec.Struct):
    """HTTP response to a caller or an operator."""

    status: int
    """The HTTP status."""
    body: dict[str, Any]
    """The decoded JSON body; empty without one."""
    headers: dict[str, str]
    """The headers."""
    response_time_s: float
    """The response time."""

    @property
    def outcome(self) -> str:
        """The outcome in the body; empty without one."""
        return str(self.body.get("outcome", ""))


class TaskStart(msgspec.Struct):
    """A start of a task that a target recorded."""

    submission_id: str
    """Submission that the task belongs to."""
    index: int
    """Index of the task in its submission."""
    started_at: float
    """Unix time of the start."""
    data_centre: str = ""
    """Data centre of the target."""


class SiteDriver:
    """Acts on a site whose entries, agents and stand-ins are processes.

    :param site: the running site.
    """

    def __init__(self, site: Site) -> None:
        self._site = site
        self._pool = ThreadPoolExecutor(64)
        self._client = httpx.Client(
            verify=site.tls_verification(),
            timeout=CALL_TIMEOUT_S,
            limits=httpx.Limits(max_connections=256),
        )

    @property
    def site(self) -> Site:
        """The site."""
        return self._site

    def close(self) -> None:
        """Cancel calls that wait in the pool and close all connections."""
        self._pool.shutdown(cancel_futures=True)
        self._client.close()

    def entry_url(self, number: int) -> str:
        """Return the URL of an entry."""
        return self._site.state.entries[number].url

    def mint_ids(
        self, entry: int = 0, count: int = 1, customer: str = "fjaervik"
    ) -> list[str]:
        """Request submission ids from an entry."""
        response = self._client.post(
            f"{self.entry_url(entry)}/v1/submission-ids?count={count}",
            headers=self._customer_headers(customer),
        )
        response.raise_for_status()
        return list(response.json()["ids"])

    def submit(
        self,
        submission_id: str,
        payloads: list[Any],
        *,
        entry: int = 0,
        kind: str = "sleep",
        deadline_ms: int = 10_000,
        customer: str = "fjaervik",
        idempotent: bool = False,
    ) -> HttpAnswer:
        """Submit a job and wait for the response."""
        return self.send_request(
            "POST",
            f"{self.entry_url(entry)}/v1/jobs",
            headers={
                **self._customer_headers(customer),
                "idempotency-key": submission_id,
            },
            json={
                "kind": kind,
                "idempotent": idempotent,
                "deadline_ms": deadline_ms,
                "tasks": [{"payload": payload} for payload in payloads],
            },
        )

    def send_request(
        self, method: str, url: str, **options: Any
    ) -> HttpAnswer:
        """Send a request and wait for the response."""
        sent_at = time.monotonic()
        response = self._client.request(method, url, **options)
        response_time_s = time.monotonic() - sent_at
        body = response.json() if response.content else {}
        headers = dict(response.headers)
        return HttpAnswer(response.status_code, body, headers, response_time_s)

    def call_in_background(
        self, call: Callable[..., HttpAnswer], *args: Any, **kwargs: Any
    ) -> Future[HttpAnswer]:
        """Make a call in a background thread."""
        return self._pool.submit(call, *args, **kwargs)

    def send_as_operator(
        self,
        method: str,
        path: str,
        entry: int = 0,
        version: str | None = None,
        body: Any = None,
    ) -> HttpAnswer:
        """Send a request with the operator key.

        :param method: the HTTP method.
        :param path: path of the URL.
        :param entry: number of the entry that gets the request.
        :param version: version to send as `If-Match`; none to send none.
        :param body: body to encode as JSON.
        """
        headers = {"authorization": f"Bearer {self._site.state.operator_key}"}
        if version is not None:
            headers["if-match"] = version
        url = f"{self.entry_url(entry)}{path}"
        return self.send_request(method, url, headers=headers, json=body)

    def set_data_centre(
        self, name: str, state: str, entry: int = 0
    ) -> HttpAnswer:
        """Take a data centre out of service or back in."""
        path = f"/v1/data-centres/{name}"
        version = self.send_as_operator("GET", path, entry).headers["etag"]
        body = {"state": state}
        return self.send_as_operator("PUT", path, entry, version, body)

    def set_platform_mode(self, mode: str) -> None:
        """Set the fault mode of the platform stand-in."""
        url = f"{self._site.state.platform.url}/mode"
        self._client.put(url, json={"mode": mode}).raise_for_status()

    def set_target_mode(self, number: int, mode: str) -> None:
        """Set the fault mode of a target stand-in."""
        url = f"{self._site.state.targets[number].url}/mode"
        self._client.put(url, json={"mode": mode}).raise_for_status()

    def starts(self) -> list[TaskStart]:
        """Return all starts of all targets."""
        all_starts = []
        for target in self._site.state.targets:
            response = self._client.get(f"{target.url}/starts")
            for start in msgspec.json.decode(
                response.content, type=list[TaskStart]
            ):
                start.data_centre = target.data_centre
                all_starts.append(start)
        return all_starts

    def started_indexes(self, submission_id: str) -> list[int]:
        """Return the indexes of the started tasks of a submission, sorted."""
        return sorted(
            start.index
            for start in self.starts()
            if start.submission_id == submission_id
        )

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process of the site."""
        os.kill(self._site.pid(name), number)

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL and wait until it has ended."""
        self.send_signal(name, signal.SIGKILL)
        self._site.wait(name, 10)

    def wait_until_ready(self, entry: int, limit_s: float = 60) -> None:
        """Wait until an entry is ready for callers."""
        url = f"{self.entry_url(entry)}/readyz"

        def is_ready() -> bool:
            return self._client.get(url).status_code == 200

        wait_until(is_ready, limit_s)

    def wait_for_agents(self, count: int, entry: int = 0) -> None:
        """Wait until an entry reports this number of serving agents."""

        def is_complete() -> bool:
            status = self.send_as_operator("GET", "/v1/status", entry).body
            states = [agent["state"] for agent in status["agents"]]
            return states.count("serving") == count

        wait_until(is_complete, 60)

    def _customer_headers(self, customer: str) -> dict[str, str]:
        key = self._site.state.customers.get(customer, customer)
        return {"authorization": f"Bearer {key}"}
