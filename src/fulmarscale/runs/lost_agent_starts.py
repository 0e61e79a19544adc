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
from fulmarscale.runs.limits import MAX_ECHO_AGE_S
from fulmarscale.runs.limits import RUN_EXPIRY_S
from fulmarscale.runs.model import TaskKey
from fulmarscale.wire.messages import AgentToken
from fulmarscale.wire.messages import MessagePart

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable

MAX_STARTS: Final = 10_000
"""The most starts that are remembered; further ones are left out."""

MAX_LEFT_S: Final = LATE_START_S + MAX_ECHO_AGE_S
"""Longest time from a request until a target can't carry it out any more.

An agent accepts a request up to MAX_ECHO_AGE_S after it was made.
"""

MIN_EXTENSION_S: Final = 0.1
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
    """Time until the target can't carry it out; 0 if that is ruled out."""
    heard: AgentToken | None = None
    """The agent's newest token when it was lost; none if there was none."""


class KnownStart(msgspec.Struct):
    """A start at a lost agent, as a process knows it."""

    until: float
    """Until when the target may carry it out."""
    heard: AgentToken | None
    """The agent's newest token when it was lost."""
    ruled_out_at: float = float("inf")
    """From when the agent, which is back, has ruled it out or reports it."""
    is_withdrawn: bool = False
    """Whether the others have been told that it is ruled out."""

    def is_older_than(self, start: LostAgentStart, until: float) -> bool:
        """Return whether a start is news, or of a later loss of the agent.

        :param start: the same start as another process knows it.
        :param until: until when it may be carried out by that.
        """
        if until > self.until + MIN_EXTENSION_S:
            return True
        return is_after(start.heard, self.heard, 0.0)


def is_after(
    token: AgentToken | None, other: AgentToken | None, margin_s: float
) -> bool:
    """Return whether an agent made a token after another one.

    :param token: the token; none is before all others.
    :param other: the other one.
    :param margin_s: how much later it has to be in the same process.
    """
    if token is None:
        return False
    if other is None or token.incarnation != other.incarnation:
        return True
    return token.time_s > other.time_s + margin_s


class LostAgentStarts:
    """What a process knows of the starts at lost agents."""

    def __init__(self) -> None:
        self._starts: dict[tuple[str, TaskKey], KnownStart] = {}
        """The starts by agent and task."""
        self._agents: set[str] = set()
        """The agents of these starts; most messages are from others."""

    def __bool__(self) -> bool:
        return bool(self._starts)

    def news(
        self, starts: Iterable[LostAgentStart], now: float
    ) -> tuple[LostAgentStart, ...]:
        """Return the starts of which this process knows less.

        :param starts: the starts.
        :param now: this process's time.
        """
        return tuple(start for start in starts if self._is_news(start, now))

    def _is_news(self, start: LostAgentStart, now: float) -> bool:
        known = self._starts.get((start.agent, start.task))
        if start.left_s <= 0.0:
            return known is not None and not (
                known.ruled_out_at <= now
                or is_after(known.heard, start.heard, 0.0)
            )
        if known is None:
            return True
        until = now + min(MAX_LEFT_S, start.left_s)
        return known.is_older_than(start, until)

    def record(
        self, starts: Iterable[LostAgentStart], now: float
    ) -> tuple[LostAgentStart, ...]:
        """Record starts and return those that are news.

        :param starts: the starts.
        :param now: this process's time.
        """
        news = self.news(starts, now)
        for start in news:
            key = (start.agent, start.task)
            if start.left_s <= 0.0:
                known = self._starts[key]
                known.ruled_out_at = now
                known.is_withdrawn = True
            elif key in self._starts or len(self._starts) < MAX_STARTS:
                until = now + min(MAX_LEFT_S, start.left_s)
                self._starts[key] = KnownStart(until, start.heard)
                self._agents.add(start.agent)
        return news

    def is_closed_or_later(self, start: LostAgentStart, now: float) -> bool:
        """Return whether a start isn't known as one that may be carried out.

        :param start: the start.
        :param now: this process's time.
        """
        known = self._starts.get((start.agent, start.task))
        if known is None or known.ruled_out_at < float("inf"):
            return True
        return now + start.left_s > known.until + MIN_EXTENSION_S

    def record_return(self, agent: str, token: AgentToken, now: float) -> None:
        """Record that an agent is back and knows its target's runs.

        It reports by itself what it can't rule out. A process that had only
        been paused needs up to RUN_EXPIRY_S for that.

        :param agent: the agent's name.
        :param token: that of its message.
        :param now: this process's time.
        """
        if agent not in self._agents:
            return
        for (name, _), start in self._starts.items():
            if name == agent and is_after(token, start.heard, MAX_ECHO_AGE_S):
                ruled_out_at = now + RUN_EXPIRY_S
                start.ruled_out_at = min(start.ruled_out_at, ruled_out_at)

    def withdraw(
        self, reported: Collection[TaskKey], now: float
    ) -> tuple[LostAgentStart, ...]:
        """Return the starts that are ruled out now, for the other processes.

        :param reported: tasks that agents report as not ruled out.
        :param now: this process's time.
        """
        withdrawn = []
        for (agent, task), start in self._starts.items():
            if start.is_withdrawn or now < start.ruled_out_at:
                continue
            if task not in reported:
                start.is_withdrawn = True
                withdrawn.append(LostAgentStart(agent, task, 0.0, start.heard))
        return tuple(withdrawn)

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
        self._agents = {agent for agent, _ in self._starts}

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
            LostAgentStart(
                agent,
                task,
                0.0 if now >= start.ruled_out_at else start.until - now,
                start.heard,
            )
            for (agent, task), start in self._starts.items()
            if start.until > now
        )
