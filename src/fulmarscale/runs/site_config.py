"""The site configuration: queues, closed data centres and the body limit.

A process replaces its configuration only by a newer revision whose version is
not lower.
"""

from __future__ import annotations

from functools import cached_property

import msgspec

from fulmarscale.runs.limits import PROPAGATION_DELAY_S
from fulmarscale.runs.model import QueueName
from fulmarscale.runs.model import ServiceName


class Queue(msgspec.Struct, frozen=True, array_like=True):
    """A queue: the contract under which jobs are submitted."""

    name: QueueName
    """The queue's name."""
    host: str
    """The host name that callers use."""
    path_prefix: str
    """The prefix of the paths to which its jobs are submitted."""
    service: ServiceName
    """The pool of targets that runs its tasks."""
    priority: int = 0
    """The priority of its jobs; 0 is the highest."""
    max_attempts: int = 1
    """Number of failed runs of a task at which its job fails."""
    stretch: float = 1.0
    """The objective, in multiples of the run time of the critical path."""
    allowance_s: float = 0.0
    """Time that the objective allows in addition."""
    needs_advice: bool = False
    """Whether an external service selects the targets of a step."""


class SiteConfig(msgspec.Struct, frozen=True, array_like=True, dict=True):
    """The operators' configuration of a site, at one revision of the store."""

    revision: int = 0
    """The store's revision from which this was read."""
    configuration_version: int = 0
    """The operators' version number; 0 before the first configuration."""
    queues: tuple[Queue, ...] = ()
    """All queues."""
    closed_data_centres: tuple[str, ...] = ()
    """Data centres in which no runs may start."""
    max_body_bytes: int = 262_144
    """The longest request body that callers may send."""

    @property
    def is_known(self) -> bool:
        """Whether any configuration has been read."""
        return self.configuration_version > 0

    @cached_property
    def has_priorities(self) -> bool:
        """Whether queues of different priorities use the same service."""
        priorities: dict[ServiceName, int] = {}
        return any(
            priorities.setdefault(queue.service, queue.priority)
            != queue.priority
            for queue in self.queues
        )

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest matching path prefix.

        :param host: the host name that the caller used.
        :param path: the path of the request.
        :returns: the queue; none if no prefix matches.
        """
        by_prefix = self._queues_by_prefix.get(host, {})
        for length in self._prefix_lengths.get(host, ()):
            queue = by_prefix.get(path[:length])
            if queue is not None:
                return queue
        return None

    @cached_property
    def _queues_by_prefix(self) -> dict[str, dict[str, Queue]]:
        """Queues by host and prefix, as a site may have over a thousand."""
        by_host: dict[str, dict[str, Queue]] = {}
        for queue in self.queues:
            by_prefix = by_host.setdefault(queue.host, {})
            by_prefix.setdefault(queue.path_prefix, queue)
        return by_host

    @cached_property
    def _prefix_lengths(self) -> dict[str, tuple[int, ...]]:
        """Lengths of the prefixes of each host, the longest first."""
        return {
            host: tuple(sorted(set(map(len, by_prefix)), reverse=True))
            for host, by_prefix in self._queues_by_prefix.items()
        }


def must_propagate(
    site: SiteConfig, adopted_at: float, reported_revision: int, now: float
) -> bool:
    """Return whether a configuration is to be sent to another process.

    :param site: this process's configuration.
    :param adopted_at: when this process adopted it.
    :param reported_revision: the newest revision that the other has reported.
    :param now: this process's time.
    """
    if reported_revision >= site.revision:
        return False
    return now - adopted_at >= PROPAGATION_DELAY_S


def newer_config(current: SiteConfig, received: SiteConfig) -> SiteConfig:
    """Return the configuration to use after one was received.

    The received one is adopted only if its revision is newer and its version
    is not lower: a store that has lost writes or answers late must not bring
    back an older configuration.

    :param current: the configuration in use.
    :param received: the configuration that was received.
    """
    if received.configuration_version < current.configuration_version:
        return current
    return received if received.revision > current.revision else current
