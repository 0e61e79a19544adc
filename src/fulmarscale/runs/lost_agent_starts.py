"""Start requests that the targets of lost agents may still carry out.

A target may carry out a start long after its agent sent it. Until the agent is
back and rules that out, the task must not run elsewhere. Only the entry that
requested the start knows of it, so it tells the other entries, through the
agents that it still reaches: a caller may send the job to any of them.
"""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

import msgspec

from fulmarscale.runs.limits import LATE_START_S
from fulmarscale.runs.limits import RUN_EXPIRY_S
from fulmarscale.runs.model import TaskKey
from fulmarscale.wire.messages import MessagePart

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_STARTS: Final = 10_000
"""The most starts that are remembered; further ones are left out."""

MIN_EXTENSION_S: Final = 0.5
"""Least difference from which a later end of a known start counts as news.

It is more than the same news differ by that come through several agents.
"""


class LostAgentStart(MessagePart):
    """A start that the target of a lost agent may still carry out."""

    agent: str
    """The agent's name."""
    task: TaskKey
    """The task."""
    left_s: float
    """Time until the target can't carry it out any more."""


class KnownStart(msgspec.Struct):
    """A start at a lost agent, as a process knows it."""

    until: float
    """Until when the target may carry it out."""
    ruled_out_at: float = float("inf")
    """From when the agent, which is back, has ruled it out or reports it."""


class LostAgentStarts:
    """What a process knows of the starts at lost agents."""

    def __init__(self) -> None:
        self._starts: dict[tuple[str, TaskKey], KnownStart] = {}
        """The starts by agent and task."""

    def record(
        self, starts: Iterable[LostAgentStart], now: float
    ) -> tuple[LostAgentStart, ...]:
        """Record starts and return those that were not known.

        :param starts: the starts.
        :param now: this process's time.
        """
        news = []
        for start in starts:
            key = (start.agent, start.task)
            until = now + min(LATE_START_S, start.left_s)
            known = self._starts.get(key)
            if known is None and len(self._starts) >= MAX_STARTS:
                continue
            if known is None or until > known.until + MIN_EXTENSION_S:
                self._starts[key] = KnownStart(until)
                news.append(start)
        return tuple(news)

    def without_known(
        self, starts: Iterable[LostAgentStart]
    ) -> tuple[LostAgentStart, ...]:
        """Return starts without those that are recorded here."""
        return tuple(
            start
            for start in starts
            if (start.agent, start.task) not in self._starts
        )

    def record_return(self, agent: str, now: float) -> None:
        """Record that an agent is back and knows its target's runs.

        It reports by itself what it can't rule out. A process that had only
        been paused needs up to RUN_EXPIRY_S for that.

        :param agent: the agent's name.
        :param now: this process's time.
        """
        for (name, _), start in self._starts.items():
            if name == agent:
                ruled_out_at = now + RUN_EXPIRY_S
                start.ruled_out_at = min(start.ruled_out_at, ruled_out_at)

    def expire(self, now: float) -> None:
        """Forget the starts that can't be carried out any more.

        Those that are ruled out are kept as long, as other processes may
        still tell of them.
        """
        self._starts = {
            key: start
            for key, start in self._starts.items()
            if now <= start.until
        }

    def tasks(self, now: float) -> set[TaskKey]:
        """Return the tasks of which a start may be carried out.

        :param now: this process's time.
        """
        return {
            task
            for (_, task), start in self._starts.items()
            if now <= min(start.until, start.ruled_out_at)
        }

    def refresh(
        self, starts: Iterable[LostAgentStart], now: float
    ) -> tuple[LostAgentStart, ...]:
        """Return starts with the time that is left now.

        :param starts: starts that were recorded.
        :param now: this process's time.
        """
        keys = {(start.agent, start.task) for start in starts}
        if not keys:
            return ()
        return tuple(
            start
            for start in self.left(now)
            if (start.agent, start.task) in keys
        )

    def left(self, now: float) -> tuple[LostAgentStart, ...]:
        """Return all starts, for a message to another process.

        :param now: this process's time.
        """
        return tuple(
            LostAgentStart(agent, task, start.until - now)
            for (agent, task), start in self._starts.items()
            if start.until > now
        )
