"""Refreshes the echoes held by agents, with few messages.

An agent sends tokens with its messages. The entry sends a token back, as an
echo, once a confirmation of its own lease that began after the receipt has
succeeded. An agent starts this entry's tasks only while the echo is fresh.
Regular messages carry echoes anyway; to idle agents they are sent at a
limited rate. When tasks at an agent wait for a fresher echo, a lease
confirmation is started at once.
"""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

from fulmarscale.control.counters import Count
from fulmarscale.control.lease import NEVER

if TYPE_CHECKING:
    from collections.abc import Mapping

    from fulmarscale.control.counters import Counters
    from fulmarscale.control.lease import LeaseManager
    from fulmarscale.entry.action_buffer import ActionBuffer
    from fulmarscale.entry.connected_agents import ConnectedAgent

MIN_CONFIRMATION_INTERVAL_S = 0.02
"""The least time between confirmations started for waiting agents."""

REFRESH_AFTER_IDLE_S = 0.8
"""Time without messages in either direction until a token is refreshed."""

MAX_REFRESHES_PER_S = 14.0
"""Tokens that an entry refreshes per second, over all its agents."""


class SendToAgent(Protocol):
    """A function that sends an agent a message with the newest echo."""

    def __call__(
        self, view: ConnectedAgent, now: float, *, wants_token: bool = False
    ) -> None:
        """Send the message."""


class EchoRefresher:
    """Decides which agents are sent an echo or asked for a token.

    :param lease: this entry's lease.
    :param views: the connected agents by stream.
    :param actions: the buffer for actions.
    :param counters: the event counters.
    :param send: sends an agent a message with the newest echo.
    """

    def __init__(
        self,
        lease: LeaseManager,
        views: Mapping[int, ConnectedAgent],
        actions: ActionBuffer,
        counters: Counters,
        send: SendToAgent,
    ) -> None:
        self._lease = lease
        self._views = views
        self._actions = actions
        self._counters = counters
        self._send = send
        self._waiting_sessions: set[int] = set()
        """Streams of agents where tasks wait for a fresher echo."""
        self._confirmation_began_at = NEVER
        self._echoed_confirmation_at = NEVER
        """The start of the last confirmation that echoes were sent for."""
        self._refresh_credit = 0.0
        """The number of refreshes that the rate limit allows now."""
        self._credit_updated_at: float | None = None

    def request_echo(self, session: int, now: float) -> None:
        """Send an agent a fresher echo as soon as possible."""
        self._waiting_sessions.add(session)
        self._begin_confirmation(now)

    def forget(self, session: int) -> None:
        """Remove an agent whose stream has ended."""
        self._waiting_sessions.discard(session)

    def send_due_echoes(self, now: float) -> None:
        """Send waiting agents fresher echoes after a lease confirmation."""
        if self._lease.confirmed_at <= self._echoed_confirmation_at:
            return
        self._echoed_confirmation_at = self._lease.confirmed_at
        for session in sorted(self._waiting_sessions):
            view = self._views[session]
            echo = view.best_echo(self._lease.confirmed_at)
            if echo is None or echo == view.sent_echo:
                continue
            self._waiting_sessions.discard(session)
            self._counters.add(Count.CONTROL_MESSAGES)
            self._send(view, now)
        if self._waiting_sessions:
            self._begin_confirmation(now)

    def tick(self, now: float) -> None:
        """Refresh the tokens of the agents that were idle longest."""
        self._add_credit(now)
        if self._waiting_sessions:
            self._begin_confirmation(now)
        if self._refresh_credit < 1 or not self._lease.is_held(now):
            return
        idle = [
            view
            for view in self._views.values()
            if now - max(view.last_received_at, view.last_sent_at)
            > REFRESH_AFTER_IDLE_S
        ]
        idle.sort(key=lambda view: (view.last_sent_at, view.session))
        for view in idle[: int(self._refresh_credit)]:
            self._refresh_credit -= 1
            self._counters.add(Count.CONTROL_MESSAGES)
            self._send(view, now, wants_token=True)

    def _add_credit(self, now: float) -> None:
        if self._credit_updated_at is not None:
            earned = (now - self._credit_updated_at) * MAX_REFRESHES_PER_S
            self._refresh_credit = min(
                MAX_REFRESHES_PER_S / 2, self._refresh_credit + earned
            )
        self._credit_updated_at = now

    def _begin_confirmation(self, now: float) -> None:
        if now - self._confirmation_began_at < MIN_CONFIRMATION_INTERVAL_S:
            return
        self._confirmation_began_at = now
        self._actions.extend(self._lease.start_confirmation(now))
