"""Collects the actions that one input leads to."""

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
    """Actions not yet handed to the driver."""

    def __init__(self, counters: Counters) -> None:
        self._counters = counters
        self._actions: list[Action] = []

    def add(self, action: Action) -> None:
        """Add an action."""
        if isinstance(action, SendAgent):
            self._counters.add(Count.MESSAGES_TO_AGENTS)
        elif isinstance(action, SendPeer):
            self._counters.add(Count.MESSAGES_TO_PEERS)
        self._actions.append(action)

    def extend(self, actions: Iterable[Action]) -> None:
        """Add several actions."""
        for action in actions:
            self.add(action)

    def log(self, event: Event, **fields: Any) -> None:
        """Add an event for the log."""
        self._actions.append(Log(event, fields))

    def drain(self) -> list[Action]:
        """Give all actions and begin anew."""
        actions = self._actions
        self._actions = []
        return actions
