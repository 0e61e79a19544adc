"""Keeps the echoes at agents fresh, with as few messages as can be.

An agent starts a task only under a fresh echo. Pairs with traffic get theirs
for free; idle pairs are refreshed at a limited rate, and a pair whose tasks
wait gets a confirmation begun for it at once.
"""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

from fulmarscale.control.counters import Count
from fulmarscale.control.lease import NEVER

if TYPE_CHECKING:
    from collections.abc import Mapping

    from fulmarscale.control.counters import Counters
    from fulmarscale.control.lease import LeaseKeeper
    from fulmarscale.entry.agents import AgentView
    from fulmarscale.entry.outbox import Outbox

CONFIRM_SPACING_S = 0.02
"""The least time between confirmations begun for waiting pairs."""

WARM_AFTER_S = 0.8
"""Silence after which a pair's token is refreshed."""

WARM_RATE = 14.0
"""Tokens a second that an entry refreshes, over all its agents."""


class Send(Protocol):
    """Sends an agent a message that carries the newest echo."""

    def __call__(
        self, view: AgentView, now: float, *, wants_token: bool = False
    ) -> None:
        """Send it."""


class Freshness:
    """Decides which agents are sent an echo or asked for a token."""

    def __init__(
        self,
        lease: LeaseKeeper,
        views: Mapping[int, AgentView],
        outbox: Outbox,
        counters: Counters,
        send: Send,
    ) -> None:
        self._lease = lease
        self._views = views
        self._out = outbox
        self._counters = counters
        self._send = send
        self._wanted: set[int] = set()
        self._confirm_begun_at = NEVER
        self._echoed_at = NEVER
        self._credit = 0.0
        self._credited_at: float | None = None

    def want(self, session: int, now: float) -> None:
        """Note that tasks at an agent wait for a fresher echo."""
        self._wanted.add(session)
        self._confirm_soon(now)

    def forget(self, session: int) -> None:
        """Note that an agent's stream ended."""
        self._wanted.discard(session)

    def echo(self, now: float) -> None:
        """Send fresher echoes, after a confirmation, where they are due."""
        if self._lease.confirmed_at <= self._echoed_at:
            return
        self._echoed_at = self._lease.confirmed_at
        for session in sorted(self._wanted):
            view = self._views[session]
            echo = view.best_echo(self._lease.confirmed_at)
            if echo is None or echo == view.sent_echo:
                continue
            self._wanted.discard(session)
            self._counters.add(Count.CONTROL_MESSAGES)
            self._send(view, now)
        if self._wanted:
            self._confirm_soon(now)

    def tick(self, now: float) -> None:
        """Refresh the tokens of the pairs that were silent longest."""
        self._add_credit(now)
        if self._wanted:
            self._confirm_soon(now)
        if self._credit < 1 or not self._lease.is_held(now):
            return
        silent = [
            view
            for view in self._views.values()
            if now - max(view.heard_at, view.sent_at) > WARM_AFTER_S
        ]
        silent.sort(key=lambda view: (view.sent_at, view.session))
        for view in silent[: int(self._credit)]:
            self._credit -= 1
            self._counters.add(Count.CONTROL_MESSAGES)
            self._send(view, now, wants_token=True)

    def _add_credit(self, now: float) -> None:
        if self._credited_at is not None:
            earned = (now - self._credited_at) * WARM_RATE
            self._credit = min(WARM_RATE / 2, self._credit + earned)
        self._credited_at = now

    def _confirm_soon(self, now: float) -> None:
        if now - self._confirm_begun_at < CONFIRM_SPACING_S:
            return
        self._confirm_begun_at = now
        self._out.extend(self._lease.confirm_soon(now))
