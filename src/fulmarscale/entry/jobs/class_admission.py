"""Judges waiting jobs of services whose queues have different priorities.

A job waits behind the demand of more urgent classes and the earlier demand of
its own, at this and at other entries, but not behind less urgent jobs.
"""

from __future__ import annotations

from bisect import bisect_right
from itertools import accumulate
from typing import NamedTuple
from typing import TYPE_CHECKING

from fulmarscale.entry.jobs.admission import is_satisfiable
from fulmarscale.entry.jobs.admission import waiting_demand
from fulmarscale.entry.jobs.room import fitting_tasks
from fulmarscale.entry.jobs.room import largest_demand
from fulmarscale.entry.jobs.urgency import MIN_SHARE

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from fulmarscale.entry.jobs.admission import Load
    from fulmarscale.entry.jobs.estimates import RunTimes
    from fulmarscale.entry.jobs.fleet import Fleet
    from fulmarscale.entry.jobs.job import Job
    from fulmarscale.entry.jobs.urgency import Urgency
    from fulmarscale.runs.model import Resources
    from fulmarscale.runs.model import ServiceName


class ClassBacklog:
    """The waiting jobs of one class, by their latest start."""

    def __init__(self, jobs: Iterable[Job]) -> None:
        ordered = sorted(jobs, key=lambda job: job.latest_start_at)
        self._latest_starts = [job.latest_start_at for job in ordered]
        self._cumulative = [0, *accumulate(map(waiting_demand, ordered))]

    @property
    def total(self) -> int:
        """The demand of all, in thousandths of a core."""
        return self._cumulative[-1]

    def up_to(self, latest_start_at: float) -> int:
        """Return the demand with a latest start up to a time.

        :returns: thousandths of a core.
        """
        position = bisect_right(self._latest_starts, latest_start_at)
        return self._cumulative[position]


class ServiceRoom(NamedTuple):
    """A service's capacity at the time of a forecast."""

    load: Load
    """Its capacity and other entries' demand."""
    free: list[Resources]
    """The free resources of each usable target."""


class ClassForecast:
    """Predicts waiting times from the jobs that wait at one moment.

    :param waiting: the jobs that wait for the same targets.
    :param fleet: the entry's agents.
    :param run_times: the measured run times of tasks.
    :param urgency: the classes.
    :param now: the entry's time.
    :param known_share: the share of the targets that are known; the others
        are assumed to be like them.
    """

    def __init__(
        self,
        waiting: Iterable[Job],
        fleet: Fleet,
        run_times: RunTimes,
        urgency: Urgency,
        now: float,
        known_share: float = 1.0,
    ) -> None:
        self._known_share = known_share
        self._fleet = fleet
        self._run_times = run_times
        self._urgency = urgency
        self._now = now
        by_class: dict[ServiceName, dict[int, list[Job]]] = {}
        for job in waiting:
            classes = by_class.setdefault(job.queue.service, {})
            classes.setdefault(job.queue.priority, []).append(job)
        self._backlogs = {
            service: {
                priority: ClassBacklog(jobs)
                for priority, jobs in classes.items()
            }
            for service, classes in by_class.items()
        }
        self._rooms: dict[ServiceName, ServiceRoom] = {}
        for service, classes in by_class.items():
            first = next(iter(classes.values()))[0]
            if urgency.applies_to(first):
                backlogs = self._backlogs[service]
                urgency.record_waiting(
                    {each: backlogs[each].total for each in backlogs},
                    first,
                    now,
                )

    @property
    def is_room_known(self) -> bool:
        """Whether any target is known, from which the room is estimated."""
        return self._known_share > 0

    def wait_s(self, job: Job) -> float:
        """Predict how long a job's last task waits for free capacity.

        :returns: seconds; infinite if no target is usable.
        """
        room = self._room(job)
        if room.load.capacity <= 0 or self._known_share <= 0:
            return float("inf")
        capacity = room.load.capacity / self._known_share
        free = self._usable_free(job, room) / self._known_share
        above, equal = self._ahead(job, room.load)
        mean_s = self._run_times.mean_s or job.critical_s
        wait_s = max(0.0, above + equal - free) * mean_s / capacity
        used = 1.0 - min(1.0, free / capacity)
        granted = 1.0 - used * (1.0 - self._urgency.granted_share(job))
        wait_s /= max(granted, MIN_SHARE)
        # Its class holds its floor beside more urgent demand, and frees it
        # as its own runs end.
        floor = max(self._urgency.floor(job), MIN_SHARE)
        return min(wait_s, equal * job.critical_s / (capacity * floor))

    def is_most_urgent(self, job: Job) -> bool:
        """Return whether a job is of the most urgent class."""
        return self._urgency.is_most_urgent(job)

    def has_room(self, job: Job) -> bool:
        """Return whether all waiting tasks of a job fit now."""
        demand = largest_demand(job)
        room = self._room(job)
        fitting = fitting_tasks(demand, room.free)
        return fitting >= len(job.waiting) * self._known_share

    def _room(self, job: Job) -> ServiceRoom:
        service = job.queue.service
        if service not in self._rooms:
            self._rooms[service] = ServiceRoom(
                self._fleet.load(job, self._now),
                [view.free for view in self._fleet.usable(job, self._now)],
            )
        return self._rooms[service]

    def _usable_free(self, job: Job, room: ServiceRoom) -> int:
        """Return the free capacity in parts that suffice for a task."""
        demand = largest_demand(job)
        if not demand.cpu_millicores:
            return room.load.free
        return fitting_tasks(demand, room.free) * demand.cpu_millicores

    def _ahead(self, job: Job, load: Load) -> tuple[float, float]:
        """Return the demand ahead of a job: of more urgent classes, its own.

        Its own demand is included.
        """
        priority = job.queue.priority
        backlogs = self._backlogs.get(job.queue.service, {})
        own_class = backlogs.get(priority)
        equal = own_class.up_to(job.latest_start_at) if own_class else 0
        above = sum(
            backlog.total
            for each, backlog in backlogs.items()
            if each < priority
        )
        # The other entries' jobs of the class are assumed to have latest
        # starts like this entry's.
        earlier = equal / own_class.total if own_class and equal else 1.0
        others_above, others_equal = self._others(job, load)
        return above + others_above, equal + earlier * others_equal

    def _others(self, job: Job, load: Load) -> tuple[float, float]:
        """Return other entries' demand: of more urgent classes, the job's."""
        priority = job.queue.priority
        others: Mapping[int, float] = load.others_by_priority
        if not others:
            shares = self._urgency.waiting_shares(job)
            others = {each: load.others * shares[each] for each in shares}
        above = sum(others[each] for each in others if each < priority)
        return above, others.get(priority, 0)


def is_admitted(job: Job, forecast: ClassForecast) -> tuple[bool, float]:
    """Judge a job that has just arrived.

    :returns: whether it is likely to be on time or can start at once, and
        its predicted wait in seconds.
    """
    wait_s = forecast.wait_s(job)
    if forecast.is_most_urgent(job):
        # Nothing that arrives later goes ahead of it, and it is judged again
        # at each tick.
        return wait_s <= job.latest_start_at - job.arrived_at, wait_s
    return is_satisfiable(job, wait_s), wait_s


def may_wait(
    job: Job, forecast: ClassForecast, now: float
) -> tuple[bool, float]:
    """Judge a waiting job without any started task.

    :returns: whether it can still be on time or start at once, and its
        predicted wait in seconds.
    """
    wait_s = forecast.wait_s(job)
    if now + wait_s <= job.latest_start_at:
        return True, wait_s
    return forecast.has_room(job), wait_s
