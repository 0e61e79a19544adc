"""Admission of the bytes that clients send, for all listeners of a process.

It carries out what `request_budget` decides, ends requests that arrive too
slowly, and counts and logs the clients that are refused.
"""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
import asyncio
from collections import Counter
from itertools import count
from typing import Final
from typing import TYPE_CHECKING

from fulmarscale.events import Event
from fulmarscale.listeners.request_budget import budget_bytes
from fulmarscale.listeners.request_budget import HolderId
from fulmarscale.listeners.request_budget import RequestBudget
from fulmarscale.listeners.work_turns import WorkTurns
from fulmarscale.wire.frame_meter import StreamLimits

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarscale.listeners.http_limits import Bound
    from fulmarscale.listeners.http_limits import RequestLimits
    from fulmarscale.logs import EventLog

CHECK_INTERVAL_S: Final = 1.0
"""Interval of the checks of requests that are not complete."""

LOG_INTERVAL_S: Final = 1.0
"""Interval in which at most MAX_LOG_LINES refused clients are logged."""

MAX_LOG_LINES: Final = 5

PEER_CHARACTERS: Final = 64
"""The most characters of a peer's address in a line of the log."""


class Holder(ABC):
    """A connection or stream that holds bytes of undecided requests."""

    holder_id: HolderId

    @abstractmethod
    def give_way(self) -> None:
        """Refuse the incomplete request, as others need its bytes.

        The budget counts only the complete requests any longer.
        """

    @abstractmethod
    def check(self, now: float, late_s: float) -> bool:
        """Refuse a request that arrives too slowly.

        :param now: the event loop's time.
        :param late_s: how long the process was held up since the last check;
            the client had no part in this time.
        :returns: whether it has to be checked again.
        """


class RequestAdmission:
    """Decides on the bytes of all listeners of one process.

    :param limits: the bounds of each request.
    :param memory_mb: the memory of the VM in MB; none if it is not known.
    :param log: the log; none to log nothing.
    :param stream_limits: the bounds of each connection with streams.
    """

    def __init__(
        self,
        limits: RequestLimits,
        memory_mb: int | None = None,
        log: EventLog | None = None,
        stream_limits: StreamLimits | None = None,
    ) -> None:
        self._limits = limits
        self._stream_limits = stream_limits or StreamLimits()
        self._budget = RequestBudget(budget_bytes(memory_mb))
        self._turns = WorkTurns(_call_soon)
        self._log = log
        self._holders: dict[HolderId, Holder] = {}
        self._watched: dict[HolderId, Holder] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._check_due_at = 0.0
        self._ids = count(1)
        self._refusals: Counter[Bound] = Counter()
        self._log_began_at = float("-inf")
        self._log_lines = 0
        self._omitted_lines = 0

    @property
    def limits(self) -> RequestLimits:
        """The bounds of each request."""
        return self._limits

    @property
    def stream_limits(self) -> StreamLimits:
        """The bounds of each connection with streams."""
        return self._stream_limits

    @property
    def refusals(self) -> Counter[Bound]:
        """The number of refused clients, by the bound exceeded."""
        return self._refusals

    @property
    def budget(self) -> RequestBudget:
        """The budget of the process."""
        return self._budget

    @property
    def turns(self) -> WorkTurns:
        """The turns of all connections of the process."""
        return self._turns

    def next_id(self) -> HolderId:
        """Return the id of a new holder."""
        return HolderId(next(self._ids))

    def claim(
        self,
        holder: Holder,
        size: int,
        *,
        complete_size: int,
        alone_bytes: int | None = None,
    ) -> bool:
        """Set the bytes that a holder holds.

        Others may be refused for it.

        :param holder: the holder.
        :param size: all of its bytes, the earlier ones included.
        :param complete_size: those of them that belong to whole requests.
        :param alone_bytes: the most that it may hold beyond the budget while
            nobody else holds anything; none for any size.
        :returns: whether there is room; otherwise nothing has changed.
        """
        now = asyncio.get_running_loop().time()
        holder_id = holder.holder_id
        claim = self._budget.claim(
            holder_id,
            size,
            now,
            complete_size=complete_size,
            alone_bytes=alone_bytes,
        )
        if claim.is_granted:
            self._holders[holder_id] = holder
        for each in claim.displaced:
            self._holders[each].give_way()
        return claim.is_granted

    def release(self, holder: Holder) -> None:
        """Count nothing for a holder any longer."""
        self._budget.release(holder.holder_id)
        self._holders.pop(holder.holder_id, None)

    def watch(self, holder: Holder) -> None:
        """Check a holder until its `check` tells that it needs none."""
        self._watched[holder.holder_id] = holder
        if self._timer is None:
            self._set_timer()

    def close(self) -> None:
        """Stop the checks."""
        self._watched.clear()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def record_refusal(
        self, bound: Bound, size: int, age_s: float, peer: object
    ) -> None:
        """Count a refused client, and log it unless many are logged.

        :param bound: the bound that it exceeded.
        :param size: bytes of the request that have arrived.
        :param age_s: the time since its first byte, in seconds.
        :param peer: the client's address.
        """
        self._refusals[bound] += 1
        if self._log is None:
            return
        now = asyncio.get_running_loop().time()
        if now - self._log_began_at >= LOG_INTERVAL_S:
            self._log_began_at = now
            self._log_lines = 0
        if self._log_lines >= MAX_LOG_LINES:
            self._omitted_lines += 1
            return
        self._log_lines += 1
        omitted, self._omitted_lines = self._omitted_lines, 0
        self._log.write(
            Event.CLIENT_REFUSED,
            bound=bound.value,
            bytes=size,
            age_s=round(age_s, 3),
            peer=str(peer)[:PEER_CHARACTERS],
            omitted=omitted,
        )

    def _set_timer(self) -> None:
        loop = asyncio.get_running_loop()
        self._check_due_at = loop.time() + CHECK_INTERVAL_S
        self._timer = loop.call_at(self._check_due_at, self._check)

    def _check(self) -> None:
        now = asyncio.get_running_loop().time()
        late_s = now - self._check_due_at
        self._timer = None
        for holder_id, holder in list(self._watched.items()):
            if not holder.check(now, late_s):
                self._watched.pop(holder_id, None)
        if self._watched and self._timer is None:
            self._set_timer()


def _call_soon(callback: Callable[[], None]) -> asyncio.Handle:
    return asyncio.get_running_loop().call_soon(callback)
