"""Searches the store for durable jobs while an entry knows of none.

Such an entry has no lease and follows no table. Other entries may have
accepted durable jobs, and may be gone since.
"""

from __future__ import annotations

import asyncio
from typing import Final
from typing import TYPE_CHECKING

from fulmarscale.entry.durable.record import RECORD_TABLE
from fulmarscale.errors import FulmarError
from fulmarscale.events import Event
from fulmarscale.runs.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarscale.entry.durable.rows import RowTable
    from fulmarscale.logs import EventLog

SEARCH_INTERVAL_S: Final = 4.0
"""Time between queries to the store; each is one call.

With the time until a lost owner's jobs are taken over and their runs have
ended, it bounds how long the first durable jobs of a site stand still.
"""

RETRY_INTERVAL_S: Final = 1.0
"""Least time between two queries, one of which got no answer."""


class DurableJobSearch:
    """Queries the store for whether durable jobs exist.

    :param rows: the store.
    :param on_answer: called with whether there are any.
    :param log: the log for queries without an answer.
    """

    def __init__(
        self, rows: RowTable, on_answer: Callable[[bool], None], log: EventLog
    ) -> None:
        self._rows = rows
        self._on_answer = on_answer
        self._log = log
        self._has_found = False
        self._answered_at = float("-inf")

    async def run(self) -> None:
        """Query the store until there are durable jobs."""
        while not self._has_found:
            is_answered = await self.query()
            await asyncio.sleep(
                SEARCH_INTERVAL_S if is_answered else RETRY_INTERVAL_S
            )

    async def query_if_stale(self) -> None:
        """Query the store, unless it has just answered."""
        if boottime_s() - self._answered_at > RETRY_INTERVAL_S:
            await self.query()

    async def query(self) -> bool:
        """Query the store once.

        :returns: whether it answered.
        """
        try:
            jobs_exist = bool(await self._rows.list_parts(RECORD_TABLE))
        except FulmarError as error:
            self._log.write(
                Event.STORE_LOST, table=RECORD_TABLE, detail=error.detail
            )
            return False
        self._answered_at = boottime_s()
        if not self._has_found:
            self._has_found = jobs_exist
            self._on_answer(jobs_exist)
        return True

    def stop(self) -> None:
        """End the search, as durable jobs are known to exist."""
        self._has_found = True
