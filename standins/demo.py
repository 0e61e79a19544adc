"""Demo: submits jobs to a stand-in site and checks the results.

Shows that parallel tasks run at once, that a repeated submission starts
nothing, and that a data centre taken out gets no starts.
"""

from __future__ import annotations

from pathlib import Path
import sys
import tempfile
import time
from typing import Any

import click
import httpx

from standins.site import Site
from standins.site import SiteDescription

TASK_COUNT = 50


class Demo:
    """Acts as a customer and an operator of a running site."""

    def __init__(self, state: SiteDescription) -> None:
        self._state = state
        self._customer = httpx.Client(
            headers=_bearer(state.customers["fjaervik"]), timeout=30
        )
        self._operator = httpx.Client(
            headers=_bearer(state.operator_key), timeout=30
        )

    def run(self) -> bool:
        """Run all steps of the demo.

        :returns: whether each step had the expected result.
        """
        first, second = self._state.entries[:2]
        submission_id = self._mint(first.url)
        answer, response_s = self._submit(first.url, submission_id)
        click.echo(
            f"{TASK_COUNT} tasks of 200 ms: {answer['outcome']}"
            f" in {response_s * 1000:.0f} ms"
        )
        before = self._count_starts()
        again, _ = self._submit(second.url, submission_id)
        is_same_answer = again == answer and self._count_starts() == before
        click.echo(
            f"sent again to the other entry: same answer: {is_same_answer}"
        )
        self._set_data_centre("vest-b", "out")
        click.echo("vest-b is out; 4 s later a job runs without it")
        time.sleep(4)
        out_at = time.time()
        other, _ = self._submit(second.url, self._mint(second.url))
        closed_starts = self._count_starts_since(out_at, "vest-b")
        click.echo(f"{other['outcome']}; starts in vest-b: {closed_starts}")
        self._set_data_centre("vest-b", "in")
        click.echo("vest-b is in again")
        outcomes = {answer["outcome"], other["outcome"]}
        return outcomes == {"done"} and is_same_answer and closed_starts == 0

    def _mint(self, url: str) -> str:
        response = self._customer.post(f"{url}/v1/submission-ids")
        response.raise_for_status()
        return str(response.json()["ids"][0])

    def _submit(
        self, url: str, submission_id: str
    ) -> tuple[dict[str, Any], float]:
        began_at = time.monotonic()
        response = self._customer.post(
            f"{url}/v1/jobs",
            headers={"idempotency-key": submission_id},
            json={
                "kind": "sleep",
                "idempotent": True,
                "deadline_ms": 10_000,
                "tasks": [{"payload": {"ms": 200}}] * TASK_COUNT,
            },
        )
        response.raise_for_status()
        return response.json(), time.monotonic() - began_at

    def _set_data_centre(self, name: str, state: str) -> None:
        url = f"{self._state.entries[0].url}/v1/data-centres/{name}"
        version = self._operator.get(url).headers["etag"]
        response = self._operator.put(
            url, json={"state": state}, headers={"if-match": version}
        )
        response.raise_for_status()

    def _count_starts(self) -> int:
        return sum(
            len(httpx.get(f"{target.url}/starts").json())
            for target in self._state.targets
        )

    def _count_starts_since(self, since: float, data_centre: str) -> int:
        return sum(
            start["started_at"] > since
            for target in self._state.targets
            if target.data_centre == data_centre
            for start in httpx.get(f"{target.url}/starts").json()
        )


def _bearer(key: str) -> dict[str, str]:
    return {"authorization": f"Bearer {key}"}


@click.command()
def main() -> None:
    """Run the demo; the exit code is 0 if every step succeeds."""
    with tempfile.TemporaryDirectory(prefix="fulmarscale-") as folder:
        site = Site(2, 4, 2, Path(folder))
        try:
            site.start()
            is_passed = Demo(site.state).run()
        finally:
            site.close()
    click.echo("demo passed" if is_passed else "demo failed")
    sys.exit(0 if is_passed else 1)


if __name__ == "__main__":
    main()
