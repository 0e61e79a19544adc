"""A submission's record: the state of its tasks and its answer."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple
from typing import TYPE_CHECKING

import msgspec

from fulmarscale.errors import Outcome
from fulmarscale.errors import require
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
    """Where a task of a job stands."""

    QUEUED = "queued"
    """At this entry, not given to any agent."""
    SENT = "sent"
    """Given to an agent; it may start at any moment."""
    RESOLVED = "settled"
    """Its outcome is known or given up."""


class LocalCaller(NamedTuple):
    """A caller that waits at this entry."""

    request: RequestId
    """The caller's request."""


class PeerCaller(NamedTuple):
    """A caller that waits at another entry."""

    peer: Member
    """The other entry."""
    request: int
    """Its name for the request."""


Caller = LocalCaller | PeerCaller


class Task:
    """One task of a job."""

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

    def send(self, agent: AgentId, session: int) -> None:
        """Note that the task goes to an agent."""
        require(
            self.state is TaskState.QUEUED, "only a queued task may be sent"
        )
        self.state = TaskState.SENT
        self.agent = agent
        self.session = session

    def requeue(self) -> None:
        """Note an agent's word that it never started the task."""
        require(self.state is TaskState.SENT, "only a sent task may come back")
        self.state = TaskState.QUEUED
        self.agent = None

    def resolve(
        self, outcome: Outcome, code: ResultCode, result: bytes = b""
    ) -> None:
        """Note what became of the task."""
        require(
            self.state is not TaskState.RESOLVED,
            "a settled task must not change",
        )
        if outcome is Outcome.NOT_RUN:
            require(
                self.state is TaskState.QUEUED,
                "only a task that no agent holds is known not to run",
            )
        self.state = TaskState.RESOLVED
        self.outcome = outcome
        self.code = code
        self.result = result
        self.payload = b""


class OwnedJob:
    """The record of one submission at its owner."""

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
        self.tasks = [Task(i, p) for i, p in enumerate(payloads)]
        self.waiters: dict[Caller, None] = {}
        self.is_cancelled = False
        self.is_recovered = False
        self.requeues = 0
        self.longest_run_s = 0.0
        self.total_run_s = 0.0
        self._unresolved = len(payloads)
        self._encoded_answer: bytes | None = None

    @property
    def is_answered(self) -> bool:
        """Whether there is a final answer."""
        return self._encoded_answer is not None

    @property
    def answer(self) -> JobAnswer | None:
        """The final answer, once there is one."""
        if self._encoded_answer is None:
            return None
        return msgspec.msgpack.decode(self._encoded_answer, type=JobAnswer)

    @property
    def unresolved(self) -> int:
        """The number of tasks without an outcome."""
        return self._unresolved

    def task_ref(self, task: Task) -> TaskRef:
        """Name a task of this job."""
        return TaskRef(self.submission_id, task.index)

    def record_run_time(self, run_s: float) -> None:
        """Note how long one of the tasks ran."""
        self.longest_run_s = max(self.longest_run_s, run_s)
        self.total_run_s += run_s

    def resolve_task(
        self,
        task: Task,
        outcome: Outcome,
        code: ResultCode,
        result: bytes = b"",
    ) -> None:
        """Note what became of a task."""
        task.resolve(outcome, code, result)
        self._unresolved -= 1

    def finalize(self) -> JobAnswer:
        """Make the final answer, once all tasks are settled."""
        require(self._unresolved == 0, "an answer must cover all tasks")
        require(not self.is_answered, "an answer must not change")
        answer = self._make_answer()
        self._store_answer(answer)
        return answer

    def adopt_answer(self, answer: JobAnswer) -> None:
        """Take over a final answer from another entry."""
        require(not self.is_answered, "an answer must not change")
        self._unresolved = 0
        self._store_answer(answer)

    def _store_answer(self, answer: JobAnswer) -> None:
        # An answer is kept for minutes: encoded, it takes a tenth of the
        # memory of its tasks.
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
        first = next(t for t in self.tasks if t.outcome is not Outcome.DONE)
        if outcomes == {Outcome.NOT_RUN}:
            return Outcome.NOT_RUN, first.code
        return Outcome.FAILED, ResultCode.JOB_INCOMPLETE
