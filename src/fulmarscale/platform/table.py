"""Interface of a client of the platform's table service."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

import msgspec

from fulmarscale.control.configuration import Configuration
from fulmarscale.control.entry_list import EntryList
from fulmarscale.control.entry_list import Member

if TYPE_CHECKING:
    from fulmarscale.control.actions import ChangeResult
    from fulmarscale.control.actions import RowChange


class TableSnapshot(msgspec.Struct, frozen=True):
    """A snapshot of the table, read in one transaction."""

    started_at: float | None
    """Monotonic time in seconds when the read began; none after a write."""
    wall_time_s: float
    """The platform's Unix time at the read, in seconds."""
    entry_list: EntryList
    """The entry list."""
    configuration_version: int
    """The version of the configuration row."""
    configuration: Configuration | None
    """The configuration; none if it is no newer than the known version."""


class TableClient(ABC):
    """A client of the platform's table service.

    Every method raises `FulmarError` with STORE_UNAVAILABLE if no response
    was received; a write may have been applied nevertheless.
    """

    @abstractmethod
    async def start(self) -> None:
        """Open connections."""

    @abstractmethod
    async def close(self) -> None:
        """Close connections."""

    @abstractmethod
    async def read(
        self, started_at: float | None, known_version: int
    ) -> TableSnapshot:
        """Read the entry list and, if it is newer, the configuration.

        :param started_at: monotonic time in seconds, copied to the result.
        :param known_version: the configuration version that the caller has.
        """

    @abstractmethod
    async def write_entry_list(
        self, expected_version: int, members: tuple[Member, ...]
    ) -> bool:
        """Replace the entry list.

        :param expected_version: the version that the list must have.
        :param members: the new list.
        :returns: whether it had that version and was replaced.
        """

    @abstractmethod
    async def write_change(self, change: RowChange) -> ChangeResult:
        """Apply an operator's change and increment the configuration version.

        Applying the same change again has no effect.

        :param change: the change.
        :returns: OK or VERSION_CONFLICT, with the row's version.
        """
