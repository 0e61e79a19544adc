"""The buffer for actions that the state machine of an entry returns.

It belongs to the project's own HTTP interface (`/v1/jobs`). The outbox in
`entry.jobs` has another purpose: it builds the messages to agents.
"""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from fulmarscale.control.actions import Log
from fulmarscale.control.actions import SendAgent
from fulmarscale.control.actions import SendPeer
from fulmarscale.control.counters import Count

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fulmarscale.control.actions import Action
    from fulmarscale.control.counters import Counters
    from fulmarscale.events import Event


class ActionBuffer:
    """Collects actions and log events while one event is processed."""

    def __init__(self, counters: Counters) -> None:
        self._counters = counters
        self._actions: list[Action] = []

    def add(self, action: Action) -> None:
        """Append an action; messages are counted."""
        if isinstance(action, SendAgent):
            self._counters.add(Count.MESSAGES_TO_AGENTS)
        elif isinstance(action, SendPeer):
            self._counters.add(Count.MESSAGES_TO_PEERS)
        self._actions.append(action)

    def extend(self, actions: Iterable[Action]) -> None:
        """Append several actions."""
        for action in actions:
            self.add(action)

    def log(self, event: Event, **fields: Any) -> None:
        """Append a log event."""
        self._actions.append(Log(event, fields))

    def drain(self) -> list[Action]:
        """Return all actions and empty the buffer."""
        actions = self._actions
        self._actions = []
        return actions
