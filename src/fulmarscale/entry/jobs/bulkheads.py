"""Confines queues whose tasks crash targets to a part of the targets.

The part is nearly the same for all entries without coordination: the targets
that such a queue has crashed already, and then the first ones by a hash of the
agents' names. It takes all targets that the other queues don't need. For some
seconds after each crash, the confined queues use only this part and the others
only the rest, so that a queue's crashes cost only itself (the bulkhead
pattern). Later, each prefers its part.
"""

from __future__ import annotations

from enum import Enum
from hashlib import blake2b
from math import ceil
from typing import Final
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from fulmarscale.entry.jobs.agent_view import AgentView
    from fulmarscale.entry.jobs.crash_history import QueueCrash
    from fulmarscale.entry.jobs.job import Job
    from fulmarscale.runs.model import QueueName
    from fulmarscale.runs.model import ServiceName

MIN_CONFINED_SHARE: Final = 0.3
"""Least share of a service's targets that confined queues get, rounded up."""

MIN_HEADROOM: Final = 1.2
"""Least capacity of the open part, as a multiple of the open queues' load.

Below it, the open part grows to HEADROOM.
"""

HEADROOM: Final = 1.5
"""Capacity of the open part, as a multiple of the open queues' peak load.

A target that has too many runs to take another task counts as free in part,
and runs are not spread evenly.
"""

GROWTH_SHARE: Final = 0.1
"""Share of a service's targets by which the confined part grows at a time."""

GROWTH_INTERVAL_S: Final = 1.0
"""Least time between two times that the confined part grows.

Right after a crash the load of the open queues is low, as it has ended their
runs too. The part shrinks at once.
"""

CONFINEMENT_S: Final = 15.0
"""How long a queue stays confined after the last crash by its tasks.

Several restarts of a target, so that a queue whose part is down as a whole
stays confined until its tasks run again.
"""

RESERVATION_S: Final = 5.0
"""How long queues use only their own part after a crash.

A restart of a target and some time for its next run.
"""

HASH_BYTES: Final = 8


class Partition(Enum):
    """A part of the targets of a service."""

    OPEN = "open"
    """The targets of all queues that are not confined."""
    CONFINED = "confined"
    """The targets of the confined queues."""


class Bulkheads:
    """The confined queues and the agents of their targets."""

    def __init__(self) -> None:
        self._queues: dict[QueueName, float] = {}
        """Confined queues, with the time of the last crash by each."""
        self._members: dict[ServiceName, list[str]] = {}
        """Names of the agents in the confined part of each service."""
        self._grown_at: dict[ServiceName, float] = {}
        """When each of these parts last grew."""
        self._member_names: frozenset[str] = frozenset()
        self._is_reserved = False
        """Whether only the confined queues use the confined parts."""
        self._crashed: dict[str, None] = {}
        """Names of the agents whose targets they have crashed, in order."""

    @property
    def queues(self) -> frozenset[QueueName]:
        """The confined queues."""
        return frozenset(self._queues)

    @property
    def members(self) -> frozenset[str]:
        """Names of all agents in confined parts."""
        return self._member_names

    def update_crashes(
        self, crashes: Collection[QueueCrash], now: float
    ) -> None:
        """Update the confined queues from the crashes by their tasks.

        :param crashes: all crashes that are attributed to queues, by time.
        :param now: the entry's time.
        """
        self._queues = {}
        self._crashed = {}
        for crash in crashes:
            if now - crash.crashed_at <= CONFINEMENT_S:
                self._queues[crash.queue] = crash.crashed_at
        for crash in crashes:
            if crash.queue in self._queues:
                self._crashed[crash.agent] = None
        last_crash_at = max(self._queues.values(), default=float("-inf"))
        self._is_reserved = now - last_crash_at <= RESERVATION_S

    def update_members(
        self,
        agents: dict[ServiceName, list[str]],
        open_loads: dict[ServiceName, float],
        now: float,
    ) -> None:
        """Choose the agents of the confined parts.

        They follow from the known crashes alone, which an entry that has just
        started learns one after the other.

        :param agents: the names of each service's agents.
        :param open_loads: the load of each service's open queues, as a share
            of the capacity of its targets.
        :param now: the entry's time.
        """
        if not self._queues:
            self._members = {}
            self._grown_at = {}
            self._member_names = frozenset()
            return
        for service, names in agents.items():
            current = len(self._members.get(service, ()))
            size = _confined_size(
                len(names), current, open_loads.get(service, 1.0)
            )
            size = self._limit_growth(service, len(names), size, now)
            present = set(names)
            ranking = [name for name in self._crashed if name in present]
            ranking += sorted(present - self._crashed.keys(), key=_hash)
            self._members[service] = ranking[:size]
        self._member_names = frozenset(
            name for members in self._members.values() for name in members
        )

    def _limit_growth(
        self, service: ServiceName, targets: int, size: int, now: float
    ) -> int:
        """Return the present size of a part that is to have a size.

        :param service: the service.
        :param targets: the number of its targets.
        :param size: the size that the part is to have.
        :param now: the entry's time.
        """
        current = len(self._members.get(service, ()))
        if size <= current:
            return size
        grown_at = self._grown_at.get(service)
        if grown_at is not None and now - grown_at < GROWTH_INTERVAL_S:
            return current
        self._grown_at[service] = now
        if current == 0:
            return min(size, ceil(MIN_CONFINED_SHARE * targets))
        return min(size, current + ceil(GROWTH_SHARE * targets))

    def is_confined(self, job: Job) -> bool:
        """Return whether a job's queue is confined."""
        return job.queue.name in self._queues

    def partition_of(self, job: Job) -> Partition:
        """Return the part in which a job's tasks may run."""
        has_part = bool(self._members.get(job.queue.service))
        if has_part and self.is_confined(job):
            return Partition.CONFINED
        return Partition.OPEN

    def allows(self, job: Job, view: AgentView) -> bool:
        """Return whether a job's tasks may run on an agent's target."""
        return self.partition_of(job) in self.partitions_on(view.name)

    def partitions_on(self, agent: str) -> tuple[Partition, ...]:
        """Return the parts whose jobs may run on an agent's target."""
        if not self._queues:
            return (Partition.OPEN,)
        if not self._is_reserved:
            return (Partition.OPEN, Partition.CONFINED)
        if agent in self._member_names:
            return (Partition.CONFINED,)
        return (Partition.OPEN,)

    def is_own_part(self, job: Job, agent: str) -> bool:
        """Return whether an agent is in the part of a job's queue."""
        is_member = agent in self._member_names
        return is_member == (self.partition_of(job) is Partition.CONFINED)


def _confined_size(targets: int, current: int, open_load: float) -> int:
    """Return how many targets the confined queues of a service get.

    :param targets: the number of the service's targets.
    :param current: how many they have.
    :param open_load: the load of the open queues, as a share of all targets.
    """
    most = targets - 1
    least = min(ceil(MIN_CONFINED_SHARE * targets), most)
    needed = ceil(MIN_HEADROOM * open_load * targets)
    wanted = ceil(HEADROOM * open_load * targets)
    open_size = targets - current
    if not needed <= open_size <= wanted:
        open_size = wanted
    return max(least, min(targets - open_size, most), 0)


def _hash(name: str) -> bytes:
    return blake2b(name.encode(), digest_size=HASH_BYTES).digest()
