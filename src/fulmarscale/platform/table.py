"""The platform's table service, as the system uses it."""

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


class TableReading(msgspec.Struct, frozen=True):
    """What the table holds, read in one transaction."""

    started_at: float | None
    """Monotonic time when the read began; none after a write."""
    wall_time_s: float
    """The platform's Unix time at the read."""
    entry_list: EntryList
    """The entry list."""
    configuration_version: int
    """The version of the configuration row."""
    configuration: Configuration | None
    """The configuration, if newer than the version that was named."""


class Table(ABC):
    """A client of the platform's table service.

    Every method raises `FulmarError` with STORE_UNAVAILABLE when no answer
    came; a write may then have taken effect all the same.
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
    ) -> TableReading:
        """Read the entry list and, if it is newer, the configuration.

        :param started_at: monotonic time, returned in the reading.
        :param known_version: the configuration version that is known.
        """

    @abstractmethod
    async def write_entry_list(
        self, expected_version: int, members: tuple[Member, ...]
    ) -> bool:
        """Replace the entry list.

        :param expected_version: the version the list must still have.
        :param members: the new list.
        :returns: whether it had that version.
        """

    @abstractmethod
    async def write_change(self, change: RowChange) -> ChangeResult:
        """Write an operator's change and raise the configuration version.

        Writing the same change again is idempotent.

        :param change: the change.
        :returns: OK or VERSION_CONFLICT, with the row's version.
        """
