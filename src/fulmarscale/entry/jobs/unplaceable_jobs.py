"""Sets jobs apart whose waiting tasks no known target can ever run.

They don't count as waiting: neither the forecasts for other jobs nor the
demand that agents are told of include them. They wait again once a target
that can run them is known.
"""

from __future__ import annotations

from collections import Counter
from collections import defaultdict
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

from fulmarscale.entry.jobs.admission_control import STARTUP_S
from fulmarscale.events import Event

if TYPE_CHECKING:
    from fulmarscale.entry.jobs.fleet import Fleet
    from fulmarscale.entry.jobs.job import Job
    from fulmarscale.entry.jobs.open_jobs import OpenJobs
    from fulmarscale.entry.jobs.run_monitor import DecisionLog
    from fulmarscale.runs.model import Resources
    from fulmarscale.runs.model import ServiceName
    from fulmarscale.runs.model import TargetReport

TARGET_MEMORY_S: Final = 10.0
"""How long a target counts as known that is down or whose agent is.

Longer than a restart: jobs that only this target can run wait for it.
"""


class TargetKind(NamedTuple):
    """What decides which tasks a target can ever run."""

    service: ServiceName
    capacity: Resources
    labels: tuple[str, ...]


class UnplaceableJobs:
    """Sets jobs apart that no known target can run.

    :param fleet: the entry's agents.
    :param open_jobs: the entry's open jobs.
    :param log: writes a line about a decision.
    """

    def __init__(
        self, fleet: Fleet, open_jobs: OpenJobs, log: DecisionLog
    ) -> None:
        self._fleet = fleet
        self._open = open_jobs
        self._log = log
        self._reports: dict[str, TargetReport | None] = {}
        """The last report of each connected agent's target."""
        self._kinds: dict[str, TargetKind] = {}
        """The last known kind of each agent's target."""
        self._lost_at: dict[str, float] = {}
        """Since when the targets are lost whose kinds are remembered."""
        self._began_at: float | None = None
        self._is_started = False
        """Whether jobs are set apart, as the targets have become known."""
        self._capacities: dict[tuple[ServiceName, str], set[Resources]] = {}
        """The capacities of all targets, by service and label."""

    def update(self, now: float) -> None:
        """Set jobs apart, or let them wait again.

        Only jobs that are new, or whose tasks have changed, are checked,
        unless the known targets have changed.

        :param now: the entry's time.
        """
        if self._began_at is None:
            self._began_at = now
        has_changed = self._update_targets(now)
        if now - self._began_at < STARTUP_S:
            return
        candidates = list(self._open.unchecked.values())
        if has_changed or not self._is_started:
            self._is_started = True
            candidates = [
                *self._open.waiting.values(),
                *self._open.set_apart.values(),
            ]
        self._open.unchecked.clear()
        moved: Counter[bool] = Counter()
        for job in candidates:
            if job.job_id not in self._open.jobs or not job.is_waiting:
                continue
            is_apart = job.job_id in self._open.set_apart
            if self._is_placeable(job) is not is_apart:
                continue
            self._open.set_waiting(job, is_apart=not is_apart)
            moved[not is_apart] += 1
        for is_apart, count in moved.items():
            self._log(Event.JOB_SET_APART, jobs=count, is_apart=is_apart)

    def _is_placeable(self, job: Job) -> bool:
        """Return whether a known target can run any waiting task of a job.

        As long as no target is known at all, one may soon be.
        """
        if not self._capacities:
            return True
        service = job.queue.service
        return any(
            step.demand.fits(capacity)
            for step in job.waiting_steps
            for capacity in self._capacities.get(
                (service, step.required_label), ()
            )
        )

    def _update_targets(self, now: float) -> bool:
        """Update the known targets.

        :param now: the entry's time.
        :returns: whether other tasks can be run than before.
        """
        reports = {view.name: view.target for view in self._fleet.connected}
        expired = [
            name
            for name, lost_at in self._lost_at.items()
            if now - lost_at > TARGET_MEMORY_S
        ]
        if reports == self._reports and not expired:
            return False
        self._reports = reports
        for name in expired:
            self._kinds.pop(name, None)
            self._lost_at.pop(name, None)
        for name in self._kinds.keys() - reports.keys():
            self._lost_at.setdefault(name, now)
        for name, report in reports.items():
            if report is not None:
                self._lost_at.pop(name, None)
                self._kinds[name] = TargetKind(
                    report.service, report.capacity, report.labels
                )
            elif name in self._kinds:
                self._lost_at.setdefault(name, now)
        capacities = defaultdict(set)
        for kind in set(self._kinds.values()):
            for label in ("", *kind.labels):
                capacities[kind.service, label].add(kind.capacity)
        has_changed = capacities != self._capacities
        self._capacities = capacities
        return has_changed
