"""Ends of runs that the target must not forget until they are stored."""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fulmarscale.runs.messages import EndReceipt
    from fulmarscale.runs.messages import KeptEnd

UNCLAIMED_TIMEOUT_S: Final = 20.0
"""How long an end is held that no entry answers for.

More than twice the time in which another entry takes a lost one's jobs over.
"""


class UnacknowledgedCompletions:
    """The ends of one life of the target.

    The target forgets ends up to the newest that is taken note of, so one
    that is held keeps all later ones on the list.
    """

    def __init__(self) -> None:
        self._pending: dict[int, KeptEnd] = {}
        self._pending_since: dict[int, float] = {}
        self._newest_position = 0
        self._requires_lease_expiry = False

    @property
    def forgettable_position(self) -> int:
        """The newest end that the target may forget."""
        return (
            min(self._pending) - 1 if self._pending else self._newest_position
        )

    @property
    def completions(self) -> tuple[KeptEnd, ...]:
        """All ends that are held."""
        return tuple(self._pending.values())

    @property
    def requires_lease_expiry(self) -> bool:
        """Whether the lease has to run out before anything is forgotten.

        An end that is forgotten after that never counts.
        """
        return self._requires_lease_expiry

    def record_position(self, position: int) -> bool:
        """Note a place on the list.

        :returns: whether it was not seen before.
        """
        is_new = position > self._newest_position
        self._newest_position = max(self._newest_position, position)
        return is_new

    def add_completion(self, completion: KeptEnd, now: float) -> None:
        """Hold an end."""
        self._pending[completion.position] = completion
        self._pending_since[completion.position] = now

    def acknowledge(self, ack: EndReceipt) -> None:
        """Take in an entry's word on an end."""
        completion = self._pending.get(ack.position)
        if completion is None or completion.life != ack.life:
            return
        if ack.is_void:
            self._requires_lease_expiry = True
            return
        self._release(ack.position)

    def expire_unclaimed(self, now: float) -> None:
        """See to it that ends which nobody answers for never count."""
        if any(
            now - since > UNCLAIMED_TIMEOUT_S
            for since in self._pending_since.values()
        ):
            self._requires_lease_expiry = True

    def release_all(self) -> None:
        """Hold nothing any more: no end that is held can count."""
        self._pending.clear()
        self._pending_since.clear()
        self._requires_lease_expiry = False

    def release_without_entry(self) -> None:
        """Hold no end whose entry is unknown."""
        for position, completion in list(self._pending.items()):
            if completion.entry is None:
                self._release(position)

    def reset(self) -> None:
        """Begin with another life of the target."""
        self.release_all()
        self._newest_position = 0

    def _release(self, position: int) -> None:
        del self._pending[position]
        del self._pending_since[position]
