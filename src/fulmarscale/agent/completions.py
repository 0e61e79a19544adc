"""Completions that no entry has acknowledged as stored yet.

Part of the run guard for the users' platform. A target lists each run that has
completed until its agent confirms that it may forget it. The agent withholds
this confirmation until an entry has stored the outcome.
"""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

from fulmarscale.agent.run import MAX_LISTED_COMPLETIONS

if TYPE_CHECKING:
    from collections.abc import Collection

    from fulmarscale.agent.run import ListedCompletion
    from fulmarscale.runs.messages import CompletionAck
    from fulmarscale.runs.messages import DurableCompletion

ACK_TIMEOUT_S: Final = 20.0
"""How long a completion waits for an entry's acknowledgement.

More than twice the time in which another entry takes over the jobs of a lost
one.
"""

MAX_RETAINED_COMPLETIONS: Final = MAX_LISTED_COMPLETIONS - 100
"""Length of the target's list from which its lease has to expire.

Runs that complete until then have to fit the list as well.
"""


class UnacknowledgedCompletions:
    """The unacknowledged completions of one incarnation of the target.

    The target forgets its list up to one position, so a completion that is not
    acknowledged keeps all later ones on the list.
    """

    def __init__(self) -> None:
        self._pending: dict[int, DurableCompletion] = {}
        """Completions by their position in the target's list."""
        self._pending_since: dict[int, float] = {}
        """When each of them was recorded, by its position."""
        self._forgotten_position = 0
        """Up to where the target has forgotten its list."""
        self._newest_position = 0
        """The highest position that the target has listed."""
        self._requires_lease_expiry = False

    @property
    def forgettable_position(self) -> int:
        """The newest position in its list that the target may forget.

        It is 0 if there is nothing left to forget: another incarnation of the
        target may receive the request, and must not forget its own list.
        """
        position = (
            min(self._pending) - 1 if self._pending else self._newest_position
        )
        return position if position > self._forgotten_position else 0

    @property
    def completions(self) -> tuple[DurableCompletion, ...]:
        """All unacknowledged completions."""
        return tuple(self._pending.values())

    @property
    def requires_lease_expiry(self) -> bool:
        """Whether the lease has to expire before the target forgets anything.

        A completion that the target forgets after its lease has expired never
        counts.
        """
        return self._requires_lease_expiry

    def record_position(self, position: int) -> bool:
        """Record a position in the target's list.

        :returns: whether it is a new one.
        """
        is_new = position > self._newest_position
        self._newest_position = max(self._newest_position, position)
        return is_new

    def record_list(self, listed: Collection[ListedCompletion]) -> None:
        """Record what the target still lists.

        A completion that stays unacknowledged keeps all later ones on the
        list. Before the list is full, the lease has to expire, so that the
        target may forget it.

        :param listed: its list of completions.
        """
        if self._pending and len(listed) >= MAX_RETAINED_COMPLETIONS:
            self._requires_lease_expiry = True
        first = min((item.position for item in listed), default=None)
        if first is not None and first <= self._forgotten_position:
            # A list from before these completions was taken for a newer one.
            self._forgotten_position = first - 1
        position = self.forgettable_position
        if first is None or first > position:
            self._forgotten_position = max(self._forgotten_position, position)

    def add_completion(
        self, completion: DurableCompletion, now: float
    ) -> None:
        """Add a completion that an entry has to acknowledge."""
        self._pending[completion.position] = completion
        self._pending_since[completion.position] = now

    def acknowledge(self, ack: CompletionAck) -> None:
        """Handle an entry's acknowledgement of a completion.

        A completion that the entry discards stays until the lease has expired.
        """
        completion = self._pending.get(ack.position)
        if completion is None or completion.incarnation != ack.incarnation:
            return
        if ack.is_discarded:
            self._requires_lease_expiry = True
            return
        self._release(ack.position)

    def expire_unacknowledged(self, now: float) -> None:
        """Require the lease to expire if a completion waited for too long.

        A completion that no entry acknowledges must never count.
        """
        if any(
            now - since > ACK_TIMEOUT_S
            for since in self._pending_since.values()
        ):
            self._requires_lease_expiry = True

    def release_all(self) -> None:
        """Remove all completions, as none of them can count any more."""
        self._pending.clear()
        self._pending_since.clear()
        self._requires_lease_expiry = False

    def reset(self) -> None:
        """Remove everything, for another incarnation of the target."""
        self.release_all()
        self._newest_position = 0
        self._forgotten_position = 0

    def _release(self, position: int) -> None:
        del self._pending[position]
        del self._pending_since[position]
