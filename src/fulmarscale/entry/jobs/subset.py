"""Which agents an entry keeps streams to.

A fleet has more agents than an entry can use at a time, and each stream
costs both sides. An entry uses the first agents of its own ranking that can
be used: a hash of both names, taken from all data centres in turn. So agents
get about the same number of entries each, nobody has to agree on anything,
and one agent that comes or goes moves one stream of an entry.
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
"""Agents of a service that an entry uses.

With 24 of 160 no job waits longer at 0.95 of the capacity (decision 7).
"""

GROWTH: Final = 8
"""Agents that are added at once when the subset is too small."""

LABEL_AGENTS: Final = 12
"""Agents with a label that jobs ask for; racks have up to 12."""

OWN_SHARE: Final = 0.3
"""Share of a full subset above which an entry takes more agents.

The room is taken by its own runs then, not by those of entries that have as
much to do: agents outside may have room.
"""

LINGER_S: Final = 10.0
"""How long agents are kept that are not needed any more."""

GRACE_S: Final = 0.5
"""How long an agent may take to be usable before another takes its place."""

SHUFFLE_BYTES: Final = 8


class KnownAgent(msgspec.Struct, frozen=True):
    """An agent that announced itself."""

    name: str
    """The agent's name."""
    address: str
    """IP:port on which it serves entries."""
    service: ServiceName = ServiceName("")
    """Its target's pool; empty while it has no target."""
    data_centre: str = ""
    """Where its target is."""
    labels: tuple[str, ...] = ()
    """Its target's kind and rack."""


class Subset:
    """The agents that one entry uses."""

    def __init__(self, entry: str, fleet: Fleet) -> None:
        self._entry = entry
        self._fleet = fleet
        self._agents: dict[str, KnownAgent] = {}
        self._rankings: dict[ServiceName, list[str]] = {}
        self._is_ranked = False
        self._hashes: dict[str, bytes] = {}
        self._needed_at: dict[str, float] = {}
        """When each agent in use was needed last."""
        self._usable_at: dict[str, float] = {}
        """When each agent in use was usable last, or was taken in."""
        self._labelled: dict[str, list[str]] = {}
        """The first agents with each label that targets have."""
        self._asked_at: dict[str, float] = {}
        """When jobs asked last for each such label."""
        self._spread = 0
        """Targets that a step of a job needed."""
        self._spread_at = float("-inf")
        self._size = SUBSET_SIZE
        self._grown_at = float("-inf")
        self._uses_all = False

    @property
    def size(self) -> int:
        """How many usable agents of a service the entry wants."""
        return self._size

    @property
    def labels_asked_for(self) -> int:
        """How many labels the subset has agents of, as jobs asked for them."""
        return len(self._asked_at)

    def use_all(self) -> None:
        """Use every agent from now on.

        Any of them may hold the end of a kept job's run for the job's next
        owner.
        """
        self._uses_all = True

    def learn(self, agents: Iterable[KnownAgent]) -> None:
        """Take in all agents that announced themselves."""
        self._agents = {agent.name: agent for agent in agents}
        self._is_ranked = False

    def note_needs(self, job: Job, now: float) -> None:
        """Note what a job needs that the subset may lack.

        These are targets with a label, and many targets for a step that may
        have few tasks on each.
        """
        for step in job.spec.steps:
            if step.most_per_target > 0:
                targets = ceil(step.count / step.most_per_target)
                if targets >= self._spread:
                    self._spread = targets
                    self._spread_at = now
            for label in (step.required_label, step.data_rack):
                if label in self._labelled:
                    self._asked_at[label] = now

    def fit(self, used: int, now: float) -> None:
        """Grow while the entry's own runs fill the subset, shrink later.

        :param used: what the entry's runs take while tasks find no room, in
            thousandths of a core; 0 while none wait.
        :param now: the entry's time.
        """
        capacity = sum(
            view.capacity.cpu_millicores for view in self._fleet.connected
        )
        is_full = used > OWN_SHARE * capacity
        if is_full and self._size < len(self._agents):
            self._size += GROWTH
            self._grown_at = now
        elif self._size > SUBSET_SIZE and now - self._grown_at > LINGER_S:
            self._size -= GROWTH
            self._grown_at = now

    def choose(self, now: float) -> dict[str, KnownAgent]:
        """Choose the agents to keep streams to, by name."""
        if not self._is_ranked:
            self._rank_all()
        self._forget(now)
        size = max(self._size, self._spread)
        for service in self._rankings:
            for name in self._first_usable(service, size, now):
                self._needed_at[name] = now
        for label in self._asked_at:
            for name in self._labelled.get(label, ()):
                self._needed_at[name] = now
        for name, needed_at in list(self._needed_at.items()):
            if self._is_over(name, needed_at, now):
                del self._needed_at[name]
                self._usable_at.pop(name, None)
        return {name: self._agents[name] for name in self._needed_at}

    def _rank_all(self) -> None:
        self._is_ranked = True
        services = {agent.service for agent in self._agents.values()}
        if len(services) > 1:
            # Agents without a target are of no use while others have one.
            services.discard(ServiceName(""))
        self._rankings = {name: self._rank(name) for name in sorted(services)}
        self._labelled = {}
        for ranking in self._rankings.values():
            for name in ranking:
                for label in self._agents[name].labels:
                    names = self._labelled.setdefault(label, [])
                    if len(names) < LABEL_AGENTS:
                        names.append(name)

    def _rank(self, service: ServiceName) -> list[str]:
        """Rank the agents of a service, data centres in turn."""
        centres: dict[str, list[str]] = {}
        for agent in self._agents.values():
            if agent.service == service:
                centres.setdefault(agent.data_centre, []).append(agent.name)
        placed = []
        for centre, names in centres.items():
            offset = self._shuffle(centre)
            for turn, name in enumerate(sorted(names, key=self._shuffle)):
                placed.append((turn, offset, name))
        return [name for _, _, name in sorted(placed)]

    def _shuffle(self, name: str) -> bytes:
        known = self._hashes.get(name)
        if known is None:
            text = f"{self._entry}/{name}".encode()
            known = blake2b(text, digest_size=SHUFFLE_BYTES).digest()
            self._hashes[name] = known
        return known

    def _forget(self, now: float) -> None:
        """Drop what no job has asked for of late."""
        if now - self._spread_at > LINGER_S:
            self._spread = 0
        for label, asked_at in list(self._asked_at.items()):
            if now - asked_at > LINGER_S:
                del self._asked_at[label]

    def _first_usable(
        self, service: ServiceName, size: int, now: float
    ) -> list[str]:
        """List the head of a ranking that has enough usable agents."""
        ranking = self._rankings[service]
        if self._uses_all or len(ranking) <= size:
            return ranking
        usable = 0
        for count, name in enumerate(ranking, 1):
            usable += self._counts(name, now)
            if usable >= size:
                return ranking[:count]
        return ranking

    def _counts(self, name: str, now: float) -> bool:
        """Tell whether an agent can be used, or is likely to be soon."""
        if self._fleet.is_usable(name, now):
            self._usable_at[name] = now
            return True
        return now - self._usable_at.setdefault(name, now) <= GRACE_S

    def _is_over(self, name: str, needed_at: float, now: float) -> bool:
        if name not in self._agents:
            return True
        view = self._fleet.find(name)
        has_runs = view is not None and bool(view.ordered)
        return not has_runs and now - needed_at > LINGER_S
