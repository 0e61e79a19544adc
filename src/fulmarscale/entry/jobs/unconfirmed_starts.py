"""Runs that may begin or go on at a target, as its agents have told."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarscale.runs.limits import LATE_START_S
from fulmarscale.runs.messages import UnconfirmedStart

if TYPE_CHECKING:
    from fulmarscale.runs.messages import AgentMessage
    from fulmarscale.runs.model import TaskKey


class ReportedStarts:
    """Tasks of any entry whose runs at one target are not ruled out.

    What a process of the agent has told stays known after its end, until the
    next process has had a list of the target's runs: the target then rejects
    the starts of the former one.
    """

    def __init__(self) -> None:
        self._process: int | None = None
        """The agent's incarnation; none before its first message."""
        self._told: dict[TaskKey, float] = {}
        """Until when runs may begin, by the agent's last message."""
        self._former: dict[TaskKey, float] = {}
        """The same by the last messages of its former processes."""

    def is_of_new_process(self, message: AgentMessage) -> bool:
        """Return whether a message shows that the agent has started again."""
        return self._process not in (None, message.token.incarnation)

    def update(self, message: AgentMessage, now: float) -> bool:
        """Apply a message of the agent.

        :param message: the message.
        :param now: the entry's time.
        :returns: whether a run has been ruled out.
        """
        before = self._told.keys() | self._former.keys()
        if self.is_of_new_process(message):
            self._former |= self._told
        self._process = message.token.incarnation
        left_s = message.unconfirmed_left_s
        if len(left_s) != len(message.unconfirmed):
            left_s = (LATE_START_S,) * len(message.unconfirmed)
        self._told = {
            task: now + min(LATE_START_S, left)
            for task, left in zip(message.unconfirmed, left_s, strict=True)
        }
        if message.target is not None:
            self._former.clear()
        return bool(before - self._told.keys() - self._former.keys())

    def includes(self, task: TaskKey, now: float) -> bool:
        """Return whether a run of a task may begin or go on.

        :param task: the task.
        :param now: the entry's time.
        """
        if not self._told and not self._former:
            return False
        never = float("-inf")
        until = max(self._told.get(task, never), self._former.get(task, never))
        return now <= until

    def tasks(self, now: float) -> set[TaskKey]:
        """Return the tasks of which a run may begin or go on.

        :param now: the entry's time.
        """
        if not self._told and not self._former:
            return set()
        return {
            task
            for task in self._told.keys() | self._former.keys()
            if self.includes(task, now)
        }

    def left_s(self, now: float) -> dict[TaskKey, float]:
        """Return the tasks of which a run may begin, and for how long.

        :param now: the entry's time.
        :returns: the time that is left, in seconds, by task.
        """
        return {
            task: until - now
            for task, until in (self._former | self._told).items()
        }

    def hand_back(self, now: float) -> tuple[UnconfirmedStart, ...]:
        """Return what former processes have told, for the present one.

        :param now: the entry's time.
        """
        return tuple(
            UnconfirmedStart(task, until - now)
            for task, until in self._former.items()
            if until > now
        )
