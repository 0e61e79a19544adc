"""What operators have set: queues, services, data centres taken out.

A newer revision replaces an older one; an older one is never taken back.
"""

from __future__ import annotations

from functools import cached_property

import msgspec

from fulmarscale.runs.limits import HAND_ON_S
from fulmarscale.runs.model import QueueName
from fulmarscale.runs.model import ServiceName


class Queue(msgspec.Struct, frozen=True, array_like=True):
    """The contract under which jobs are handed in."""

    name: QueueName
    """The queue's name."""
    host: str
    """The host name that callers use."""
    path_prefix: str
    """What the paths of its jobs begin with."""
    service: ServiceName
    """The pool of targets that runs its tasks."""
    priority: int = 0
    """0 comes first."""
    max_attempts: int = 1
    """How many runs of a task may fail before its job has failed."""
    stretch: float = 1.0
    """The objective, in multiples of the job's longest chain of work."""
    allowance_s: float = 0.0
    """What the objective allows beyond that."""
    needs_advice: bool = False
    """Whether only another service knows which targets may run a step."""


class SiteState(msgspec.Struct, frozen=True, array_like=True, dict=True):
    """All that operators have set, at one revision of the store."""

    revision: int = 0
    """The store's counter when this was read."""
    configuration_version: int = 0
    """The operators' own version number; 0 before the first."""
    queues: tuple[Queue, ...] = ()
    """All queues."""
    closed_data_centres: tuple[str, ...] = ()
    """Data centres in which nothing may start."""
    longest_body_bytes: int = 262_144
    """The longest body that callers may send."""

    @property
    def is_known(self) -> bool:
        """Whether any configuration was read."""
        return self.configuration_version > 0

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Find the queue with the longest prefix of a path.

        :param host: the host name that the caller used.
        :param path: the path of the request.
        """
        by_prefix = self._queues_by_prefix.get(host, {})
        for length in self._prefix_lengths.get(host, ()):
            queue = by_prefix.get(path[:length])
            if queue is not None:
                return queue
        return None

    @cached_property
    def _queues_by_prefix(self) -> dict[str, dict[str, Queue]]:
        """Queues by host and prefix: a site may have well over a thousand."""
        found: dict[str, dict[str, Queue]] = {}
        for queue in self.queues:
            by_prefix = found.setdefault(queue.host, {})
            by_prefix.setdefault(queue.path_prefix, queue)
        return found

    @cached_property
    def _prefix_lengths(self) -> dict[str, tuple[int, ...]]:
        """The lengths of each host's prefixes, the longest first."""
        return {
            host: tuple(sorted(set(map(len, by_prefix)), reverse=True))
            for host, by_prefix in self._queues_by_prefix.items()
        }


def must_hand_on(
    site: SiteState, known_since: float, told_revision: int, now: float
) -> bool:
    """Tell whether a state is to be handed to another process.

    :param site: the state that is known here.
    :param known_since: when it was adopted here.
    :param told_revision: the newest revision that the other said it knows.
    :param now: the time here.
    """
    if told_revision >= site.revision:
        return False
    return now - known_since >= HAND_ON_S


def newer(known: SiteState, read: SiteState) -> SiteState:
    """Choose the newer of two states.

    The configuration's own version goes first: a store that forgets or
    answers late must not bring an older one back.
    """
    if read.configuration_version < known.configuration_version:
        return known
    return read if read.revision > known.revision else known
