"""One kept job at the entry that owns it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from fulmarscale.entry.kept.record import KeptState
from fulmarscale.entry.kept.record import NotedEnd
from fulmarscale.runs.messages import EndReceipt

if TYPE_CHECKING:
    from fulmarscale.entry.kept.record import JobRecord
    from fulmarscale.runs.messages import KeptEnd
    from fulmarscale.runs.model import JobId
    from fulmarscale.runs.model import JobSpec
    from fulmarscale.runs.model import TaskKey


class HeldEnd(msgspec.Struct, frozen=True):
    """An end that an agent holds until it is stored."""

    agent: str
    """The agent's name."""
    receipt: EndReceipt
    """What the agent is told then."""


class KeptJob:
    """What is stored of a job, and what is to be stored next."""

    def __init__(
        self, job_id: JobId, record: JobRecord, version: int, now: float
    ) -> None:
        self.job_id = job_id
        self.record = record
        """What the row is to hold."""
        self.stored: JobRecord | None = None
        """What the row is known to hold."""
        self.version = version
        """The row's version; 0 if there is none yet."""
        self.is_dirty = True
        self.is_urgent = True
        """Whether the next write is not to wait for others."""
        self.dirty_at = now
        self.closed_at = float("inf")
        self.is_expired = False
        """Whether the row is to be removed."""
        self.held: list[HeldEnd] = []
        """Ends that the next write of the record covers."""
        self.noted: dict[NotedEnd, bool] = {}
        """Ends that count, and whether they are stored."""

    @property
    def is_new(self) -> bool:
        """Whether this entry has never seen its row."""
        return self.version == 0

    @property
    def is_open(self) -> bool:
        """Whether any of it may still be run."""
        return self.record.state is KeptState.OPEN

    def mark_dirty(self, now: float, *, is_urgent: bool) -> None:
        """Have the row written."""
        if not self.is_dirty:
            self.dirty_at = now
        self.is_dirty = True
        self.is_urgent = self.is_urgent or is_urgent

    def note_end(self, agent: str, end: KeptEnd, number: int) -> None:
        """Take an end into the record.

        :param agent: the agent that holds it.
        :param end: the end.
        :param number: the task's number in the job.
        """
        record = self.record
        noted = NotedEnd(end.life, end.position)
        done = set(record.done)
        failures = dict(record.failures)
        if end.is_done:
            done.add(number)
        else:
            failures[number] = failures.get(number, 0) + 1
        self.record = msgspec.structs.replace(
            record,
            done=tuple(sorted(done)),
            failures=tuple(sorted(failures.items())),
            ends=(*record.ends, noted),
        )
        self.noted[noted] = False
        self.held.append(HeldEnd(agent, EndReceipt(end.life, end.position)))

    def renew_tenure(self, now: float) -> None:
        """Tell all runs so far from those that are ordered from now on."""
        self.record = msgspec.structs.replace(
            self.record, tenure=self.record.tenure + 1
        )
        self.mark_dirty(now, is_urgent=True)

    def close(self, state: KeptState, now: float) -> None:
        """Note how the job ended."""
        self.record = self.record.end_as(state)
        self.closed_at = now
        self.mark_dirty(now, is_urgent=True)


def number_of(spec: JobSpec, key: TaskKey) -> int:
    """Number a task of a job over all its steps, from 0."""
    before = sum(step.count for step in spec.steps[: key.step])
    return before + key.index
