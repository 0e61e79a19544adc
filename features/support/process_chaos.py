"""Random faults on a site whose entries and agents are processes.

Runners restart under their ids or under others, entries and agents are killed,
suspended and starved, and the connections between callers, entries, agents and
runners are delayed, held, reset and cut. Faults overlap. The seed determines
the faults; what the processes do meanwhile also depends on the machine.

    python -m features.support.process_chaos --seed 1 --length 60
"""

from __future__ import annotations

import asyncio
import base64
from pathlib import Path
import random
import signal
import sys
import tempfile
from typing import Any
from typing import Final
from typing import TYPE_CHECKING

import click

from features.support.process_site import make_job
from features.support.process_site import ProcessSite
from fulmarscale.platform.agent_registration import AGENT_TABLE
from fulmarscale.platform.agent_registration import decode_agent_row
from standins.link import Link
from standins.row_store import RowStoreStandIn

if TYPE_CHECKING:
    from standins.runner import RunnerStandIn
    from standins.runner import RunRecord

RESEND_S: Final = 1.3
"""Pause of a caller before it sends a job again."""

CALLER_WAIT_S: Final = 2.5

WORK_MS: Final = (60, 120, 400, 900)

FAULTS: Final = (
    "rebirths",
    "agent_kill",
    "entry_kill",
    "agent_pause",
    "entry_pause",
    "starve",
    "late_starts",
    "link_delay",
    "link_hold",
    "link_reset",
    "link_cut",
)

STORE_FAULTS: Final = (*FAULTS, "late_write", "late_write")
"""With writes to the store that get no answer and are applied late."""

CANCEL_S: Final = 3.0
"""Time from the acknowledgement of a job's cancelling to its last start.

As long after the last fault, all machines are in touch.
"""

CANCEL_TAIL_S: Final = 12.0
"""How long runs are recorded after the faults if jobs are cancelled."""

LAG_S: Final = 0.02
"""Delay of the test's own event loop that is recorded."""


class RelayedStore(RowStoreStandIn):
    """A store in whose rows agents are at the addresses of links."""

    def __init__(self) -> None:
        super().__init__()
        self.addresses: dict[str, str] = {}
        """The address of the link to each address of an agent."""

    def _apply_transaction(self, body: dict[str, Any]) -> Any:
        for row in body["setKeys"]:
            if row["table"] != AGENT_TABLE:
                continue
            content = base64.b64decode(row["value"]).decode()
            for address, relayed in self.addresses.items():
                content = content.replace(f'"{address}"', f'"{relayed}"')
            row["value"] = base64.b64encode(content.encode()).decode()
        return super()._apply_transaction(body)


class RelayedSite(ProcessSite):
    """A site whose connections can be disturbed.

    :param folder: where settings, logs and the trace are written.
    :param entries: the number of entries.
    :param agents: the number of agents.
    """

    def __init__(self, folder: Path, entries: int, agents: int) -> None:
        super().__init__(folder, entries, agents)
        store = RelayedStore()
        self.store = store
        self.links: dict[str, Link] = {}
        for agent, port in self.stream_ports.items():
            link = Link(f"127.0.0.1:{port}")
            self.links[f"streams of {agent}"] = link
            store.addresses[link.target] = link.address
        for entry, address in self.caller_addresses.items():
            link = Link(address)
            self.links[f"callers of {entry}"] = link

    async def __aenter__(self) -> RelayedSite:
        for link in self.links.values():
            await link.start()
        await super().__aenter__()
        for entry in self.entries:
            address = self.links[f"callers of {entry}"].address
            self.caller_addresses[entry] = address
        return self

    async def __aexit__(self, *arguments: object) -> None:
        await super().__aexit__(*arguments)
        for link in self.links.values():
            link.close()

    async def add_runner(
        self, number: int, control_address: str
    ) -> RunnerStandIn:
        """Return the runner beside an agent, behind a link."""
        runner = await super().add_runner(number, control_address)
        link = Link(runner.address)
        await link.start()
        self.links[f"runner {number}"] = link
        runner.published_address = link.address
        return runner


class Chaos:
    """Callers and faults on a site.

    :param site: the site.
    :param seed: determines the faults and jobs.
    :param length_s: how long they last.
    :param faults: the kinds of faults.
    :param cancel_share: share of the durable jobs that are cancelled.
    """

    def __init__(
        self,
        site: RelayedSite,
        seed: int,
        length_s: float,
        faults: tuple[str, ...] = FAULTS,
        cancel_share: float = 0.0,
    ) -> None:
        self._site = site
        self._seed = seed
        self._random = random.Random(seed)
        self._length_s = length_s
        self._faults = faults
        self._cancel_share = cancel_share
        self._cancel_random = random.Random(f"{seed}/cancel")
        self._cancelled_at: dict[str, float] = {}
        """When the cancelling of each job was acknowledged."""
        self._calm_since = 0.0
        """When the last fault ended."""
        self._busy: set[str] = set()
        self._jobs = 0
        self._durable_jobs: set[str] = set()
        self.completed = 0
        self.trace: list[str] = []
        """The faults and jobs, with the event loop's time."""

    async def play(self, callers: int) -> None:
        """Play all faults beside a number of callers."""
        for runner in self._site.runners:
            runner.response_s = lambda: random.uniform(0.001, 0.003)
        lag = asyncio.create_task(self._watch_lag())
        async with asyncio.TaskGroup() as group:
            group.create_task(self._disturb())
            for _ in range(callers):
                group.create_task(self._call())
        self._calm_since = asyncio.get_running_loop().time()
        await asyncio.sleep(CANCEL_TAIL_S if self._cancel_share else 2.0)
        lag.cancel()
        self._record_rows()

    def _record_rows(self) -> None:
        """Record which agents' rows do not name their target."""
        targets = {runner.runner_id for runner in self._site.runners}
        self._outdated_agents = []
        for agent in self._site.agents:
            row = decode_agent_row(self._site.store.value(AGENT_TABLE, agent))
            if row.target is None or (
                row.target.incarnation.target not in targets
            ):
                self._outdated_agents.append(agent)

    def note(self, text: str) -> None:
        """Add a line to the trace."""
        self.trace.append(f"{asyncio.get_running_loop().time():.4f} {text}")

    def violations(self) -> list[str]:
        """Return descriptions of the runs that must not have begun."""
        lines = [
            f"two runs at once: {one} {two}"
            for one, two in self._site.overlaps()
        ]
        lines += [
            f"a run after a completion: {one} {two}"
            for one, two in self._site.pairs_of_runs()
            if one.outcome == "done"
            and one.is_noted
            and one.task.partition(".")[0] in self._durable_jobs
        ]
        lines += [
            f"a run after its job was cancelled: {run}"
            for runner in self._site.runners
            for run in runner.runs
            if self._is_unwanted(run)
        ]
        lines += [
            f"a row without the agent's target: {agent}"
            for agent in self._outdated_agents
        ]
        return lines

    def _is_unwanted(self, run: RunRecord) -> bool:
        """Return whether a run began too late after its job's cancelling."""
        cancelled_at = self._cancelled_at.get(run.task.partition(".")[0])
        if cancelled_at is None:
            return False
        return run.began_at > max(cancelled_at, self._calm_since) + CANCEL_S

    async def _watch_lag(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due_at = loop.time() + 0.01
            await asyncio.sleep(0.01)
            lag_s = loop.time() - due_at
            if lag_s > LAG_S:
                self.note(f"the test was {lag_s:.3f} s late")

    async def _call(self) -> None:
        loop = asyncio.get_running_loop()
        end_at = loop.time() + self._length_s
        while loop.time() < end_at:
            self._jobs += 1
            job = f"{self._seed:06x}{self._jobs:010x}"
            work_ms = self._random.choice(WORK_MS)
            body = make_job(self._random.randint(1, 6), work_ms)
            body["bestEffort"] = self._random.random() < 0.6
            if not body["bestEffort"]:
                self._durable_jobs.add(job)
            cancelling = self._cancel_some(job, body)
            status = await self._submit(job, body)
            self.completed += status == 200
            await cancelling
            await asyncio.sleep(self._random.uniform(0, 0.05))

    def _cancel_some(
        self, job: str, body: dict[str, Any]
    ) -> asyncio.Future[None]:
        """Cancel some of the durable jobs, also before they are stored."""
        is_chosen = self._cancel_random.random() < self._cancel_share
        return asyncio.ensure_future(
            self._cancel_soon(job)
            if is_chosen and not body["bestEffort"]
            else asyncio.sleep(0.0)
        )

    async def _cancel_soon(self, job: str) -> None:
        await asyncio.sleep(self._cancel_random.choice((0.0, 0.1, 1.0, 2.5)))
        entry = self._cancel_random.choice(self._site.entries)
        status = await self._site.cancel(entry, job, CALLER_WAIT_S)
        self.note(f"{job} cancelled at {entry}: {status}")
        if status in (200, 410):
            self._cancelled_at[job] = asyncio.get_running_loop().time()

    async def _submit(self, job: str, body: dict[str, Any]) -> int:
        status = 0
        for _ in range(3):
            if job in self._cancelled_at:
                break
            entry = self._random.choice(self._site.entries)
            self.note(f"{job} to {entry}, best effort: {body['bestEffort']}")
            status = await self._site.submit(entry, job, body, CALLER_WAIT_S)
            self.note(f"{job} from {entry}: {status}")
            if status not in (0, 502, 504):
                break
            is_at_once = not body["bestEffort"] and self._random.random() < 0.3
            await asyncio.sleep(0.0 if is_at_once else RESEND_S)
        return status

    async def _disturb(self) -> None:
        async with asyncio.TaskGroup() as group:
            passed_s = 0.0
            while passed_s < self._length_s - 3:
                kind = self._random.choice(self._faults)
                group.create_task(getattr(self, f"_{kind}")())
                pause_s = self._random.uniform(0.02, 0.3)
                passed_s += pause_s
                await asyncio.sleep(pause_s)

    def _take(self, names: list[str]) -> str | None:
        """Return one that no fault has taken, and take it."""
        free = [name for name in names if name not in self._busy]
        if not free:
            return None
        name = self._random.choice(free)
        self._busy.add(name)
        return name

    async def _rebirths(self) -> None:
        name = self._take([str(n) for n in range(len(self._site.runners))])
        if name is None:
            return
        runner = self._site.runners[int(name)]
        for _ in range(self._random.choice((1, 1, 2, 4))):
            first_s = self._random.choice((0.0, 0.2, 0.8, 1.5))
            down_s = self._random.choice((0.0, 0.0, 0.1, 0.3, 0.8))
            has_new_id = self._random.random() < 0.1
            self.note(
                f"runner {name} restarts: {down_s} s down, first heartbeat "
                f"after {first_s} s, new id: {has_new_id}"
            )
            await runner.stop()
            await asyncio.sleep(down_s)
            if has_new_id:
                runner.runner_id += "x"
            await runner.start(first_s)
            await asyncio.sleep(self._random.choice((0.1, 0.4, 1.2, 2.5)))
        self._busy.discard(name)

    async def _restart(self, names: list[str]) -> None:
        name = self._take(names)
        if name is None:
            return
        down_s = self._random.uniform(0.0, 2.0)
        self.note(f"{name} is killed, for {down_s:.3f} s")
        self._site.kill(name)
        await asyncio.sleep(down_s)
        self._site.start_process(name)
        await asyncio.sleep(1.0)
        self._busy.discard(name)

    async def _agent_kill(self) -> None:
        await self._restart(self._site.agents)

    async def _entry_kill(self) -> None:
        await self._restart(self._site.entries)

    async def _suspend(self, name: str, pause_s: float) -> None:
        process = self._site.processes[name]
        self.note(f"{name} is suspended for {pause_s:.3f} s")
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(pause_s)
        process.send_signal(signal.SIGCONT)
        self.note(f"{name} goes on")

    async def _pause(self, names: list[str]) -> None:
        name = self._take(names)
        if name is not None:
            await self._suspend(name, self._random.uniform(0.1, 2.5))
            self._busy.discard(name)

    async def _agent_pause(self) -> None:
        await self._pause(self._site.agents)

    async def _entry_pause(self) -> None:
        await self._pause(self._site.entries)

    async def _starve(self) -> None:
        name = self._take(self._site.agents + self._site.entries)
        if name is None:
            return
        for _ in range(self._random.randint(3, 12)):
            await self._suspend(name, self._random.uniform(0.05, 0.3))
            await asyncio.sleep(self._random.uniform(0.005, 0.1))
        self._busy.discard(name)

    async def _late_starts(self) -> None:
        runner = self._random.choice(self._site.runners)

        def late_s() -> float | None:
            if self._random.random() < 0.5:
                return None
            late_s = self._random.uniform(0.3, 4.0)
            self.note(f"{runner.runner_id} begins a run {late_s:.3f} s late")
            return late_s

        runner.late_s = late_s
        await asyncio.sleep(self._random.uniform(0.1, 0.6))
        runner.late_s = lambda: None

    async def _late_write(self) -> None:
        """Let the next write to the store get no answer and be late."""
        late_s = self._random.uniform(1.0, 6.0)
        self.note(f"the next write is applied {late_s:.3f} s late")
        self._site.store.delay_next(late_s)

    def _take_link(self) -> tuple[str, Link] | None:
        name = self._take(list(self._site.links))
        return None if name is None else (name, self._site.links[name])

    async def _link_delay(self) -> None:
        taken = self._take_link()
        if taken is None:
            return
        name, link = taken
        link.delay_s = self._random.choice((0.02, 0.06, 0.15, 0.3))
        self.note(f"{name}: {link.delay_s} s late")
        await asyncio.sleep(self._random.uniform(0.2, 2.0))
        link.delay_s = 0.0
        self.note(f"{name}: in time again")
        self._busy.discard(name)

    async def _link_hold(self) -> None:
        taken = self._take_link()
        if taken is None:
            return
        name, link = taken
        link.hold()
        held_s = self._random.uniform(0.05, 1.5)
        self.note(f"{name}: held for {held_s:.3f} s")
        await asyncio.sleep(held_s)
        link.release()
        self.note(f"{name}: released")
        self._busy.discard(name)

    async def _link_reset(self) -> None:
        taken = self._take_link()
        if taken is None:
            return
        name, link = taken
        self.note(f"{name}: reset")
        link.reset()
        self._busy.discard(name)

    async def _link_cut(self) -> None:
        taken = self._take_link()
        if taken is None:
            return
        name, link = taken
        link.is_cut = True
        cut_s = self._random.uniform(0.2, 3.0)
        self.note(f"{name}: cut for {cut_s:.3f} s")
        await asyncio.sleep(cut_s)
        link.is_cut = False
        self.note(f"{name}: whole again")
        self._busy.discard(name)


async def play(
    folder: Path,
    seed: int,
    length_s: float,
    *,
    entries: int,
    agents: int,
    callers: int,
    faults: tuple[str, ...] = FAULTS,
    cancel_share: float = 0.0,
) -> tuple[Chaos, list[RunRecord]]:
    """Play random faults; return what was done and all runs."""
    async with RelayedSite(folder, entries, agents) as site:
        await site.settle()
        chaos = Chaos(site, seed, length_s, faults, cancel_share)
        await chaos.play(callers)
        runs = [run for runner in site.runners for run in runner.runs]
        return chaos, runs


@click.command()
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--length", type=float, default=60.0, show_default=True)
@click.option("--entries", type=int, default=6, show_default=True)
@click.option("--agents", type=int, default=16, show_default=True)
@click.option("--callers", type=int, default=10, show_default=True)
@click.option("--faults", default=",".join(FAULTS))
@click.option("--cancels", type=float, default=0.0, show_default=True)
@click.option("--folder", type=click.Path(path_type=Path))
def main(
    seed: int,
    length: float,
    entries: int,
    agents: int,
    callers: int,
    faults: str,
    cancels: float,
    folder: Path | None,
) -> None:
    """Play random faults once; exits with 1 if a task had two runs at once.

    The folder keeps the processes' logs, the trace and the runs.
    """
    if folder is None:
        folder = Path(tempfile.mkdtemp(prefix="fulmarscale-"))
    folder.mkdir(parents=True, exist_ok=True)
    chaos, runs = asyncio.run(
        play(
            folder,
            seed,
            length,
            entries=entries,
            agents=agents,
            callers=callers,
            faults=tuple(faults.split(",")),
            cancel_share=cancels,
        )
    )
    lines = sorted([f"{run.began_at:.4f} {run}" for run in runs])
    (folder / "runs.txt").write_text("\n".join(lines))
    (folder / "trace.txt").write_text("\n".join(chaos.trace))
    violations = chaos.violations()
    for violation in violations:
        click.echo(violation)
    tasks = {run.task for run in runs}
    click.echo(
        f"seed {seed}: {len(tasks)} tasks, {len(runs)} runs, "
        f"{chaos.completed} jobs answered with 200; "
        f"{len(violations)} violations; see {folder}"
    )
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    main()
