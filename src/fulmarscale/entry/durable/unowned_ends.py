"""Ends of runs of unknown entries whose jobs aren't open at this entry.

An agent that has started again doesn't know which entry requested the runs
whose ends its target lists, nor whether their jobs are durable. It keeps these
ends until an entry acknowledges them: the owner of the job, or any entry once
the store shows that there is no such job.
"""

from __future__ import annotations

import asyncio
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING
from zlib import crc32

from fulmarscale.entry.durable.record import record_key
from fulmarscale.entry.durable.record import RECORD_TABLE
from fulmarscale.entry.durable.record import shard_of
from fulmarscale.errors import FulmarError
from fulmarscale.runs.clock import boottime_s
from fulmarscale.runs.messages import CompletionAck

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Iterable

    from fulmarscale.entry.durable.rows import RowTable
    from fulmarscale.runs.messages import DurableCompletion
    from fulmarscale.runs.model import JobId
    from fulmarscale.runs.model import TargetIncarnation

END_RETENTION_S: Final = 25.0
"""How long an end is looked after; its agent releases it before."""

STORED_RETRY_S: Final = 2.0
"""Pause before a job that the store has or may have is looked up again."""

FAILED_RETRY_S: Final = 0.5
"""Pause after a call to the store that has failed."""

READ_PAUSE_S: Final = 0.05
"""Pause between two calls to the store.

All entries get the ends of an agent at the same time.
"""

MAX_SINGLE_READS: Final = 5
"""Due jobs up to which each is looked up in a call of its own.

With more, a call reads all jobs of one part of the table.
"""

EXPIRY_PAUSE_S: Final = 1.0
"""Pause between two removals of the ends that agents have released."""

ReleasedEnds = dict[str, tuple[CompletionAck, ...]]
"""The acknowledgements for each agent, by its name."""


class EndKey(NamedTuple):
    """Identifies the end of a run."""

    agent: str
    """The agent that keeps it."""
    incarnation: TargetIncarnation
    """The target that lists it."""
    position: int
    """The position in its list."""


class UnownedEnds:
    """Decides which jobs are looked up in the store, and when.

    Methods take the entry's time, in seconds.

    :param entry: the entry's name, on which the order of the parts depends.
    """

    def __init__(self, entry: str) -> None:
        self._order_seed = crc32(entry.encode())
        self._ends: dict[JobId, dict[EndKey, float]] = {}
        """When each end was added, by job."""
        self._next_look_up_at: dict[JobId, float] = {}
        """When each of their jobs may be looked up."""
        self._next_expiry_at = float("-inf")

    @property
    def is_empty(self) -> bool:
        """Whether no ends are known."""
        return not self._ends

    def add(
        self, agent: str, completion: DurableCompletion, now: float
    ) -> None:
        """Add an end, unless its agent knows the entry of the run.

        :param agent: the agent that keeps it.
        :param completion: the end.
        :param now: the entry's time.
        """
        if completion.entry is not None:
            return
        key = EndKey(agent, completion.incarnation, completion.position)
        job_id = completion.task.job_id
        self._ends.setdefault(job_id, {})[key] = now
        self._next_look_up_at[job_id] = now

    def expire(self, now: float) -> None:
        """Remove the ends that their agents have released by now."""
        if now < self._next_expiry_at:
            return
        self._next_expiry_at = now + EXPIRY_PAUSE_S
        self._release_until(now - END_RETENTION_S)

    def due_jobs(self, now: float) -> list[JobId]:
        """Return the jobs that are to be looked up in the next call.

        :param now: the entry's time.
        :returns: one job, or all jobs of one part that are due if many are.
        """
        due = [
            job_id
            for job_id, due_at in self._next_look_up_at.items()
            if due_at <= now
        ]
        if len(due) <= MAX_SINGLE_READS:
            return due[:1]
        part = min(map(shard_of, due), key=self._part_order)
        return [job_id for job_id in due if shard_of(job_id) == part]

    def postpone(self, job_id: JobId, now: float) -> None:
        """Keep the ends of a job that the store has or may have."""
        if job_id in self._ends:
            self._next_look_up_at[job_id] = now + STORED_RETRY_S

    def release(self, job_id: JobId) -> ReleasedEnds:
        """Remove and return the ends of a job."""
        self._next_look_up_at.pop(job_id, None)
        return _acknowledgements(self._ends.pop(job_id, {}))

    def release_before(self, read_at: float) -> ReleasedEnds:
        """Release the ends from before a read that showed no job at all.

        :param read_at: when the read began.
        """
        return _acknowledgements(self._release_until(read_at))

    def _release_until(self, latest: float) -> list[EndKey]:
        """Remove and return the ends that were added until a time."""
        released = []
        for job_id, ends in list(self._ends.items()):
            early = [
                key for key, added_at in ends.items() if added_at <= latest
            ]
            released += early
            for key in early:
                del ends[key]
            if not ends:
                del self._ends[job_id]
                del self._next_look_up_at[job_id]
        return released

    def _part_order(self, part: str) -> int:
        """Return the sort key of a part: entries begin with different ones."""
        return crc32(part.encode(), self._order_seed)


def _acknowledgements(ends: Iterable[EndKey]) -> ReleasedEnds:
    """Return the acknowledgements of ends, by agent."""
    acks: dict[str, list[CompletionAck]] = {}
    for end in ends:
        ack = CompletionAck(end.incarnation, end.position)
        acks.setdefault(end.agent, []).append(ack)
    return {agent: tuple(each) for agent, each in acks.items()}


class UnownedEndReview:
    """Looks the jobs of unowned ends up in the store.

    :param entry: the entry's name.
    :param rows: the store.
    :param is_active: whether this entry knows of durable jobs.
    :param poll: queries the store for durable jobs, and makes the entry
        active if there are any; returns whether the store answered.
    :param owns: whether this entry owns a job or is about to.
    :param acknowledge: acknowledges ends to an agent.
    """

    def __init__(
        self,
        entry: str,
        rows: RowTable,
        *,
        is_active: Callable[[], bool],
        poll: Callable[[], Awaitable[bool]],
        owns: Callable[[JobId], bool],
        acknowledge: Callable[[str, tuple[CompletionAck, ...]], None],
    ) -> None:
        self._rows = rows
        self._is_active = is_active
        self._poll = poll
        self._owns = owns
        self._acknowledge = acknowledge
        self._ends = UnownedEnds(entry)
        self._has_ends = asyncio.Event()

    def add(self, agent: str, completion: DurableCompletion) -> None:
        """Add an end of a job that isn't open at this entry."""
        self._ends.add(agent, completion, boottime_s())
        if not self._ends.is_empty:
            self._has_ends.set()

    async def run(self) -> None:
        """Resolve ends until the task is cancelled."""
        while True:
            await self._has_ends.wait()
            is_answered = await self._resolve_next()
            await asyncio.sleep(
                READ_PAUSE_S if is_answered else FAILED_RETRY_S
            )
            self._ends.expire(boottime_s())
            if self._ends.is_empty:
                self._has_ends.clear()

    async def _resolve_next(self) -> bool:
        """Make one call to the store if one is due.

        :returns: whether the store answered.
        """
        now = boottime_s()
        due = []
        for job_id in self._ends.due_jobs(now):
            if self._owns(job_id):
                # The entry acknowledges them as the owner.
                self._ends.release(job_id)
            else:
                due.append(job_id)
        if not due:
            return True
        if not self._is_active():
            is_answered = await self._poll()
            if is_answered and not self._is_active():
                self._release(self._ends.release_before(now))
            return is_answered
        try:
            stored = await self._read_stored(due)
        except FulmarError:
            # Another part may be readable.
            for job_id in due:
                self._ends.postpone(job_id, now)
            return False
        for job_id in due:
            if job_id in stored:
                # Its owner decides, or the entry that takes it over.
                self._ends.postpone(job_id, now)
            else:
                self._release(self._ends.release(job_id))
        return True

    async def _read_stored(self, due: list[JobId]) -> set[str]:
        """Return those of some jobs, all in one part, that the store has.

        :raises FulmarError: STORE_UNAVAILABLE.
        """
        if len(due) == 1:
            row = await self._rows.read_row(record_key(due[0]))
            return set() if row is None else set(due)
        part = shard_of(due[0])
        rows = await self._rows.read_part(RECORD_TABLE, part)
        return {row.row_key.key for row in rows}

    def _release(self, released: ReleasedEnds) -> None:
        for agent, acks in released.items():
            self._acknowledge(agent, acks)
