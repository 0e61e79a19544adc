"""One durable job at the entry that owns it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from fulmarscale.entry.durable.record import DurableJobState
from fulmarscale.entry.durable.record import MAX_CRASH_INCARNATIONS
from fulmarscale.entry.durable.record import RecordedCompletion
from fulmarscale.errors import ResultCode
from fulmarscale.runs.messages import CompletionAck

if TYPE_CHECKING:
    from fulmarscale.entry.durable.record import DurableJobRecord
    from fulmarscale.runs.crashes import CrashCounts
    from fulmarscale.runs.messages import DurableCompletion
    from fulmarscale.runs.model import JobId
    from fulmarscale.runs.model import JobSpec
    from fulmarscale.runs.model import TaskKey


class PendingAck(msgspec.Struct, frozen=True):
    """An acknowledgement that is sent once the completion is stored.

    Until then the agent holds the completion of the run.
    """

    agent: str
    """The agent's name."""
    ack: CompletionAck
    """The acknowledgement to send."""


class DurableJob:
    """The stored record of a job, and the record to be stored next."""

    def __init__(
        self, job_id: JobId, record: DurableJobRecord, version: int, now: float
    ) -> None:
        self.job_id = job_id
        self.created_at = now
        """When this entry got the job, from a caller or by a takeover."""
        self.record = record
        """The record that the row is to hold."""
        self.stored_record: DurableJobRecord | None = None
        """The record that the row is known to hold; none if not known yet."""
        self.version = version
        """The row's version; 0 if there is none yet."""
        self.may_be_stored = False
        """Whether a first write was sent that is not known to have failed."""
        self.is_awaited = True
        """Whether a caller waits for the first write."""
        self.cancelled_version = 0
        """The row's version with a cancellation by another entry; 0 if none.

        Set while the job is not known to be stored as this entry's own.
        """
        self.is_dirty = True
        """Whether the row has to be written."""
        self.is_urgent = True
        """Whether the next write must not be delayed to form a batch."""
        self.dirty_at = now
        """When the oldest change that is not written was made."""
        self.delay_s = 0.0
        """The last delay of a write that was too large; 0 if none was."""
        self.write_after = float("-inf")
        """The earliest time of the next write."""
        self.finalized_at = float("inf")
        """When the job ended; infinity while it is open.

        For an ended job that was taken over, the time of the takeover.
        """
        self.is_expired = False
        """Whether the row is to be removed."""
        self.pending_acks: list[PendingAck] = []
        """Acknowledgements to send when the next write is applied."""
        self.completions: dict[RecordedCompletion, bool] = {}
        """Whether each completion that counts is stored."""

    @property
    def is_new(self) -> bool:
        """Whether this entry has not written or read the job's row yet."""
        return self.version == 0

    @property
    def is_open(self) -> bool:
        """Whether the job has not ended, so that its tasks may run."""
        return self.record.state is DurableJobState.OPEN

    def mark_dirty(self, now: float, *, is_urgent: bool) -> None:
        """Mark the row as to be written.

        :param now: the entry's time.
        :param is_urgent: whether the write must not be delayed to form a
            batch.
        """
        if not self.is_dirty:
            self.dirty_at = now
        self.is_dirty = True
        self.is_urgent = self.is_urgent or is_urgent

    def delay_write(self, delay_s: float, now: float) -> None:
        """Delay the next write, unless the job ends before.

        :param delay_s: the delay in seconds.
        :param now: the entry's time.
        """
        self.delay_s = delay_s
        self.write_after = now + delay_s

    def record_completion(
        self, agent: str, completion: DurableCompletion, number: int
    ) -> None:
        """Add a completion to the record that is to be stored.

        :param agent: the name of the agent that holds the completion.
        :param completion: the completion.
        :param number: the task's number in the job.
        """
        record = self.record
        recorded = RecordedCompletion.of(completion)
        done = set(record.done)
        failures = dict(record.failures)
        if completion.is_done:
            done.add(number)
        else:
            failures[number] = failures.get(number, 0) + 1
        self.record = msgspec.structs.replace(
            record,
            done=tuple(sorted(done)),
            failures=tuple(sorted(failures.items())),
            completions=(*record.completions, recorded),
        )
        self.completions[recorded] = False
        self.pending_acks.append(
            PendingAck(
                agent,
                CompletionAck(completion.incarnation, completion.position),
            )
        )

    def advance_epoch(self, now: float, crashes: CrashCounts) -> None:
        """Raise the owner epoch: no later owner then counts earlier runs.

        :param now: the entry's time.
        :param crashes: the crashes under the job's tasks.
        """
        incarnations = dict.fromkeys(
            (*self.record.crash_incarnations, *crashes.incarnations)
        )
        self.record = msgspec.structs.replace(
            self.record,
            owner_epoch=self.record.owner_epoch + 1,
            crashes=_merge_counts(self.record.crashes, crashes.by_task),
            certain_crashes=_merge_counts(
                self.record.certain_crashes, crashes.certain
            ),
            crash_incarnations=tuple(incarnations)[-MAX_CRASH_INCARNATIONS:],
        )
        self.mark_dirty(now, is_urgent=True)

    def finalize(
        self,
        state: DurableJobState,
        now: float,
        code: ResultCode = ResultCode.OK,
    ) -> None:
        """Set the state in which the job ended, to be stored at once.

        :param state: the state.
        :param now: the entry's time.
        :param code: why it has failed.
        """
        self.record = self.record.ended_as(state, code)
        self.finalized_at = now
        self.write_after = float("-inf")
        self.mark_dirty(now, is_urgent=True)


def task_number(spec: JobSpec, key: TaskKey) -> int:
    """Return the number of a task, counted from 0 over all steps."""
    before = sum(step.count for step in spec.steps[: key.step])
    return before + key.index


def _merge_counts(
    stored: tuple[tuple[int, int], ...], counted: tuple[tuple[int, int], ...]
) -> tuple[tuple[int, int], ...]:
    """Return the higher of two counts of each task, by the task's number."""
    counts = dict(stored)
    for number, count in counted:
        counts[number] = max(count, counts.get(number, 0))
    return tuple(sorted(counts.items()))
