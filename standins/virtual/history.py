"""What happened in a run, and the rules that it is held against."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

import msgspec

from fulmarscale.control.configuration import DataCentreState
from fulmarscale.errors import Outcome

if TYPE_CHECKING:
    from fulmarscale.errors import ResultCode
    from fulmarscale.ids import TaskRef
    from fulmarscale.wire.messages import JobAnswer

CLOSURE_LIMIT_S = 3.0
"""After this no task may start in a data centre that was taken out."""

DRAIN_LIMIT_S = 3.0
"""After this no task may start at a target that is leaving."""


class StartSeen(msgspec.Struct):
    """A task that a target was made to start."""

    time: float
    """Virtual time."""
    task: TaskRef
    """The task."""
    agent: str
    """The agent."""
    data_centre: str
    """Where it started."""


class AnswerSeen(msgspec.Struct):
    """An answer that a caller got."""

    time: float
    """Virtual time."""
    submission_id: str
    """The submission that the caller asked about."""
    answer: JobAnswer | None
    """The answer; none if the request was refused."""
    error: ResultCode | None
    """The refusal."""


class ChangeSeen(msgspec.Struct):
    """An accepted change of a data centre's state."""

    time: float
    """Virtual time when it took effect in the table."""
    data_centre: str
    """The data centre."""
    state: DataCentreState
    """The new state."""


class DrainSeen(msgspec.Struct):
    """An agent that was told to stop."""

    time: float
    """Virtual time."""
    agent: str
    """The agent."""
    until: float
    """When the process was replaced."""


class History:
    """All that was seen in one run."""

    def __init__(self) -> None:
        self.starts: list[StartSeen] = []
        self.answers: list[AnswerSeen] = []
        self.changes: list[ChangeSeen] = []
        self.drains: list[DrainSeen] = []
        self.faults: list[str] = []
        self.task_counts: dict[str, int] = {}

    def check(self) -> list[str]:
        """List every breach of a rule."""
        return [
            *self.faults,
            *self._double_starts(),
            *self._starts_in_closed_data_centres(),
            *self._starts_while_leaving(),
            *self._untrue_answers(),
            *self._contradictions(),
        ]

    def count_outcomes(self) -> dict[str, int]:
        """Count answers by outcome."""
        counts: dict[str, int] = defaultdict(int)
        for seen in self.answers:
            if seen.answer is not None:
                counts[seen.answer.outcome.value] += 1
        return dict(counts)

    def _double_starts(self) -> list[str]:
        by_task: dict[TaskRef, list[StartSeen]] = defaultdict(list)
        for start in self.starts:
            by_task[start.task].append(start)
        return [
            f"started twice: {starts}"
            for starts in by_task.values()
            if len(starts) > 1
        ]

    def _starts_in_closed_data_centres(self) -> list[str]:
        breaches = []
        for out_at, in_at, name in self._closures():
            for start in self.starts:
                if start.data_centre != name:
                    continue
                if out_at + CLOSURE_LIMIT_S < start.time < in_at:
                    breaches.append(f"closed at {out_at}: {start}")
        return breaches

    def _closures(self) -> list[tuple[float, float, str]]:
        found = []
        for position, change in enumerate(self.changes):
            if change.state is not DataCentreState.OUT:
                continue
            later = [
                other.time
                for other in self.changes[position + 1 :]
                if other.data_centre == change.data_centre
                and other.state is DataCentreState.IN
            ]
            until = min(later, default=float("inf"))
            found.append((change.time, until, change.data_centre))
        return found

    def _starts_while_leaving(self) -> list[str]:
        return [
            f"leaving since {drain.time}: {start}"
            for drain in self.drains
            for start in self.starts
            if start.agent == drain.agent
            and drain.time + DRAIN_LIMIT_S < start.time < drain.until
        ]

    def _untrue_answers(self) -> list[str]:
        started = {start.task for start in self.starts}
        breaches = []
        for seen in self.answers:
            answer = seen.answer
            if answer is None:
                continue
            if answer.submission_id != seen.submission_id:
                breaches.append(f"another's answer: {seen}")
            breaches += self._untrue_tasks(answer, started)
        return breaches

    def _untrue_tasks(
        self, answer: JobAnswer, started: set[TaskRef]
    ) -> list[str]:
        breaches = []
        refs = {task.index: task for task in answer.tasks}
        count = self.task_counts[answer.submission_id]
        if answer.outcome is Outcome.DONE and len(refs) != count:
            breaches.append(f"partial: {answer}")
        for start in started:
            if start.submission_id != answer.submission_id:
                continue
            task = refs.get(start.index)
            if answer.outcome is Outcome.NOT_RUN or (
                task is not None and task.outcome is Outcome.NOT_RUN
            ):
                breaches.append(f"said not to run, but did: {answer}")
        for index, task in refs.items():
            expected = f'"{answer.submission_id}:{index}"'.encode()
            if task.result and task.result != expected:
                breaches.append(f"another task's result: {answer}")
        return breaches

    def _contradictions(self) -> list[str]:
        by_id: dict[str, set[Outcome]] = defaultdict(set)
        for seen in self.answers:
            if seen.answer is not None:
                by_id[seen.submission_id].add(seen.answer.outcome)
        return [
            f"contradiction on {submission_id}: {outcomes}"
            for submission_id, outcomes in by_id.items()
            if {Outcome.DONE, Outcome.NOT_RUN} <= outcomes
        ]
