"""The main job on the stand-in site, from end to end."""

from __future__ import annotations

from pathlib import Path
import sys
import tempfile
import time
from typing import Any

import click
import httpx

from standins.site import Site
from standins.site import SiteState

TASKS = 50


class Demo:
    """Plays a caller and an operator at a site."""

    def __init__(self, state: SiteState) -> None:
        self._state = state
        self._customer = httpx.Client(
            headers=_bearer(state.customers["fjaervik"]), timeout=30
        )
        self._operator = httpx.Client(
            headers=_bearer(state.operator_key), timeout=30
        )

    def run(self) -> bool:
        """Show the main job and a data centre out and in."""
        first, second = self._state.entries[:2]
        submission_id = self._mint(first.url)
        answer, spent_s = self._submit(first.url, submission_id)
        click.echo(
            f"{TASKS} tasks of 200 ms: {answer['outcome']}"
            f" in {spent_s * 1000:.0f} ms"
        )
        before = self._starts()
        again, _ = self._submit(second.url, submission_id)
        same = again == answer and self._starts() == before
        click.echo(f"sent again to the other entry: same answer: {same}")
        self._set_data_centre("vest-b", "out")
        click.echo("vest-b is out; 4 s later a job runs without it")
        time.sleep(4)
        out_at = time.time()
        other, _ = self._submit(second.url, self._mint(second.url))
        closed = self._starts_since(out_at, "vest-b")
        click.echo(f"{other['outcome']}; starts in vest-b: {closed}")
        self._set_data_centre("vest-b", "in")
        click.echo("vest-b is in again")
        outcomes = {answer["outcome"], other["outcome"]}
        return outcomes == {"done"} and same and closed == 0

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
                "tasks": [{"payload": {"ms": 200}}] * TASKS,
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

    def _starts(self) -> int:
        return sum(
            len(httpx.get(f"{target.url}/starts").json())
            for target in self._state.targets
        )

    def _starts_since(self, since: float, data_centre: str) -> int:
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
    """Run the demo; exit code 0 if all went as promised."""
    with tempfile.TemporaryDirectory(prefix="fulmarscale-") as folder:
        site = Site(2, 4, 2, Path(folder))
        try:
            site.start()
            good = Demo(site.state).run()
        finally:
            site.close()
    click.echo("demo passed" if good else "demo failed")
    sys.exit(0 if good else 1)


if __name__ == "__main__":
    main()
