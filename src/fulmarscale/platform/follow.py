"""Keeps what the store holds up to date in memory."""

from __future__ import annotations

import asyncio
from typing import Final
from typing import TYPE_CHECKING

import msgspec

from fulmarscale.entry.kept.record import CANCEL_TABLE
from fulmarscale.entry.kept.record import MEMBER_TABLE
from fulmarscale.entry.kept.rows import Row
from fulmarscale.entry.kept.rows import RowKey
from fulmarscale.errors import FulmarError
from fulmarscale.events import Event
from fulmarscale.platform.announce import AGENT_TABLE
from fulmarscale.platform.announce import decode_agent_row
from fulmarscale.platform.store import HistoryGoneError
from fulmarscale.platform.wire import decode_site
from fulmarscale.platform.wire import OPERATOR_TABLE
from fulmarscale.platform.wire import WireRow
from fulmarscale.platform.wire import WireRows

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarscale.entry.jobs.subset import KnownAgent
    from fulmarscale.entry.kept.process import KeeperProcess
    from fulmarscale.logs import EventLog
    from fulmarscale.platform.store import RowStore
    from fulmarscale.runs.site_state import SiteState

FEED_WAIT_S: Final = 2.0
"""How long the store may wait for a change.

A connection that went silent is noticed after this and FEED_SLACK_S; changes
have to be in force 2 s after a machine has been sound for 3 s.
"""

RETRY_S: Final = 0.2
"""Pause before a failed call is repeated."""


Rows = dict[RowKey, Row]
"""Rows by their names."""


class TableFollower:
    """Follows one table, and tells of each change in full."""

    def __init__(
        self,
        store: RowStore,
        table: str,
        take: Callable[[Rows, int], None],
        log: EventLog,
        *,
        is_split: bool = False,
    ) -> None:
        self._store = store
        self._table = table
        self._take = take
        self._log = log
        self._is_split = is_split
        self._rows: Rows = {}
        self._version = 0
        self._is_lost = False
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to follow."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop following."""
        if self._task is None:
            return
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        must_read = True
        while True:
            try:
                if must_read:
                    must_read = not await self._read_all()
                else:
                    await self._read_changes()
                self._note_answer()
            except HistoryGoneError:
                must_read = True
            except FulmarError as error:
                self._note_failure(error)
                await asyncio.sleep(RETRY_S)

    async def _read_all(self) -> bool:
        """Read the table.

        :returns: false if the store answered from before what is known.
        """
        read = await self._read_parts()
        if read.ver < self._version:
            self._log.write(
                Event.STORE_ANSWERED_STALE,
                table=self._table,
                revision=read.ver,
                known=self._version,
            )
            await asyncio.sleep(RETRY_S)
            return False
        self._rows = {}
        self._merge(read)
        self._take(self._rows, self._version)
        return True

    async def _read_parts(self) -> WireRows:
        """Read all parts; changes meanwhile are in the first feed."""
        if not self._is_split:
            return await self._store.read(self._table)
        found: list[WireRow] = []
        oldest = await self._store.read(self._table)
        for part in await self._store.list_parts(self._table):
            found += (await self._store.read(self._table, part)).rows
        return WireRows(oldest.ver, tuple(found))

    async def _read_changes(self) -> None:
        read = await self._store.follow(
            self._table, self._version, FEED_WAIT_S
        )
        if read.ver < self._version:
            return
        has_changes = bool(read.rows)
        self._merge(read)
        if has_changes:
            self._take(self._rows, self._version)

    def _merge(self, read: WireRows) -> None:
        for row in read.rows:
            name = RowKey(row.table, row.part, row.key)
            if row.removed:
                self._rows.pop(name, None)
                continue
            try:
                value = row.read_value()
            except ValueError as error:
                self._log.write(Event.ROW_UNREADABLE, detail=str(error))
                continue
            self._rows[name] = Row(name, value, row.ver)
        self._version = max(self._version, read.ver)

    def _note_answer(self) -> None:
        if self._is_lost:
            self._is_lost = False
            self._log.write(Event.STORE_REGAINED, table=self._table)

    def _note_failure(self, error: FulmarError) -> None:
        if not self._is_lost:
            self._is_lost = True
            self._log.write(
                Event.STORE_LOST, table=self._table, detail=error.detail
            )


def follow_site(
    store: RowStore, take: Callable[[SiteState], None], log: EventLog
) -> TableFollower:
    """Follow what operators set.

    :param store: the platform's store.
    :param take: called with each new state.
    :param log: where unreadable rows are noted.
    """

    def take_rows(rows: Rows, revision: int) -> None:
        values = {name.key: row.value for name, row in rows.items()}
        try:
            take(decode_site(values, revision))
        except msgspec.MsgspecError as error:
            log.write(Event.ROW_UNREADABLE, detail=str(error))

    return TableFollower(store, OPERATOR_TABLE, take_rows, log)


def follow_agents(
    store: RowStore,
    take: Callable[[tuple[KnownAgent, ...]], None],
    log: EventLog,
) -> TableFollower:
    """Follow the agents' rows.

    :param store: the platform's store.
    :param take: called with all agents.
    :param log: where unreadable rows are noted.
    """

    known: dict[str, tuple[int, KnownAgent | None]] = {}

    def decode(row: Row) -> KnownAgent | None:
        key = row.name.key
        try:
            return decode_agent_row(row.value).describe(key)
        except msgspec.MsgspecError as error:
            log.write(Event.ROW_UNREADABLE, detail=f"{key}: {error}")
            return None

    def take_rows(rows: Rows, revision: int) -> None:
        found = []
        for row in sorted(rows.values(), key=lambda row: row.name.key):
            key = row.name.key
            version, agent = known.get(key, (-1, None))
            if version != row.version:
                # A fleet has many rows, and few of them change at a time.
                agent = decode(row)
                known[key] = (row.version, agent)
            if agent is not None:
                found.append(agent)
        take(tuple(found))

    return TableFollower(store, AGENT_TABLE, take_rows, log)


class KeptFollower:
    """Follows what entries tell each other about kept jobs.

    Only once there are any: each table followed costs calls to the store.
    """

    def __init__(
        self, store: RowStore, keeper: KeeperProcess, log: EventLog
    ) -> None:
        self._keeper = keeper
        self._followers = (
            TableFollower(store, MEMBER_TABLE, self._take_members, log),
            TableFollower(
                store, CANCEL_TABLE, self._take_cancels, log, is_split=True
            ),
        )
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to follow as soon as there are kept jobs."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop following."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        for follower in self._followers:
            await follower.close()

    async def _run(self) -> None:
        await self._keeper.activated.wait()
        for follower in self._followers:
            follower.start()

    def _take_members(self, rows: Rows, revision: int) -> None:
        self._keeper.see_members(tuple(rows.values()))

    def _take_cancels(self, rows: Rows, revision: int) -> None:
        self._keeper.see_cancels(tuple(rows.values()))
