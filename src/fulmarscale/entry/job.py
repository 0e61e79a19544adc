"""The record of a submission: the state of its tasks and its answer.

It belongs to the project's own HTTP interface (`/v1/jobs`), where a task is
never started twice. The class `Job` in `entry.jobs.job` belongs to the users'
platform, where tasks may run again.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple
from typing import TYPE_CHECKING

import msgspec

from fulmarscale.errors import check_invariant
from fulmarscale.errors import Outcome
from fulmarscale.errors import ResultCode
from fulmarscale.ids import TaskRef
from fulmarscale.wire.messages import JobAnswer
from fulmarscale.wire.messages import TaskAnswer

if TYPE_CHECKING:
    from fulmarscale.control.entry_list import Member
    from fulmarscale.ids import AgentId
    from fulmarscale.ids import CustomerName
    from fulmarscale.ids import RequestId
    from fulmarscale.ids import SubmissionId


class TaskState(Enum):
    """The state of a task at its owner."""

    QUEUED = "queued"
    """At this entry, not sent to any agent."""
    SENT = "sent"
    """Sent to an agent; it may be running or may start at any moment."""
    RESOLVED = "settled"
    """It has an outcome, which may be that the outcome is unknown."""


class LocalCaller(NamedTuple):
    """A caller that is connected to this entry."""

    request: RequestId
    """The caller's request."""


class PeerCaller(NamedTuple):
    """A caller whose request another entry forwarded."""

    peer: Member
    """The other entry."""
    request: int
    """The number by which that entry identifies the request."""


Caller = LocalCaller | PeerCaller
"""Where the answer to a call is sent."""


class Task:
    """One task of a job of the own HTTP interface."""

    __slots__ = (
        "agent",
        "code",
        "index",
        "outcome",
        "payload",
        "result",
        "session",
        "state",
    )

    def __init__(self, index: int, payload: bytes) -> None:
        self.index = index
        self.payload = payload
        self.state = TaskState.QUEUED
        self.agent: AgentId | None = None
        self.session = 0
        self.outcome = Outcome.OUTCOME_UNKNOWN
        self.code = ResultCode.AGENT_LOST
        self.result = b""

    def mark_sent(self, agent: AgentId, session: int) -> None:
        """Mark the task as sent to an agent."""
        check_invariant(
            self.state is TaskState.QUEUED, "a task must be queued to be sent"
        )
        self.state = TaskState.SENT
        self.agent = agent
        self.session = session

    def mark_queued(self) -> None:
        """Mark the task as queued again, since its agent never started it."""
        check_invariant(
            self.state is TaskState.SENT,
            "a task must be sent to be queued again",
        )
        self.state = TaskState.QUEUED
        self.agent = None

    def resolve(
        self, outcome: Outcome, code: ResultCode, result: bytes = b""
    ) -> None:
        """Set the task's outcome, which is final."""
        check_invariant(
            self.state is not TaskState.RESOLVED,
            "the outcome of a task must not change",
        )
        if outcome is Outcome.NOT_RUN:
            check_invariant(
                self.state is TaskState.QUEUED,
                "a task must be queued at its owner to end as not run",
            )
        self.state = TaskState.RESOLVED
        self.outcome = outcome
        self.code = code
        self.result = result
        self.payload = b""


class OwnedJob:
    """The record of one submission at the entry that owns it.

    :param submission_id: the submission.
    :param customer: the customer that submitted it.
    :param kind: the kind of all its tasks.
    :param digest: the digest of the kind, `idempotent` and the payloads; it
        detects a reused id.
    :param payloads: one JSON text for each task.
    :param received_at: monotonic time of the receipt.
    :param deadline_at: monotonic time at which the answer is due.
    """

    def __init__(
        self,
        submission_id: SubmissionId,
        customer: CustomerName,
        kind: str,
        digest: bytes,
        payloads: tuple[bytes, ...],
        received_at: float,
        deadline_at: float,
    ) -> None:
        self.submission_id = submission_id
        self.customer = customer
        self.kind = kind
        self.digest = digest
        self.received_at = received_at
        self.deadline_at = deadline_at
        self.due_at = deadline_at
        """Monotonic time that orders the job's tasks in the queue."""
        self.tasks = [Task(i, p) for i, p in enumerate(payloads)]
        self.waiters: dict[Caller, None] = {}
        """The callers to be answered, in order of arrival."""
        self.is_cancelled = False
        self.is_recovered = False
        """Whether the record was rebuilt from the records of agents."""
        self.requeue_count = 0
        """How often a task was requeued after an agent did not start it."""
        self.longest_run_s = 0.0
        self.total_run_s = 0.0
        self._unresolved_count = len(payloads)
        self._encoded_answer: bytes | None = None

    @property
    def is_answered(self) -> bool:
        """Whether the job has its final answer."""
        return self._encoded_answer is not None

    @property
    def answer(self) -> JobAnswer | None:
        """The final answer, if the job has one."""
        if self._encoded_answer is None:
            return None
        return msgspec.msgpack.decode(self._encoded_answer, type=JobAnswer)

    @property
    def unresolved_count(self) -> int:
        """The number of tasks without an outcome."""
        return self._unresolved_count

    def task_ref(self, task: Task) -> TaskRef:
        """Return the site-wide reference of a task of this job."""
        return TaskRef(self.submission_id, task.index)

    def record_run_time(self, run_s: float) -> None:
        """Add the run time of one of the tasks."""
        self.longest_run_s = max(self.longest_run_s, run_s)
        self.total_run_s += run_s

    def resolve_task(
        self,
        task: Task,
        outcome: Outcome,
        code: ResultCode,
        result: bytes = b"",
    ) -> None:
        """Set the outcome of a task, which is final."""
        task.resolve(outcome, code, result)
        self._unresolved_count -= 1

    def finalise(self) -> JobAnswer:
        """Build and store the final answer, when all tasks have an outcome."""
        check_invariant(
            self._unresolved_count == 0,
            "the final answer must cover all tasks",
        )
        check_invariant(
            not self.is_answered, "the final answer must not change"
        )
        answer = self._make_answer()
        self._store_answer(answer)
        return answer

    def adopt_answer(self, answer: JobAnswer) -> None:
        """Store the final answer from another entry's record."""
        check_invariant(
            not self.is_answered, "the final answer must not change"
        )
        self._unresolved_count = 0
        self._store_answer(answer)

    def _store_answer(self, answer: JobAnswer) -> None:
        # An answer is stored for minutes. Encoded, it takes a tenth of the
        # memory of the task objects.
        self._encoded_answer = msgspec.msgpack.encode(answer)
        self.tasks = []

    def _make_answer(self) -> JobAnswer:
        outcome, code = self._summarise()
        complete = outcome is Outcome.DONE
        tasks = tuple(
            TaskAnswer(
                index=task.index,
                outcome=task.outcome,
                code=task.code,
                result=task.result if complete else b"",
            )
            for task in self.tasks
        )
        return JobAnswer(self.submission_id, outcome, code, tasks)

    def _summarise(self) -> tuple[Outcome, ResultCode]:
        outcomes = {task.outcome for task in self.tasks}
        if outcomes == {Outcome.DONE}:
            return Outcome.DONE, ResultCode.OK
        first_incomplete = next(
            t for t in self.tasks if t.outcome is not Outcome.DONE
        )
        if outcomes == {Outcome.NOT_RUN}:
            return Outcome.NOT_RUN, first_incomplete.code
        return Outcome.FAILED, ResultCode.JOB_INCOMPLETE
