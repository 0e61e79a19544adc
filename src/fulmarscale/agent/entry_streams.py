"""The state of an agent's streams to entries, with what is pending on each.

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


class EntryStreamState:
    """The state of a stream to an entry, with what is pending on it."""

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
        """Return the pending reports on tasks that were never started."""
        return tuple(
            NotStarted(submission_id, tuple(indexes), reason)
            for submission_id, by_reason in self._not_started.items()
            for reason, indexes in by_reason.items()
        )

    def clear(self) -> None:
        """Remove everything pending after it was sent."""
        self.must_send = False
        self.wants_echo = False
        self.results.clear()
        self.recovered.clear()
        self._not_started.clear()


class EntryStreams:
    """The states of all open streams, one for each address of an entry."""

    def __init__(self) -> None:
        self._streams: dict[int, EntryStreamState] = {}

    def open(self, session: int, address: str) -> None:
        """Add a stream in place of an older one to the same address."""
        for stream in list(self._streams.values()):
            if stream.address == address:
                del self._streams[stream.session]
        self._streams[session] = EntryStreamState(session, address)

    def close(self, session: int) -> None:
        """Remove a stream."""
        self._streams.pop(session, None)

    def find(self, session: int) -> EntryStreamState | None:
        """Return a stream; none if it was closed or replaced."""
        return self._streams.get(session)

    def find_by_entry(self, entry: EntryId) -> EntryStreamState | None:
        """Return the stream to an entry, or none."""
        for stream in self._streams.values():
            if stream.entry == entry:
                return stream
        return None

    def mark_all_for_sending(self) -> None:
        """Schedule a message on every stream."""
        for stream in self._streams.values():
            stream.must_send = True

    def list_pending(self) -> list[EntryStreamState]:
        """Return the streams on which something is pending."""
        return [
            stream for stream in self._streams.values() if stream.has_pending
        ]
