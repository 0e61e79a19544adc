"""An agent's row in the store: where it serves, and its target.

Entries find the agent by it. The agent itself finds its target by it after a
restart, without waiting for a heartbeat.
"""

from __future__ import annotations

import asyncio
from typing import Final
from typing import TYPE_CHECKING

import msgspec

from fulmarscale.entry.jobs.subset import KnownAgent
from fulmarscale.entry.kept.rows import RowKey
from fulmarscale.errors import FulmarError
from fulmarscale.events import Event
from fulmarscale.runs.model import TargetReport

if TYPE_CHECKING:
    from fulmarscale.logs import EventLog
    from fulmarscale.platform.store import RowStore

AGENT_TABLE: Final = "agents"
"""Holds each agent's row under its name."""

RETRY_S: Final = 0.2
"""The first pause before a failed write is repeated."""

LONGEST_PAUSE_S: Final = 2.0
"""The longest pause before a failed write is repeated."""


class AgentRow(msgspec.Struct, frozen=True):
    """What an agent tells others, and itself after a restart."""

    address: str
    """IP:port on which it serves entries."""
    target: TargetReport | None = None
    """Its target, as it described itself last."""
    target_address: str = ""
    """IP:port on which the target takes calls."""

    def describe(self, name: str) -> KnownAgent:
        """Give what entries choose by.

        :param name: the agent's name, the row's key.
        """
        target = self.target
        if target is None:
            return KnownAgent(name, self.address)
        return KnownAgent(
            name,
            self.address,
            target.service,
            target.data_centre,
            target.labels,
        )


def decode_agent_row(value: bytes) -> AgentRow:
    """Read a row.

    :raises msgspec.MsgspecError: if it can't be read.
    """
    return msgspec.json.decode(value, type=AgentRow)


class AgentAnnouncer:
    """Keeps an agent's row as it should be."""

    def __init__(
        self, store: RowStore, name: str, address: str, log: EventLog
    ) -> None:
        self._store = store
        self._name = name
        self._row = AgentRow(address)
        self._log = log
        self._changed = asyncio.Event()
        self._changed.set()
        self._task: asyncio.Task[None] | None = None

    async def restore(self) -> AgentRow | None:
        """Read what a former life of this agent wrote.

        :returns: the row; none if there is none or the store is away.
        """
        try:
            row = await self._store.read_row(
                RowKey(AGENT_TABLE, "", self._name)
            )
            return None if row is None else decode_agent_row(row.value)
        except (FulmarError, msgspec.MsgspecError) as error:
            # A heartbeat will tell the same, a second later.
            self._log.write(Event.AGENT_ROW_UNKNOWN, detail=str(error))
            return None

    def start(self) -> None:
        """Begin to write the row."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop writing."""
        if self._task is None:
            return
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    def note_target(self, report: TargetReport, address: str) -> None:
        """Write the target into the row if it is another."""
        row = AgentRow(self._row.address, report, address)
        if row != self._row:
            self._row = row
            self._changed.set()

    async def _run(self) -> None:
        pause_s = RETRY_S
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
                await asyncio.sleep(pause_s)
                pause_s = min(LONGEST_PAUSE_S, 2 * pause_s)
                continue
            pause_s = RETRY_S
            self._log.write(
                Event.AGENT_ROW_WRITTEN,
                address=self._row.address,
                revision=revision,
            )
