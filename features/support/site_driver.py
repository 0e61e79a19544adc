"""Plays callers, operators and failures at a site of processes."""

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

CALL_LIMIT_S = 90


class Answer(msgspec.Struct):
    """What a caller got."""

    status: int
    """The HTTP status."""
    body: dict[str, Any]
    """The decoded body."""
    headers: dict[str, str]
    """The headers."""
    spent_s: float
    """The response time."""

    @property
    def outcome(self) -> str:
        """The outcome in the body; empty without one."""
        return str(self.body.get("outcome", ""))


class Start(msgspec.Struct):
    """A start that a target saw."""

    submission_id: str
    """The submission."""
    index: int
    """The task."""
    started_at: float
    """Unix time."""
    data_centre: str = ""
    """Where the target is."""


class SiteDriver:
    """Acts on a site of separate processes."""

    def __init__(self, site: Site) -> None:
        self._site = site
        self._pool = ThreadPoolExecutor(64)
        self._client = httpx.Client(
            verify=site.verification(),
            timeout=CALL_LIMIT_S,
            limits=httpx.Limits(max_connections=256),
        )

    @property
    def site(self) -> Site:
        """The site."""
        return self._site

    def close(self) -> None:
        """End all calls."""
        self._pool.shutdown(cancel_futures=True)
        self._client.close()

    def entry_url(self, number: int) -> str:
        """Give an entry's URL."""
        return self._site.state.entries[number].url

    def mint(
        self, entry: int = 0, count: int = 1, customer: str = "fjaervik"
    ) -> list[str]:
        """Make submission ids at an entry."""
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
    ) -> Answer:
        """Submit a job and wait for the answer."""
        return self.request(
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

    def request(self, method: str, url: str, **options: Any) -> Answer:
        """Send a request and wait for the answer."""
        began_at = time.monotonic()
        response = self._client.request(method, url, **options)
        spent_s = time.monotonic() - began_at
        body = response.json() if response.content else {}
        headers = dict(response.headers)
        return Answer(response.status_code, body, headers, spent_s)

    def later(
        self, work: Callable[..., Answer], *args: Any, **kwargs: Any
    ) -> Future[Answer]:
        """Begin something in the background."""
        return self._pool.submit(work, *args, **kwargs)

    def operator(
        self,
        method: str,
        path: str,
        entry: int = 0,
        version: str | None = None,
        body: Any = None,
    ) -> Answer:
        """Send an operator's request."""
        headers = {"authorization": f"Bearer {self._site.state.operator_key}"}
        if version is not None:
            headers["if-match"] = version
        url = f"{self.entry_url(entry)}{path}"
        return self.request(method, url, headers=headers, json=body)

    def set_data_centre(self, name: str, state: str, entry: int = 0) -> Answer:
        """Take a data centre out or bring it back."""
        path = f"/v1/data-centres/{name}"
        version = self.operator("GET", path, entry).headers["etag"]
        body = {"state": state}
        return self.operator("PUT", path, entry, version, body)

    def set_platform(self, mode: str) -> None:
        """Change how the platform's stand-in behaves."""
        url = f"{self._site.state.platform.url}/mode"
        self._client.put(url, json={"mode": mode}).raise_for_status()

    def set_target(self, number: int, mode: str) -> None:
        """Change how a target's stand-in behaves."""
        url = f"{self._site.state.targets[number].url}/mode"
        self._client.put(url, json={"mode": mode}).raise_for_status()

    def starts(self) -> list[Start]:
        """List everything that the targets were made to start."""
        found = []
        for target in self._site.state.targets:
            response = self._client.get(f"{target.url}/starts")
            for start in msgspec.json.decode(
                response.content, type=list[Start]
            ):
                start.data_centre = target.data_centre
                found.append(start)
        return found

    def starts_of(self, submission_id: str) -> list[int]:
        """List the tasks of a submission that were started."""
        return sorted(
            start.index
            for start in self.starts()
            if start.submission_id == submission_id
        )

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process of the site."""
        os.kill(self._site.pid(name), number)

    def kill(self, name: str) -> None:
        """Kill a process without warning."""
        self.signal(name, signal.SIGKILL)
        self._site.wait(name, 10)

    def wait_ready(self, entry: int, limit_s: float = 60) -> None:
        """Wait until an entry takes callers."""
        url = f"{self.entry_url(entry)}/readyz"

        def is_ready() -> bool:
            return self._client.get(url).status_code == 200

        wait_until(is_ready, limit_s)

    def wait_agents(self, count: int, entry: int = 0) -> None:
        """Wait until an entry knows as many serving agents."""

        def is_complete() -> bool:
            status = self.operator("GET", "/v1/status", entry).body
            states = [agent["state"] for agent in status["agents"]]
            return states.count("serving") == count

        wait_until(is_complete, 60)

    def _customer_headers(self, customer: str) -> dict[str, str]:
        key = self._site.state.customers.get(customer, customer)
        return {"authorization": f"Bearer {key}"}
