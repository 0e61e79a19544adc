"""In-memory copies of store tables, updated from the store's change feed."""

from __future__ import annotations

import asyncio
from typing import Final
from typing import TYPE_CHECKING

import msgspec

from fulmarscale.background import BackgroundTask
from fulmarscale.entry.durable.record import CANCEL_TABLE
from fulmarscale.entry.durable.record import MEMBER_TABLE
from fulmarscale.entry.durable.rows import Row
from fulmarscale.entry.durable.rows import RowKey
from fulmarscale.errors import FulmarError
from fulmarscale.events import Event
from fulmarscale.platform.agent_registration import AGENT_TABLE
from fulmarscale.platform.agent_registration import decode_agent_row
from fulmarscale.platform.store import HistoryGoneError
from fulmarscale.platform.wire import decode_site_config
from fulmarscale.platform.wire import OPERATOR_TABLE
from fulmarscale.platform.wire import WireRow
from fulmarscale.platform.wire import WireRows

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarscale.entry.durable.driver import DurableJobDriver
    from fulmarscale.entry.jobs.subset import AnnouncedAgent
    from fulmarscale.logs import EventLog
    from fulmarscale.platform.store import RowStoreClient
    from fulmarscale.runs.site_config import SiteConfig

FEED_WAIT_S: Final = 1.5
"""How long the store may wait for a change before it responds.

A dead connection is detected after this plus FEED_SLACK_S. Then the follower
waits RETRY_DELAY_S, connects and reads. All of it must take less than 3 s: by
then changes from before are in force on a machine that is healthy again.
"""

RETRY_DELAY_S: Final = 0.2
"""Delay before a failed or outdated read is repeated."""

Rows = dict[RowKey, Row]
"""Rows of a table by key."""


class TableFollower:
    """Maintains a copy of one table; calls back with all rows on a change."""

    def __init__(
        self,
        store: RowStoreClient,
        table: str,
        on_change: Callable[[Rows, int], None],
        log: EventLog,
        *,
        on_read: Callable[[], None] | None = None,
        is_partitioned: bool = False,
    ) -> None:
        self._store = store
        self._table = table
        self._on_change = on_change
        self._on_read = on_read
        """Called whenever the store shows that the copy is up to date."""
        self._log = log
        self._is_partitioned = is_partitioned
        self._rows: Rows = {}
        self._version = 0
        self._is_store_unavailable = False
        """Whether the last request failed; limits log lines to changes."""
        self._task = BackgroundTask(self._run, log)

    def start(self) -> None:
        """Start following in the background."""
        self._task.start()

    async def close(self) -> None:
        """Stop following."""
        await self._task.close()

    async def _run(self) -> None:
        needs_full_read = True
        wait_s = 0.0
        while True:
            try:
                if needs_full_read:
                    needs_full_read = not await self._read_all()
                    # A read may be stale; the feed shows at once if it is.
                    wait_s = 0.0
                else:
                    await self._read_changes(wait_s)
                    wait_s = FEED_WAIT_S
                    if self._on_read is not None:
                        self._on_read()
                self._log_recovery()
            except HistoryGoneError:
                needs_full_read = True
                if wait_s == 0.0:
                    # The copy that was just read is already too old.
                    await asyncio.sleep(RETRY_DELAY_S)
            except FulmarError as error:
                self._log_failure(error)
                await asyncio.sleep(RETRY_DELAY_S)

    async def _read_all(self) -> bool:
        """Read the whole table.

        :returns: whether the copy was replaced; false if the store returned
            a revision older than the copy's.
        """
        snapshot = await self._read_parts()
        if snapshot.ver < self._version:
            self._log.write(
                Event.STORE_ANSWERED_STALE,
                table=self._table,
                revision=snapshot.ver,
                known=self._version,
            )
            await asyncio.sleep(RETRY_DELAY_S)
            return False
        self._rows = {}
        self._merge(snapshot)
        self._on_change(self._rows, self._version)
        return True

    async def _read_parts(self) -> WireRows:
        """Read all parts; the next feed has the changes made during the read.

        The revision returned is that of the first part read.
        """
        if not self._is_partitioned:
            return await self._store.read(self._table)
        rows: list[WireRow] = []
        first_read = await self._store.read(self._table)
        for part in await self._store.list_parts(self._table):
            rows += (await self._store.read(self._table, part)).rows
        return WireRows(first_read.ver, tuple(rows))

    async def _read_changes(self, wait_s: float) -> None:
        """Read the changes since the last read.

        :param wait_s: how long the store may wait for one, in seconds.
        """
        changes = await self._store.read_changes(
            self._table, self._version, wait_s
        )
        if changes.ver < self._version:
            return
        has_changes = bool(changes.rows)
        self._merge(changes)
        if has_changes:
            self._on_change(self._rows, self._version)

    def _merge(self, update: WireRows) -> None:
        """Apply changed and removed rows to the copy."""
        for row in update.rows:
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
        self._version = max(self._version, update.ver)

    def _log_recovery(self) -> None:
        if self._is_store_unavailable:
            self._is_store_unavailable = False
            self._log.write(Event.STORE_REGAINED, table=self._table)

    def _log_failure(self, error: FulmarError) -> None:
        if not self._is_store_unavailable:
            self._is_store_unavailable = True
            self._log.write(
                Event.STORE_LOST, table=self._table, detail=error.detail
            )


def make_site_follower(
    store: RowStoreClient,
    on_change: Callable[[SiteConfig], None],
    log: EventLog,
    on_read: Callable[[], None] | None = None,
) -> TableFollower:
    """Create a follower of the site configuration that operators write.

    :param store: the platform's store.
    :param on_change: called with each new configuration.
    :param log: the log for rows that can't be decoded.
    :param on_read: called whenever the store shows that the configuration is
        the newest one.
    """

    def apply_rows(rows: Rows, revision: int) -> None:
        values = {name.key: row.value for name, row in rows.items()}
        try:
            on_change(decode_site_config(values, revision))
        except msgspec.MsgspecError as error:
            log.write(Event.ROW_UNREADABLE, detail=str(error))

    return TableFollower(
        store, OPERATOR_TABLE, apply_rows, log, on_read=on_read
    )


def make_agent_follower(
    store: RowStoreClient,
    on_change: Callable[[tuple[AnnouncedAgent, ...]], None],
    log: EventLog,
) -> TableFollower:
    """Create a follower of the agents' rows.

    :param store: the platform's store.
    :param on_change: called with all agents after each change.
    :param log: the log for rows that can't be decoded.
    """

    decoded_agents: dict[str, tuple[int, AnnouncedAgent | None]] = {}

    def decode_row(row: Row) -> AnnouncedAgent | None:
        key = row.row_key.key
        try:
            return decode_agent_row(row.value).to_announced_agent(key)
        except msgspec.MsgspecError as error:
            log.write(Event.ROW_UNREADABLE, detail=f"{key}: {error}")
            return None

    def apply_rows(rows: Rows, revision: int) -> None:
        agents = []
        for row in sorted(rows.values(), key=lambda row: row.row_key.key):
            key = row.row_key.key
            version, agent = decoded_agents.get(key, (-1, None))
            if version != row.version:
                # Only rows that changed are decoded: a fleet has many rows,
                # and few of them change at a time.
                agent = decode_row(row)
                decoded_agents[key] = (row.version, agent)
            if agent is not None:
                agents.append(agent)
        on_change(tuple(agents))

    return TableFollower(store, AGENT_TABLE, apply_rows, log)


class DurableJobFollower:
    """Follows the tables that entries use to coordinate durable jobs.

    Starts once durable jobs exist: each followed table causes requests to
    the store.
    """

    def __init__(
        self,
        store: RowStoreClient,
        durable_jobs: DurableJobDriver,
        log: EventLog,
    ) -> None:
        self._durable_jobs = durable_jobs
        self._followers = (
            TableFollower(store, MEMBER_TABLE, self._update_members, log),
            TableFollower(
                store,
                CANCEL_TABLE,
                self._update_cancellations,
                log,
                is_partitioned=True,
            ),
        )
        self._task = BackgroundTask(self._run, log)

    def start(self) -> None:
        """Start following as soon as durable jobs exist."""
        self._task.start()

    async def close(self) -> None:
        """Stop following."""
        await self._task.close()
        for follower in self._followers:
            await follower.close()

    async def _run(self) -> None:
        await self._durable_jobs.activated.wait()
        for follower in self._followers:
            follower.start()

    def _update_members(self, rows: Rows, revision: int) -> None:
        self._durable_jobs.update_members(tuple(rows.values()))

    def _update_cancellations(self, rows: Rows, revision: int) -> None:
        self._durable_jobs.apply_cancellations(tuple(rows.values()))
