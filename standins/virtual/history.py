"""History of a virtual run, and the checker of its safety rules.

The nodes of a run record starts, answers, changes and drains as they happen.
After the run, `History.check` lists every violation of these rules:

- no task starts twice;
- no task starts in a data centre that was taken out, nor at a target that
  is draining, once a grace period has passed;
- an answer belongs to the submission that was requested, has all results
  when the job is done, and never reports a started task as not run;
- the answers to one submission don't contradict each other.
"""

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

CLOSURE_GRACE_S = 3.0
"""How long starts may go on in a data centre that was taken out."""

DRAIN_GRACE_S = 3.0
"""How long starts may go on at a target whose agent drains."""


class ObservedStart(msgspec.Struct):
    """A task that a target started."""

    time: float
    """Virtual time."""
    task: TaskRef
    """The task."""
    agent: str
    """The agent of the target."""
    data_centre: str
    """The data centre of the target."""


class ObservedAnswer(msgspec.Struct):
    """An answer that a caller received."""

    time: float
    """Virtual time."""
    submission_id: str
    """The submission named in the caller's request."""
    answer: JobAnswer | None
    """The answer; none if the request was rejected."""
    error: ResultCode | None
    """Why the request was rejected; none with an answer."""


class ObservedChange(msgspec.Struct):
    """An accepted change of a data centre's state."""

    time: float
    """Virtual time at which the table applied it."""
    data_centre: str
    """The data centre."""
    state: DataCentreState
    """The new state."""


class ObservedDrain(msgspec.Struct):
    """A period in which an agent drains, up to its replacement."""

    time: float
    """Virtual time of the request to drain."""
    agent: str
    """The agent."""
    ends_at: float
    """Virtual time at which the process is replaced."""


class History:
    """Everything observed in one run."""

    def __init__(self) -> None:
        self.starts: list[ObservedStart] = []
        self.answers: list[ObservedAnswer] = []
        self.changes: list[ObservedChange] = []
        self.drains: list[ObservedDrain] = []
        self.runtime_violations: list[str] = []
        """Violations that were detected while the run went on."""
        self.task_counts: dict[str, int] = {}
        """Number of tasks of each submission."""

    def check(self) -> list[str]:
        """Return a description of every violation of a rule."""
        return [
            *self.runtime_violations,
            *self._find_double_starts(),
            *self._find_starts_in_closed_data_centres(),
            *self._find_starts_while_draining(),
            *self._find_false_answers(),
            *self._find_contradictions(),
        ]

    def count_outcomes(self) -> dict[str, int]:
        """Return the number of answers by outcome."""
        counts: dict[str, int] = defaultdict(int)
        for observed in self.answers:
            if observed.answer is not None:
                counts[observed.answer.outcome.value] += 1
        return dict(counts)

    def _find_double_starts(self) -> list[str]:
        by_task: dict[TaskRef, list[ObservedStart]] = defaultdict(list)
        for start in self.starts:
            by_task[start.task].append(start)
        return [
            f"started twice: {starts}"
            for starts in by_task.values()
            if len(starts) > 1
        ]

    def _find_starts_in_closed_data_centres(self) -> list[str]:
        violations = []
        for out_at, in_at, name in self._list_closures():
            for start in self.starts:
                if start.data_centre != name:
                    continue
                if out_at + CLOSURE_GRACE_S < start.time < in_at:
                    violations.append(
                        f"started after closure at {out_at}: {start}"
                    )
        return violations

    def _list_closures(self) -> list[tuple[float, float, str]]:
        closures = []
        for position, change in enumerate(self.changes):
            if change.state is not DataCentreState.OUT:
                continue
            later = [
                other.time
                for other in self.changes[position + 1 :]
                if other.data_centre == change.data_centre
                and other.state is DataCentreState.IN
            ]
            ends_at = min(later, default=float("inf"))
            closures.append((change.time, ends_at, change.data_centre))
        return closures

    def _find_starts_while_draining(self) -> list[str]:
        return [
            f"started after drain at {drain.time}: {start}"
            for drain in self.drains
            for start in self.starts
            if start.agent == drain.agent
            and drain.time + DRAIN_GRACE_S < start.time < drain.ends_at
        ]

    def _find_false_answers(self) -> list[str]:
        started = {start.task for start in self.starts}
        violations = []
        for observed in self.answers:
            answer = observed.answer
            if answer is None:
                continue
            if answer.submission_id != observed.submission_id:
                violations.append(f"answer for another submission: {observed}")
            violations += self._find_false_tasks(answer, started)
        return violations

    def _find_false_tasks(
        self, answer: JobAnswer, started: set[TaskRef]
    ) -> list[str]:
        violations = []
        answered = {task.index: task for task in answer.tasks}
        count = self.task_counts[answer.submission_id]
        if answer.outcome is Outcome.DONE and len(answered) != count:
            violations.append(f"partial: {answer}")
        for start in started:
            if start.submission_id != answer.submission_id:
                continue
            task = answered.get(start.index)
            if answer.outcome is Outcome.NOT_RUN or (
                task is not None and task.outcome is Outcome.NOT_RUN
            ):
                violations.append(
                    f"started, but answered as not run: {answer}"
                )
        for index, task in answered.items():
            expected = f'"{answer.submission_id}:{index}"'.encode()
            if task.result and task.result != expected:
                violations.append(f"result of another task: {answer}")
        return violations

    def _find_contradictions(self) -> list[str]:
        outcomes_by_id: dict[str, set[Outcome]] = defaultdict(set)
        for observed in self.answers:
            if observed.answer is not None:
                outcomes_by_id[observed.submission_id].add(
                    observed.answer.outcome
                )
        return [
            f"contradictory outcomes of {submission_id}: {outcomes}"
            for submission_id, outcomes in outcomes_by_id.items()
            if {Outcome.DONE, Outcome.NOT_RUN} <= outcomes
        ]
