"""An agent's streams to entries, and what is pending on each of them.

Part of the agent for the project's own protocol (see `core`).
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from fulmarscale.wire.messages import NotStarted

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fulmarscale.ids import EntryId
    from fulmarscale.ids import SubmissionId
    from fulmarscale.wire.messages import NotStartedReason
    from fulmarscale.wire.messages import RecoveredJob
    from fulmarscale.wire.messages import TaskResult


class EntryLink:
    """A stream to an entry, and the contents of the next message on it."""

    def __init__(self, session: int, address: str) -> None:
        self.session = session
        self.address = address
        self.entry: EntryId | None = None
        """The entry's name and incarnation; none until its first message."""
        self.must_send = True
        """Whether to send a message even if nothing else is pending."""
        self.wants_echo = False
        """Whether to ask the entry for a newer echo."""
        self.echo_requested_at = float("-inf")
        self.results: list[TaskResult] = []
        self.recovered: list[RecoveredJob] = []
        self._not_started: dict[
            SubmissionId, dict[NotStartedReason, list[int]]
        ] = defaultdict(lambda: defaultdict(list))

    @property
    def has_pending(self) -> bool:
        """Whether anything is pending on the stream."""
        return bool(
            self.must_send
            or self.wants_echo
            or self.results
            or self.recovered
            or self._not_started
        )

    def add_not_started(
        self,
        submission_id: SubmissionId,
        indexes: Iterable[int],
        reason: NotStartedReason,
    ) -> None:
        """Add tasks that were never started to the next message."""
        self._not_started[submission_id][reason].extend(indexes)

    def list_not_started(self) -> tuple[NotStarted, ...]:
        """Return all pending tasks that were never started."""
        return tuple(
            NotStarted(submission_id, tuple(indexes), reason)
            for submission_id, by_reason in self._not_started.items()
            for reason, indexes in by_reason.items()
        )

    def clear(self) -> None:
        """Remove all pending contents after they were sent."""
        self.must_send = False
        self.wants_echo = False
        self.results.clear()
        self.recovered.clear()
        self._not_started.clear()


class EntryLinks:
    """All open streams, one for each address of an entry."""

    def __init__(self) -> None:
        self._links: dict[int, EntryLink] = {}

    def open(self, session: int, address: str) -> None:
        """Add a stream in place of an older one to the same address."""
        for link in list(self._links.values()):
            if link.address == address:
                del self._links[link.session]
        self._links[session] = EntryLink(session, address)

    def close(self, session: int) -> None:
        """Remove a stream."""
        self._links.pop(session, None)

    def find(self, session: int) -> EntryLink | None:
        """Return a stream; none if it was closed or replaced."""
        return self._links.get(session)

    def find_by_entry(self, entry: EntryId) -> EntryLink | None:
        """Return the stream to an entry, or none."""
        for link in self._links.values():
            if link.entry == entry:
                return link
        return None

    def mark_all_for_sending(self) -> None:
        """Have a message sent on every stream."""
        for link in self._links.values():
            link.must_send = True

    def list_pending(self) -> list[EntryLink]:
        """Return the streams on which something is pending."""
        return [link for link in self._links.values() if link.has_pending]
