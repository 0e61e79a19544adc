"""Workloads for experiments with the dispatcher of the users' platform.

A workload file (JSON) holds the kinds of jobs, the targets, the load and the
faults. The jobs of a seed depend only on the file and the seed, so that
variants of the code are compared on the same arrivals.
"""

from __future__ import annotations

from random import Random
from statistics import fmean
from typing import Final
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from pathlib import Path

MAX_SKEW: Final = 4.0
"""The longest run and the widest job, as multiples of their mean."""

LOGNORMAL_SHIFT: Final = -0.08
"""Mean of the logarithm that gives a mean of 1 at a spread of 0.4."""

WORTH_BASE: Final = 0.3
"""Part of a job's worth that doesn't depend on its size."""

MAX_WORTH_FACTOR: Final = 4.0
"""The most that a large job is worth, as a multiple of its kind's worth."""


class Kind(msgspec.Struct, frozen=True):
    """A kind of jobs; each kind has a queue of its own."""

    name: str
    per_s: float
    """Jobs a second at a load of 1.0 of the file."""
    tasks: float
    """Mean number of tasks of a job."""
    run_s: float
    """Mean run time of a task, in seconds."""
    cores: float
    """Mean demand of a task."""
    worth: float
    """Worth of a mean job that is answered on time."""
    priority: int = 0
    """Priority of the queue; 0 comes first."""
    spread: float = 0.4
    """Spread of run times between jobs and of the number of tasks."""
    uneven: float = 0.15
    """Spread of run times within a job."""
    cores_spread: float = 0.2
    """Spread of the demand, as a share of its mean."""
    data_share: float = 0.0
    """Share of the jobs whose data is on one rack."""
    hot_share: float = 0.0
    """Share of these whose data is on the first rack."""
    declared_off: float = 0.4
    """Spread of the declared run time around the true one."""


class FaultKind(msgspec.Struct, frozen=True):
    """A disruption at a set time."""

    kind: str
    """`burst`, `unanswered`, `crash`, `slow`, `failing`, `hanging`,
    `power_loss`, `entry_kill`, `agent_kill`, `leave` or `crashing_tasks`."""
    at_s: float
    """Start, in seconds from the first job."""
    for_s: float = 5.0
    """Duration in seconds."""
    share: float = 0.15
    """Share of the targets that it affects, or of the requests or jobs."""
    x: float = 2.0
    """Strength: a factor on the load or on run times.

    For tasks that crash targets, the time from their start to the crash; for
    targets that leave, the time from the notice to the end.
    """
    job_kind: str = ""
    """The kind of jobs of a burst or with crashing tasks; empty for all."""


class Workload(msgspec.Struct, frozen=True):
    """A site with its load and faults."""

    entries: int
    cores: list[int]
    """Cores of each target."""
    kinds: list[Kind]
    speeds: list[float] = []
    """Speed of each target; empty if all have a speed of 1."""
    length_s: float = 34.0
    stretch: float = 1.6
    """Multiple of a job's longest run in its objective."""
    allowance_s: float = 0.06
    """Fixed part of the objective."""
    resend_s: float = 1.3
    """Delay after which a caller resends a job whose connection broke."""
    deadline_s: float = 3.0
    """How long a caller waits, beyond three times the objective."""
    targets_per_rack: int = 0
    """Number of targets of each rack; 0 without racks."""
    far_factor: float = 1.0
    """Factor on run times on other racks than that of a job's data."""
    faults: list[FaultKind] = []


class JobDraw(msgspec.Struct, frozen=True):
    """A job as it arrives."""

    name: str
    arrives_s: float
    """Time of arrival in seconds from the first job."""
    kind: Kind
    entry: int
    """Number of the entry that it is sent to."""
    runs_s: tuple[float, ...]
    """True run time of each task, in seconds."""
    millicores: int
    """Demand of each task."""
    declared_s: float
    """The caller's estimate of a run."""
    worth: float
    """What an answer on time is worth."""
    rack: str = ""
    """The rack of its data; empty for none."""

    @property
    def longest_run_s(self) -> float:
        """The longest run time of a task, in seconds."""
        return max(self.runs_s)

    def objective_s(self, workload: Workload) -> float:
        """Return the time within which an answer is on time, in seconds."""
        return workload.stretch * self.longest_run_s + workload.allowance_s


def load_workload(path: Path) -> Workload:
    """Read a workload file.

    :raises msgspec.ValidationError: if it doesn't have the right form.
    """
    return msgspec.json.decode(path.read_bytes(), type=Workload)


def draw_jobs(workload: Workload, load: float, seed: int) -> list[JobDraw]:
    """Draw the jobs of a seed, in order of arrival.

    :param load: factor on all rates of the file.
    """
    jobs = []
    for kind in workload.kinds:
        random = Random(f"{seed}/{kind.name}")
        rack_random = Random(f"{seed}/{kind.name}/racks")
        at_s = 0.0
        peak = max((fault.x for fault in _bursts(workload, kind)), default=1.0)
        while True:
            at_s += random.expovariate(kind.per_s * load * peak)
            if at_s >= workload.length_s:
                break
            is_kept = random.random() * peak <= _factor(workload, kind, at_s)
            job = _draw_job(workload, kind, at_s, len(jobs), random)
            rack = _draw_rack(workload, kind, rack_random)
            if is_kept:
                jobs.append(msgspec.structs.replace(job, rack=rack))
    return sorted(jobs, key=lambda job: job.arrives_s)


def _bursts(workload: Workload, kind: Kind) -> list[FaultKind]:
    return [
        fault
        for fault in workload.faults
        if fault.kind == "burst" and fault.job_kind in ("", kind.name)
    ]


def _factor(workload: Workload, kind: Kind, at_s: float) -> float:
    """Return the factor of all bursts on a kind's rate at a time."""
    factors = [
        fault.x
        for fault in _bursts(workload, kind)
        if fault.at_s <= at_s < fault.at_s + fault.for_s
    ]
    return max(factors, default=1.0)


def _draw_rack(workload: Workload, kind: Kind, random: Random) -> str:
    """Draw the rack of a job's data; empty for none."""
    if not workload.targets_per_rack or random.random() >= kind.data_share:
        return ""
    racks = len(workload.cores) // workload.targets_per_rack
    is_hot = random.random() < kind.hot_share
    return f"rack-{0 if is_hot else random.randrange(racks)}"


def _draw_job(
    workload: Workload, kind: Kind, at_s: float, number: int, random: Random
) -> JobDraw:
    """Draw one job; always takes the same number of random numbers."""
    skew = random.lognormvariate(LOGNORMAL_SHIFT, kind.spread)
    width = random.lognormvariate(LOGNORMAL_SHIFT, kind.spread)
    cores = kind.cores * (1 + kind.cores_spread * random.gauss(0, 1))
    off = random.lognormvariate(LOGNORMAL_SHIFT, kind.declared_off)
    entry = random.randrange(workload.entries)
    task_random = Random(random.random())
    base_s = kind.run_s * min(skew, MAX_SKEW)
    tasks = max(1, round(kind.tasks * min(width, MAX_SKEW)))
    runs_s = tuple(
        base_s * max(0.3, 1 + kind.uneven * task_random.gauss(0, 1))
        for _ in range(tasks)
    )
    cores = min(max(cores, 0.5 * kind.cores), 1.5 * kind.cores)
    work = sum(runs_s) * cores
    mean_work = kind.tasks * kind.run_s * kind.cores
    factor = WORTH_BASE + (1 - WORTH_BASE) * work / mean_work
    return JobDraw(
        name=f"{kind.name}-{number}",
        arrives_s=at_s,
        kind=kind,
        entry=entry,
        runs_s=runs_s,
        millicores=round(1000 * cores),
        declared_s=fmean(runs_s) * off,
        worth=kind.worth * min(factor, MAX_WORTH_FACTOR),
    )
