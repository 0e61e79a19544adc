"""Fake of the platform's configuration table, under virtual time."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from fulmarscale.control.actions import ChangeResult
from fulmarscale.control.configuration import Configuration
from fulmarscale.control.configuration import ContractRow
from fulmarscale.control.configuration import DataCentreRow
from fulmarscale.control.entry_list import EntryList
from fulmarscale.errors import ResultCode
from fulmarscale.platform.table import TableSnapshot
from standins.virtual.history import ObservedChange

if TYPE_CHECKING:
    from fulmarscale.control.actions import RowChange
    from fulmarscale.control.entry_list import Member
    from standins.virtual.history import History

WALL_START_S = 1_800_000_000.0
"""The platform's Unix time at virtual time 0."""


class TableMode(Enum):
    """Availability of the table."""

    UP = "up"
    """Requests are answered."""
    DOWN = "down"
    """Requests are lost."""
    SLOW = "slow"
    """Requests and answers are delayed further."""
    LOSE_ANSWERS = "lose_answers"
    """Writes are applied, but their answers are lost."""


class FakeTable:
    """Versioned configuration and entry list.

    The time of each change of the configuration is recorded, so that a checker
    can look up the version in force at an earlier time.
    """

    def __init__(self, history: History) -> None:
        self._history = history
        self.mode = TableMode.UP
        """The current availability."""
        self._entry_list = EntryList(0, ())
        self._configuration = Configuration(0)
        self._applied_versions: dict[str, int] = {}
        """Row version that each applied change wrote, by change id."""
        self._change_times: list[float] = []
        """Virtual time of each configuration version, in order."""

    @property
    def configuration(self) -> Configuration:
        """The current configuration."""
        return self._configuration

    @property
    def entry_list(self) -> EntryList:
        """The current entry list."""
        return self._entry_list

    def version_at(self, time: float) -> int:
        """Return the configuration version in force at a virtual time."""
        return sum(changed <= time for changed in self._change_times)

    def read(
        self, started_at: float | None, known_version: int, now: float
    ) -> TableSnapshot:
        """Return a snapshot of all rows.

        :param started_at: the reader's clock when it sent the request.
        :param known_version: the configuration version that the reader has;
            the configuration is included only if it is newer.
        :param now: the virtual time.
        :returns: the snapshot.
        """
        newer = self._configuration.version > known_version
        return TableSnapshot(
            started_at=started_at,
            wall_time_s=WALL_START_S + now,
            entry_list=self._entry_list,
            configuration_version=self._configuration.version,
            configuration=self._configuration if newer else None,
        )

    def write_entry_list(
        self, expected_version: int, members: tuple[Member, ...]
    ) -> None:
        """Replace the entry list if its version is the expected one.

        :param expected_version: the version that the writer has read.
        :param members: the new members.
        """
        if self._entry_list.version == expected_version:
            self._entry_list = EntryList(expected_version + 1, members)

    def write_change(self, change: RowChange, now: float) -> ChangeResult:
        """Apply an operator's change at most once.

        A change id that was applied before is answered with the version
        that it wrote.

        :param change: the change.
        :param now: the virtual time.
        :returns: the result, with the current configuration.
        """
        applied_version = self._applied_versions.get(change.change_id)
        if applied_version is not None:
            return ChangeResult(
                ResultCode.OK, applied_version, self._configuration
            )
        version = self._row_version(change)
        if version != change.expected_version:
            return ChangeResult(
                ResultCode.VERSION_CONFLICT, version, self._configuration
            )
        self._apply_change(change, version + 1, now)
        self._applied_versions[change.change_id] = version + 1
        return ChangeResult(ResultCode.OK, version + 1, self._configuration)

    def _row_version(self, change: RowChange) -> int:
        row: ContractRow | DataCentreRow | None = None
        if change.customer is not None:
            row = self._configuration.contract(change.customer)
        elif change.data_centre is not None:
            row = self._configuration.data_centre(change.data_centre)
        return row.version if row is not None else 0

    def _apply_change(
        self, change: RowChange, version: int, now: float
    ) -> None:
        old = self._configuration
        contracts = {row.name: row for row in old.contracts}
        data_centres = {row.name: row for row in old.data_centres}
        if change.customer is not None and change.contract is not None:
            row = ContractRow(change.customer, version, change.contract)
            contracts[change.customer] = row
        if change.data_centre is not None and change.state is not None:
            name = change.data_centre
            data_centres[name] = DataCentreRow(name, version, change.state)
            observed = ObservedChange(now, name, change.state)
            self._history.changes.append(observed)
        self._configuration = Configuration(
            old.version + 1,
            tuple(contracts[name] for name in sorted(contracts)),
            tuple(data_centres[name] for name in sorted(data_centres)),
        )
        self._change_times.append(now)
