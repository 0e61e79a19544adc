"""Ends of runs that the target must not forget until they are stored."""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fulmarscale.runs.messages import EndReceipt
    from fulmarscale.runs.messages import KeptEnd

UNCLAIMED_S: Final = 20.0
"""How long an end is held that no entry answers for.

More than twice the time in which another entry takes a lost one's jobs over.
"""


class HeldEnds:
    """The ends of one life of the target.

    The target forgets ends up to the newest that is taken note of, so one
    that is held keeps all later ones on the list.
    """

    def __init__(self) -> None:
        self._held: dict[int, KeptEnd] = {}
        self._held_since: dict[int, float] = {}
        self._newest = 0
        self._must_lapse = False

    @property
    def last_seen(self) -> int:
        """The newest end that the target may forget."""
        return min(self._held) - 1 if self._held else self._newest

    @property
    def ends(self) -> tuple[KeptEnd, ...]:
        """All ends that are held."""
        return tuple(self._held.values())

    @property
    def must_lapse(self) -> bool:
        """Whether the lease has to run out before anything is forgotten.

        An end that is forgotten after that never counts.
        """
        return self._must_lapse

    def is_news(self, position: int) -> bool:
        """Note a place on the list.

        :returns: whether it was not seen before.
        """
        is_news = position > self._newest
        self._newest = max(self._newest, position)
        return is_news

    def hold(self, end: KeptEnd, now: float) -> None:
        """Hold an end."""
        self._held[end.position] = end
        self._held_since[end.position] = now

    def settle(self, receipt: EndReceipt) -> None:
        """Take in an entry's word on an end."""
        end = self._held.get(receipt.position)
        if end is None or end.life != receipt.life:
            return
        if receipt.is_void:
            self._must_lapse = True
            return
        self._release(receipt.position)

    def void_unclaimed(self, now: float) -> None:
        """See to it that ends which nobody answers for never count."""
        if any(
            now - since > UNCLAIMED_S for since in self._held_since.values()
        ):
            self._must_lapse = True

    def release_all(self) -> None:
        """Hold nothing any more: no end that is held can count."""
        self._held.clear()
        self._held_since.clear()
        self._must_lapse = False

    def release_unknown(self) -> None:
        """Hold no end whose entry is unknown."""
        for position, end in list(self._held.items()):
            if end.entry is None:
                self._release(position)

    def reset(self) -> None:
        """Begin with another life of the target."""
        self.release_all()
        self._newest = 0

    def _release(self, position: int) -> None:
        del self._held[position]
        del self._held_since[position]
