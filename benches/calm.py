"""Compares what two versions cost a calm site of real processes.

Runs entries and agents of both source trees by turns, first idle and then
under a steady load, and prints calls to the store, data on the streams between
entries and agents, and processor time.

    python -m benches.calm --before ../other/src
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections import defaultdict
import os
from pathlib import Path
from statistics import mean
import tempfile
from typing import Any
from typing import Final
from urllib.parse import urlsplit

import click

from benches.capacity import read_usage
from features.support.process_chaos import RelayedSite
from features.support.process_chaos import RelayedStore
from features.support.process_site import make_job

ENTRIES: Final = 3
AGENTS: Final = 6
WARM_UP_S: Final = 3.0
CALLER_WAIT_S: Final = 3.0
TASKS: Final = 2
WORK_MS: Final = 100

WRITE_PATH: Final = "/api/rows-tx"


class CountingStore(RelayedStore):
    """A store that counts its calls."""

    def __init__(self) -> None:
        super().__init__()
        self.calls: Counter[str] = Counter()

    def _respond_to(self, request: Any) -> Any:
        path = urlsplit(request.target).path
        kind = "writes" if path == WRITE_PATH else "reads"
        self.calls[kind] += 1
        return super()._respond_to(request)


class CountingSite(RelayedSite):
    """A site whose store counts its calls."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder, ENTRIES, AGENTS)
        addresses = self.store.addresses
        self.store = CountingStore()
        self.store.addresses = addresses

    def usage(self) -> dict[str, float]:
        """Return all counts since the start of the site."""
        streams = [
            link
            for name, link in self.links.items()
            if name.startswith("streams")
        ]
        counts = {
            "store writes": self.store.calls["writes"],
            "store reads": self.store.calls["reads"],
            "pieces of data on streams": sum(each.pieces for each in streams),
            "bytes on streams": sum(each.forwarded_bytes for each in streams),
        }
        for kind, names in (("entry", self.entries), ("agent", self.agents)):
            used_s = sum(
                read_usage(self.processes[name].pid).cpu_s for name in names
            )
            counts[f"processor ms of each {kind}"] = 1000 * used_s / len(names)
        return counts


async def submit_steadily(
    site: CountingSite, rate: float, duration_s: float, durable_share: float
) -> int:
    """Submit jobs at a steady rate and return how many were answered."""
    loop = asyncio.get_running_loop()
    begin = loop.time()
    calls = []
    for number in range(round(rate * duration_s)):
        await asyncio.sleep(max(0.0, begin + number / rate - loop.time()))
        body = make_job(TASKS, WORK_MS)
        body["bestEffort"] = number % 100 >= 100 * durable_share
        entry = site.entries[number % len(site.entries)]
        job = f"{number:016x}"
        call = site.submit(entry, job, body, CALLER_WAIT_S)
        calls.append(asyncio.create_task(call))
    statuses = await asyncio.gather(*calls)
    return sum(status == 200 for status in statuses)


async def measure(
    source: Path, seconds: float, rate: float, durable_share: float
) -> dict[str, dict[str, float]]:
    """Run one site and return its costs a second, idle and under load."""
    os.environ["PYTHONPATH"] = str(source)
    # The stand-ins' handlers are cancelled with the connections at the end.
    asyncio.get_running_loop().set_exception_handler(lambda *_: None)
    with tempfile.TemporaryDirectory(prefix="fulmarscale-") as folder:
        async with CountingSite(Path(folder)) as site:
            await site.settle()
            await asyncio.sleep(WARM_UP_S)
            idle = await _costs(site, asyncio.sleep(seconds), seconds)
            load = submit_steadily(site, rate, seconds, durable_share)
            busy = await _costs(site, load, seconds)
    return {"idle": idle, "load": busy}


async def _costs(
    site: CountingSite, work: Any, seconds: float
) -> dict[str, float]:
    before = site.usage()
    answered = await work
    after = site.usage()
    costs = {name: (after[name] - before[name]) / seconds for name in after}
    if answered is not None:
        costs["jobs answered"] = answered / seconds
    return costs


@click.command()
@click.option(
    "--before", type=click.Path(exists=True, path_type=Path), required=True
)
@click.option("--after", type=click.Path(path_type=Path), default=Path("src"))
@click.option("--rounds", default=4, show_default=True)
@click.option("--seconds", default=8.0, show_default=True)
@click.option("--rate", default=20.0, show_default=True, help="Jobs a second.")
@click.option("--durable", default=0.0, help="Share of durable jobs.")
def main(
    before: Path,
    after: Path,
    rounds: int,
    seconds: float,
    rate: float,
    durable: float,
) -> None:
    """Print the costs a second of both versions, and their range."""
    costs: dict[tuple[str, str], dict[str, list[float]]]
    costs = defaultdict(lambda: defaultdict(list))
    for number in range(rounds):
        versions = [("before", before.resolve()), ("after", after.resolve())]
        for name, source in versions if number % 2 else reversed(versions):
            phases = asyncio.run(measure(source, seconds, rate, durable))
            for phase, values in phases.items():
                for kind, value in values.items():
                    costs[phase, kind][name].append(value)
    for (phase, kind), values in costs.items():
        texts = [
            f"{name} {mean(values[name]):.2f}"
            f" ({min(values[name]):.2f} to {max(values[name]):.2f})"
            for name in ("before", "after")
        ]
        click.echo(f"{phase}, {kind} a second: {', '.join(texts)}")


if __name__ == "__main__":
    main()
