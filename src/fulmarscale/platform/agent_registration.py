"""Registration of agents in the store.

An agent's row holds its address and its target. Entries discover agents by
these rows. After a restart an agent reads its own row to find its target
without waiting for a heartbeat.
"""

from __future__ import annotations

import asyncio
from typing import Final
from typing import TYPE_CHECKING

import msgspec

from fulmarscale.background import BackgroundTask
from fulmarscale.decoding import decode_json
from fulmarscale.decoding import NonNegativeInt
from fulmarscale.entry.durable.rows import CommitStatus
from fulmarscale.entry.durable.rows import RowKey
from fulmarscale.entry.durable.rows import RowWrite
from fulmarscale.entry.jobs.subset import AnnouncedAgent
from fulmarscale.errors import FulmarError
from fulmarscale.events import Event
from fulmarscale.runs.model import TargetReport
from fulmarscale.settings import split_address

if TYPE_CHECKING:
    from fulmarscale.entry.durable.rows import CommitResult
    from fulmarscale.entry.durable.rows import Row
    from fulmarscale.entry.durable.rows import RowTable
    from fulmarscale.logs import EventLog

AGENT_TABLE: Final = "agents"
"""Store table of agents; the key is the agent's name."""

FIRST_RETRY_DELAY_S: Final = 0.2
"""Delay before the first retry of a failed write; doubles each time."""

MAX_RETRY_DELAY_S: Final = 2.0
"""Upper bound of the delay before a retry."""


class AgentRow(msgspec.Struct, frozen=True):
    """The value of an agent's row, stored as JSON."""

    address: str
    """IP:port on which the agent accepts streams from entries."""
    target: TargetReport | None = None
    """The target's latest report; none before its first heartbeat."""
    target_address: str = ""
    """IP:port on which the target accepts requests."""
    fencing_token: NonNegativeInt = 0
    """The agent's fencing token at the target; 0 if there is none yet."""

    def to_announced_agent(self, name: str) -> AnnouncedAgent:
        """Convert to the properties by which entries select agents.

        :param name: the agent's name, which is the row's key.
        """
        target = self.target
        if target is None:
            return AnnouncedAgent(name, self.address)
        return AnnouncedAgent(
            name,
            self.address,
            target.service,
            target.data_centre,
            target.labels,
        )


def decode_agent_row(value: bytes) -> AgentRow:
    """Decode the value of an agent's row.

    :raises msgspec.MsgspecError: if it can't be decoded or has an address
        that can't be connected to.
    """
    row = decode_json(value, AgentRow)
    try:
        split_address(row.address)
        if row.target_address:
            split_address(row.target_address)
    except ValueError as error:
        raise msgspec.ValidationError(f"invalid address: {error}") from error
    return row


class AgentRegistrar:
    """Writes an agent's row at startup and when its target changes.

    Each write names the version that it replaces. A write that got no answer
    may be applied seconds later, also after its process has ended, but not
    once the row has been written again.
    """

    def __init__(
        self, store: RowTable, name: str, address: str, log: EventLog
    ) -> None:
        self._store = store
        self._key = RowKey(AGENT_TABLE, "", name)
        self._row = AgentRow(address)
        self._version = 0
        """The version of the stored row; 0 if none is known."""
        self._log = log
        self._changed = asyncio.Event()
        self._changed.set()
        self._task = BackgroundTask(self._run, log)

    async def read_previous_row(self) -> AgentRow | None:
        """Read the row that an earlier process of this agent wrote.

        :returns: the row; none if it does not exist, can't be decoded or the
            store is unavailable.
        """
        try:
            row = await self._store.read_row(self._key)
        except FulmarError as error:
            # The next heartbeat, within a second, has the same information.
            self._log.write(Event.AGENT_ROW_UNKNOWN, detail=str(error))
            return None
        return None if row is None else self._follow(row)

    def start(self) -> None:
        """Start writing the row in the background."""
        self._task.start()

    async def close(self) -> None:
        """Stop writing the row."""
        await self._task.close()

    def update_target(
        self, report: TargetReport, address: str, token: int
    ) -> None:
        """Set the row's target; writes the row if it changes.

        :param report: the target's latest report.
        :param address: IP:port on which the target accepts requests.
        :param token: the agent's fencing token at the target.
        """
        row = AgentRow(self._row.address, report, address, token)
        if row != self._row:
            self._row = row
            self._changed.set()

    def _follow(self, stored: Row) -> AgentRow | None:
        """Make the next write follow a stored row.

        What it says of the target is kept until the target's next heartbeat:
        entries use no agent without a target, and this process may be lost
        before the heartbeat.

        :returns: the decoded row; none if it can't be decoded.
        """
        self._version = stored.version
        try:
            previous = decode_agent_row(stored.value)
        except msgspec.MsgspecError as error:
            self._log.write(Event.AGENT_ROW_UNKNOWN, detail=str(error))
            return None
        if self._row.target is None:
            self._row = msgspec.structs.replace(
                previous, address=self._row.address
            )
        return previous

    async def _run(self) -> None:
        delay_s = FIRST_RETRY_DELAY_S
        while True:
            await self._changed.wait()
            self._changed.clear()
            is_stored = False
            try:
                is_stored = await self._write()
            finally:
                if not is_stored:
                    self._changed.set()
            if is_stored:
                delay_s = FIRST_RETRY_DELAY_S
                continue
            await asyncio.sleep(delay_s)
            delay_s = min(MAX_RETRY_DELAY_S, 2 * delay_s)

    async def _write(self) -> bool:
        """Write the row, and follow another one that is stored.

        The first write of a process is made even if it changes nothing, as
        it keeps the writes of earlier ones from being applied.

        :returns: whether the row is stored.
        """
        value = msgspec.json.encode(self._row)
        answer = await self._commit(value)
        if answer.status is CommitStatus.CONFLICT:
            expected, self._version = self._version, 0
            for row in answer.rows:
                self._follow(row)
            self._log.write(
                Event.AGENT_ROW_CONFLICT,
                expected=expected,
                revision=self._version,
            )
            value = msgspec.json.encode(self._row)
            answer = await self._commit(value)
        if answer.status is not CommitStatus.APPLIED:
            self._log.write(
                Event.STORE_LOST,
                table=AGENT_TABLE,
                detail=f"write of the agent's row: {answer.status.value}",
            )
            return False
        self._version = answer.version
        self._log.write(
            Event.AGENT_ROW_WRITTEN,
            address=self._row.address,
            revision=answer.version,
        )
        return True

    async def _commit(self, value: bytes) -> CommitResult:
        """Write a value if the row has not changed since it was last seen."""
        write = RowWrite(self._key, value, self._version)
        return await self._store.commit((write,))
