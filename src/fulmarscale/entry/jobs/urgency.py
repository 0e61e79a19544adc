"""Decides whose turn it is when capacity is short, by the queues' priorities.

It applies to a service whose queues have different priorities. The jobs of
one priority form a class. More urgent classes go first, but each class is
granted a part of what it asks for, so that the least urgent one is slowed
down and never starved.
"""

from __future__ import annotations

from math import exp
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

from fulmarscale.entry.jobs.waiting_order import LatestStartOrder
from fulmarscale.entry.jobs.waiting_order import WaitingOrder

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fulmarscale.entry.jobs.job import Job
    from fulmarscale.entry.jobs.job import Task
    from fulmarscale.runs.model import ServiceName
    from fulmarscale.runs.site_config import SiteConfig

FLOOR_SHARE: Final = 0.5
"""What a class is granted at least, as a part of its share without classes.

Its share without classes is its share of the work that is asked for.
"""

MIN_SHARE: Final = 0.01
"""Least share of the capacity by which a wait is predicted."""

SHARE_WINDOW_S: Final = 2.0
"""Time in which recorded work decays to 1/e.

It covers some jobs of the slowest queues, and a burst shows within it.
"""

SMALL_REST_SHARE: Final = 0.25
"""Share of a job's tasks up to which the waiting rest is small.

The other tasks run or are done, and their work is lost unless it ends.
"""

STARVED_SHARE: Final = 0.5
"""Part of its floor below which a class goes ahead of the most urgent one."""

PROMOTED: Final = -1
"""The class of jobs that go ahead of all others."""


class DemandRank(NamedTuple):
    """The sort key of waiting demand; the lowest gets capacity first.

    Entries rank their jobs and agents the demand of entries by it.
    """

    priority: int
    """The priority of the queue; 0 is the most urgent."""
    is_late: bool
    """Whether it can't be on time any more."""
    latest_start_at: float
    """When it has to start to be on time, in the time of who ranks it."""


def has_classes(site: SiteConfig, service: ServiceName) -> bool:
    """Return whether queues of a service have different priorities."""
    return len({q.priority for q in site.queues if q.service == service}) > 1


class RecentWork:
    """Work by priority, in millicore-seconds, that decays with time."""

    def __init__(self) -> None:
        self._work: dict[int, float] = {}
        self._updated_at = 0.0
        self._since: float | None = None

    def add(self, priority: int, work: float, now: float) -> None:
        """Add work.

        :param priority: the priority of its queue.
        :param work: millicore-seconds.
        :param now: the entry's time.
        """
        if self._since is None:
            self._since = now
        decay = exp((self._updated_at - now) / SHARE_WINDOW_S)
        self._updated_at = now
        for each in self._work:
            self._work[each] *= decay
        self._work[priority] = self._work.get(priority, 0.0) + work

    @property
    def is_settled(self) -> bool:
        """Whether the records cover enough time to foretell the shares.

        After a loss of all machines, callers that return at once are no
        sample of those that arrive later.
        """
        since = self._since
        return since is not None and (
            self._updated_at - since >= SHARE_WINDOW_S
        )

    @property
    def shares(self) -> dict[int, float]:
        """The share of each class; empty before any work."""
        return {priority: self.share(priority) for priority in self._work}

    def share(self, priority: int) -> float:
        """Return the share of one class; 0 before any work."""
        total = sum(self._work.values())
        return self._work.get(priority, 0.0) / total if total > 0 else 0.0

    def rate(self, priority: int, now: float) -> float:
        """Return the recent work of one class a second."""
        decay = exp((self._updated_at - now) / SHARE_WINDOW_S)
        return decay * self._work.get(priority, 0.0) / SHARE_WINDOW_S

    def share_above(self, priority: int) -> float:
        """Return the share of the more urgent classes."""
        return sum(self.share(each) for each in self._work if each < priority)


def task_work(job: Job, task: Task) -> float:
    """Return the expected work of a task, in millicore-seconds."""
    declared_s = job.critical_path_s()
    factor = job.critical_s / declared_s if declared_s > 0 else 1.0
    return task.step.demand.cpu_millicores * task.step.declared_s * factor


class Urgency:
    """The classes of each service and the work of each class.

    An entry's own work stands for that of all entries: callers choose entries
    independently of their queue.
    """

    def __init__(self) -> None:
        self._services: dict[ServiceName, int] = {}
        """Services with classes, and the priority of their most urgent one."""
        self._asked: dict[ServiceName, RecentWork] = {}
        """The work of the jobs that arrived."""
        self._placed: dict[ServiceName, RecentWork] = {}
        """The work of the tasks that were placed."""
        self._started: dict[ServiceName, RecentWork] = {}
        """The millicores of these tasks, for whatever time they run."""
        self._waiting: dict[ServiceName, RecentWork] = {}
        """The millicores of waiting tasks at each forecast."""

    def configure(self, site: SiteConfig) -> None:
        """Adopt the priorities of a site configuration."""
        self._services = {
            service: min(
                queue.priority
                for queue in site.queues
                if queue.service == service
            )
            for service in {queue.service for queue in site.queues}
            if has_classes(site, service)
        }
        for known in (
            self._asked,
            self._placed,
            self._started,
            self._waiting,
        ):
            for service in known.keys() - self._services.keys():
                del known[service]

    def applies_to(self, job: Job) -> bool:
        """Return whether a job competes with jobs of other priorities."""
        return job.queue.service in self._services

    def is_most_urgent(self, job: Job) -> bool:
        """Return whether no class of a job's service is more urgent."""
        return self._services.get(job.queue.service) == job.queue.priority

    def record_asked(self, job: Job, now: float) -> None:
        """Record the work of a job that has arrived."""
        if self.applies_to(job):
            work = sum(task_work(job, task) for task in job.tasks)
            asked = self._asked.setdefault(job.queue.service, RecentWork())
            asked.add(job.queue.priority, work, now)

    def record_waiting(
        self, demands: dict[int, int], job: Job, now: float
    ) -> None:
        """Record the present demand of waiting tasks.

        :param demands: thousandths of a core, by priority.
        :param job: a job of the service.
        :param now: the entry's time.
        """
        waiting = self._waiting.setdefault(job.queue.service, RecentWork())
        for priority, demand in demands.items():
            waiting.add(priority, demand, now)

    def waiting_shares(self, job: Job) -> dict[int, float]:
        """Return the share of each class in the waiting demand lately."""
        waiting = self._waiting.get(job.queue.service)
        return waiting.shares if waiting else {}

    def record_placed(self, job: Job, task: Task, now: float) -> None:
        """Record the work of a task that is placed."""
        if self.applies_to(job):
            placed = self._placed.setdefault(job.queue.service, RecentWork())
            placed.add(job.queue.priority, task_work(job, task), now)
            started = self._started.setdefault(job.queue.service, RecentWork())
            started.add(
                job.queue.priority, task.step.demand.cpu_millicores, now
            )

    def asked_shares(self, job: Job) -> dict[int, float]:
        """Return the share of the classes of a job's service in its work."""
        asked = self._asked.get(job.queue.service)
        return asked.shares if asked else {}

    def floor(self, job: Job) -> float:
        """Return the least share of the capacity that a job's class holds."""
        return FLOOR_SHARE * self.asked_shares(job).get(
            job.queue.priority, 0.0
        )

    def granted_share(self, job: Job) -> float:
        """Return the share of freed capacity that reached a job's class.

        More urgent jobs took the rest, and are assumed to go on so.
        """
        started = self._started.get(job.queue.service)
        if started is None or not started.is_settled:
            return 1.0
        return 1.0 - started.share_above(job.queue.priority)

    def start_rate(self, job: Job, now: float) -> float:
        """Return the rate at which tasks of a job's class were placed lately.

        :returns: thousandths of a core a second.
        """
        started = self._started.get(job.queue.service)
        return started.rate(job.queue.priority, now) if started else 0.0

    def share_of_floor(self, job: Job) -> float:
        """Return what a job's class got lately, as a part of its floor."""
        placed = self._placed.get(job.queue.service)
        floor = self.floor(job)
        if placed is None or floor <= 0:
            return 1.0
        return placed.share(job.queue.priority) / floor

    def most_urgent(self, job: Job) -> int:
        """Return the most urgent priority of the jobs that arrived lately."""
        return min(self.asked_shares(job), default=job.queue.priority)


class UrgencyOrder(WaitingOrder):
    """The most urgent class first, within it the earliest latest start.

    The first job of a class that is below its floor goes next after the most
    urgent class, or ahead of all if it is far below. A begun job whose rest
    is small goes ahead of all. Other begun jobs keep their turn
    inside their class. Jobs of services without classes are ordered by their
    latest start.

    :param urgency: the classes.
    """

    def __init__(self, urgency: Urgency) -> None:
        self._urgency = urgency
        self._latest_start = LatestStartOrder()

    def sort(self, jobs: Iterable[Job], now: float) -> list[Job]:
        """Return the jobs, the one that gets capacity first ahead."""
        ordered = self._latest_start.sort(jobs, now)
        promoted: set[tuple[ServiceName, int]] = set()
        ranks: dict[str, DemandRank] = {}
        for job in ordered:
            rank = self._rank(job, now)
            key = (job.queue.service, job.queue.priority)
            if (
                self._urgency.applies_to(job)
                and key not in promoted
                and not rank.is_late
                and self._urgency.share_of_floor(job) < 1.0
            ):
                promoted.add(key)
                rank = self._promote(job, rank)
            ranks[job.job_id] = rank
        return sorted(ordered, key=lambda job: ranks[job.job_id])

    def _promote(self, job: Job, rank: DemandRank) -> DemandRank:
        """Return the rank of a job whose class is below its floor."""
        if self._urgency.share_of_floor(job) < STARVED_SHARE:
            return rank._replace(priority=PROMOTED)
        first = self._urgency.most_urgent(job)
        if rank.priority == first:
            return rank
        # Behind the jobs of the most urgent class that can be on time.
        return DemandRank(first, False, float("inf"))

    def _rank(self, job: Job, now: float) -> DemandRank:
        is_late = now > job.latest_start_at and not job.is_started
        if not self._urgency.applies_to(job):
            return DemandRank(0, is_late, job.latest_start_at)
        if job.is_started:
            is_late = now + job.critical_s > job.useful_until
            rest = len(job.waiting) / max(1, len(job.tasks))
            if rest <= SMALL_REST_SHARE and not is_late:
                return DemandRank(PROMOTED, is_late, job.latest_start_at)
        return DemandRank(job.queue.priority, is_late, job.latest_start_at)
