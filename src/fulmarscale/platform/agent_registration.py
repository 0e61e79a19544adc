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
from fulmarscale.entry.durable.rows import RowKey
from fulmarscale.entry.jobs.subset import AnnouncedAgent
from fulmarscale.errors import FulmarError
from fulmarscale.events import Event
from fulmarscale.runs.model import TargetReport
from fulmarscale.settings import split_address

if TYPE_CHECKING:
    from fulmarscale.logs import EventLog
    from fulmarscale.platform.store import RowStoreClient

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
    """Writes an agent's row at startup and when its target changes."""

    def __init__(
        self, store: RowStoreClient, name: str, address: str, log: EventLog
    ) -> None:
        self._store = store
        self._name = name
        self._row = AgentRow(address)
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
            row = await self._store.read_row(
                RowKey(AGENT_TABLE, "", self._name)
            )
            if row is None:
                return None
            previous = decode_agent_row(row.value)
        except (FulmarError, msgspec.MsgspecError) as error:
            # The next heartbeat, within a second, has the same information.
            self._log.write(Event.AGENT_ROW_UNKNOWN, detail=str(error))
            return None
        # Kept until the target's next heartbeat, as this process may be lost
        # before it.
        self._row = msgspec.structs.replace(
            self._row, fencing_token=previous.fencing_token
        )
        return previous

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

    async def _run(self) -> None:
        delay_s = FIRST_RETRY_DELAY_S
        while True:
            await self._changed.wait()
            self._changed.clear()
            value = msgspec.json.encode(self._row)
            try:
                revision = await self._store.put(
                    AGENT_TABLE, self._name, value
                )
            except FulmarError as error:
                self._log.write(
                    Event.STORE_LOST, table=AGENT_TABLE, detail=error.detail
                )
                self._changed.set()
                await asyncio.sleep(delay_s)
                delay_s = min(MAX_RETRY_DELAY_S, 2 * delay_s)
                continue
            delay_s = FIRST_RETRY_DELAY_S
            self._log.write(
                Event.AGENT_ROW_WRITTEN,
                address=self._row.address,
                revision=revision,
            )
