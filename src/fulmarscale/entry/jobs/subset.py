"""Deterministic subsetting: the agents that an entry keeps streams to.

A fleet has more agents than an entry can use at a time, and each stream
costs both sides. Each entry ranks the agents of a service by a hash of the
entry's and the agent's names, alternating between data centres, and uses the
first ones that are available. This gives agents about the same number of
entries without coordination, and an agent that is added or removed changes one
stream of an entry.
"""

from __future__ import annotations

from hashlib import blake2b
from math import ceil
from typing import Final
from typing import TYPE_CHECKING

import msgspec

from fulmarscale.runs.model import ServiceName

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fulmarscale.entry.jobs.fleet import Fleet
    from fulmarscale.entry.jobs.job import Job

SUBSET_SIZE: Final = 24
"""Smallest number of available agents of a service that an entry uses.

With 24 of 160 agents, jobs wait no longer than with all of them at 95% of the
capacity (decision 7).
"""

GROWTH_STEP: Final = 8
"""Agents by which the subset grows or shrinks at a time."""

LABEL_AGENTS: Final = 12
"""Agents used for each label that jobs request; racks have up to 12."""

GROWTH_SHARE: Final = 0.3
"""Share of the subset's capacity used by this entry above which it grows.

Above it, the subset is full of this entry's own runs rather than of the runs
of equally loaded entries, so agents outside it may have free capacity.
"""

RETENTION_S: Final = 10.0
"""How long agents that are no longer needed stay in the subset."""

AVAILABLE_GRACE_S: Final = 0.5
"""How long an unavailable agent counts as available before it is replaced."""

HASH_BYTES: Final = 8


class AnnouncedAgent(msgspec.Struct, frozen=True):
    """The announcement of an agent."""

    name: str
    """The agent's name."""
    address: str
    """IP:port on which it serves entries."""
    service: ServiceName = ServiceName("")
    """The pool that its target belongs to; empty while it has no target."""
    data_centre: str = ""
    """The data centre of its target."""
    labels: tuple[str, ...] = ()
    """The kind and the rack of its target."""


class Subset:
    """Selects the agents that one entry keeps streams to."""

    def __init__(self, entry: str, fleet: Fleet) -> None:
        self._entry = entry
        self._fleet = fleet
        self._agents: dict[str, AnnouncedAgent] = {}
        """All announced agents, by name."""
        self._rankings: dict[ServiceName, list[str]] = {}
        """Names of each service's agents, in this entry's order of use."""
        self._is_ranked = False
        """Whether the rankings match the announced agents."""
        self._hashes: dict[str, bytes] = {}
        """Cached ranking hashes of agents and data centres, by name."""
        self._needed_at: dict[str, float] = {}
        """When each agent of the subset was last needed."""
        self._available_at: dict[str, float] = {}
        """When each agent was last available, or was first counted."""
        self._agents_by_label: dict[str, list[str]] = {}
        """The first agents of the rankings with each label."""
        self._label_requested_at: dict[str, float] = {}
        """When a job last requested each of these labels."""
        self._min_targets = 0
        """Most targets that a step of a recent job needs."""
        self._min_targets_at = float("-inf")
        """When a job last needed that many targets."""
        self._size = SUBSET_SIZE
        self._resized_at = float("-inf")
        """When the size last changed."""
        self._uses_all = False

    @property
    def size(self) -> int:
        """The number of available agents of a service that the entry needs."""
        return self._size

    @property
    def requested_label_count(self) -> int:
        """The number of labels for which the subset contains agents."""
        return len(self._label_requested_at)

    def use_all(self) -> None:
        """Use all agents from now on.

        Any agent may keep an unacknowledged completion of a durable job whose
        new owner is this entry. Agents that announce no target are left out
        while any agent announces one.
        """
        self._uses_all = True

    def update_agents(self, agents: Iterable[AnnouncedAgent]) -> None:
        """Replace the list of announced agents."""
        self._agents = {agent.name: agent for agent in agents}
        self._is_ranked = False

    def agents_by_service(self) -> dict[ServiceName, list[str]]:
        """Return the names of all announced agents with a target."""
        names: dict[ServiceName, list[str]] = {}
        for agent in self._agents.values():
            if agent.service:
                names.setdefault(agent.service, []).append(agent.name)
        return names

    def record_needs(self, job: Job, now: float) -> None:
        """Record the needs of a job that the subset may not meet.

        These are targets with a label, and many targets for a step with a
        bound on its tasks per target.
        """
        for step in job.spec.steps:
            if step.max_tasks_per_target > 0:
                targets = ceil(step.count / step.max_tasks_per_target)
                if targets >= self._min_targets:
                    self._min_targets = targets
                    self._min_targets_at = now
            for label in (step.required_label, step.data_rack):
                if label in self._agents_by_label:
                    self._label_requested_at[label] = now

    def resize(self, used_millicores: int, now: float) -> None:
        """Grow while the entry's own runs fill the subset, shrink later.

        :param used_millicores: the demand of the entry's assigned tasks while
            others wait, in thousandths of a core; 0 while none waits.
        :param now: the entry's time.
        """
        capacity = sum(
            view.capacity.cpu_millicores for view in self._fleet.connected
        )
        is_full = used_millicores > GROWTH_SHARE * capacity
        if is_full and self._size < len(self._agents):
            self._size += GROWTH_STEP
            self._resized_at = now
        elif self._size > SUBSET_SIZE and now - self._resized_at > RETENTION_S:
            self._size -= GROWTH_STEP
            self._resized_at = now

    def choose(self, now: float) -> dict[str, AnnouncedAgent]:
        """Return the agents to keep streams to, by name."""
        if not self._is_ranked:
            self._update_rankings()
        self._expire_needs(now)
        size = max(self._size, self._min_targets)
        for service in self._rankings:
            for name in self._first_available(service, size, now):
                self._needed_at[name] = now
        for label in self._label_requested_at:
            for name in self._agents_by_label.get(label, ()):
                self._needed_at[name] = now
        for name, needed_at in list(self._needed_at.items()):
            if self._is_expired(name, needed_at, now):
                del self._needed_at[name]
                self._available_at.pop(name, None)
        return {name: self._agents[name] for name in self._needed_at}

    def _update_rankings(self) -> None:
        """Recompute the rankings from the announced agents."""
        self._is_ranked = True
        services = {agent.service for agent in self._agents.values()}
        if len(services) > 1:
            # Agents without a target are skipped while others have one.
            services.discard(ServiceName(""))
        self._rankings = {name: self._rank(name) for name in sorted(services)}
        self._agents_by_label = {}
        for ranking in self._rankings.values():
            for name in ranking:
                for label in self._agents[name].labels:
                    names = self._agents_by_label.setdefault(label, [])
                    if len(names) < LABEL_AGENTS:
                        names.append(name)

    def _rank(self, service: ServiceName) -> list[str]:
        """Rank the agents of a service, alternating between data centres."""
        by_data_centre: dict[str, list[str]] = {}
        for agent in self._agents.values():
            if agent.service == service:
                by_data_centre.setdefault(agent.data_centre, []).append(
                    agent.name
                )
        ranked = []
        for data_centre, names in by_data_centre.items():
            offset = self._hash(data_centre)
            for turn, name in enumerate(sorted(names, key=self._hash)):
                ranked.append((turn, offset, name))
        return [name for _, _, name in sorted(ranked)]

    def _hash(self, name: str) -> bytes:
        """Return a hash of the entry's name and another name."""
        digest = self._hashes.get(name)
        if digest is None:
            text = f"{self._entry}/{name}".encode()
            digest = blake2b(text, digest_size=HASH_BYTES).digest()
            self._hashes[name] = digest
        return digest

    def _expire_needs(self, now: float) -> None:
        """Remove needs that no recent job has had."""
        if now - self._min_targets_at > RETENTION_S:
            self._min_targets = 0
        for label, requested_at in list(self._label_requested_at.items()):
            if now - requested_at > RETENTION_S:
                del self._label_requested_at[label]

    def _first_available(
        self, service: ServiceName, size: int, now: float
    ) -> list[str]:
        """Return the shortest head of a ranking with enough available ones."""
        ranking = self._rankings[service]
        if self._uses_all or len(ranking) <= size:
            return ranking
        available = 0
        for count, name in enumerate(ranking, 1):
            available += self._is_available_soon(name, now)
            if available >= size:
                return ranking[:count]
        return ranking

    def _is_available_soon(self, name: str, now: float) -> bool:
        """Return whether an agent is available or is likely to be soon."""
        if self._fleet.is_agent_available(name, now):
            self._available_at[name] = now
            return True
        return (
            now - self._available_at.setdefault(name, now) <= AVAILABLE_GRACE_S
        )

    def _is_expired(self, name: str, needed_at: float, now: float) -> bool:
        """Return whether an agent is to be removed from the subset."""
        if name not in self._agents:
            return True
        view = self._fleet.find(name)
        has_runs = view is not None and bool(view.assigned)
        return not has_runs and now - needed_at > RETENTION_S
