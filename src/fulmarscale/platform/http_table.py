"""The platform's table service over HTTP."""

from __future__ import annotations

import ssl
from typing import Any
from typing import Final

import httpx
import msgspec

from fulmarscale.control.actions import ChangeResult
from fulmarscale.control.actions import RowChange
from fulmarscale.control.configuration import Configuration
from fulmarscale.control.configuration import Contract
from fulmarscale.control.configuration import ContractRow
from fulmarscale.control.configuration import DataCentreRow
from fulmarscale.control.configuration import DataCentreState
from fulmarscale.control.entry_list import EntryList
from fulmarscale.control.entry_list import Member
from fulmarscale.errors import FulmarError
from fulmarscale.errors import ResultCode
from fulmarscale.ids import CustomerName
from fulmarscale.ids import DataCentreName
from fulmarscale.platform.table import Table
from fulmarscale.platform.table import TableReading

ENTRIES_KEY: Final = "fulmarscale/entries"
CONFIGURATION_KEY: Final = "fulmarscale/configuration"
CONTRACT_PREFIX: Final = "fulmarscale/contract/"
DATA_CENTRE_PREFIX: Final = "fulmarscale/data-centre/"
CONFIGURATION_READS: Final = (
    CONFIGURATION_KEY,
    CONTRACT_PREFIX,
    DATA_CENTRE_PREFIX,
)
TRANSACTION_PATH: Final = "/v1/transactions"

KEPT_CHANGE_IDS: Final = 8
"""Ids of past changes kept in a row, to recognise a repeated write."""


class TableCheck(msgspec.Struct, frozen=True):
    """A version that a row must have for a transaction to take effect."""

    key: str
    """The row."""
    version: int
    """The version; 0 if the row must not exist."""


class TableWrite(msgspec.Struct, frozen=True):
    """A row to be written."""

    key: str
    """The row."""
    value: msgspec.Raw
    """The new value, as JSON."""


class Transaction(msgspec.Struct, frozen=True):
    """A request to the table service."""

    reads: tuple[str, ...] = ()
    """Keys to read; those that end in a slash name all rows below."""
    checks: tuple[TableCheck, ...] = ()
    """Versions that must hold."""
    writes: tuple[TableWrite, ...] = ()
    """Rows to write, all or none."""


class TableRow(msgspec.Struct, frozen=True):
    """A row as read."""

    key: str
    """The row."""
    version: int
    """Its version, from 1."""
    value: msgspec.Raw
    """Its value, as JSON."""


class TransactionAnswer(msgspec.Struct, frozen=True):
    """The table service's answer."""

    time: float
    """The platform's Unix time in seconds."""
    committed: bool
    """Whether all checks held and all writes took effect."""
    rows: tuple[TableRow, ...]
    """The rows read, as they are after the writes."""

    def find(self, key: str) -> TableRow | None:
        """Find a row."""
        for row in self.rows:
            if row.key == key:
                return row
        return None


class StoredContract(msgspec.Struct, frozen=True):
    """The value of a contract's row."""

    contract: Contract
    """The contract."""
    change_ids: tuple[str, ...] = ()
    """The changes that made the last versions."""


class StoredDataCentre(msgspec.Struct, frozen=True):
    """The value of a data centre's row."""

    state: DataCentreState
    """The state."""
    change_ids: tuple[str, ...] = ()
    """The changes that made the last versions."""


class HttpTable(Table):
    """A client of the table service over HTTP."""

    def __init__(
        self, url: str, timeout_s: float, authority: str | None = None
    ) -> None:
        self._url = url
        self._timeout_s = timeout_s
        self._authority = authority
        self._client: httpx.AsyncClient | None = None

    async def start(self) -> None:
        """Open connections."""
        context = ssl.create_default_context(cafile=self._authority)
        self._client = httpx.AsyncClient(
            base_url=self._url, timeout=self._timeout_s, verify=context
        )

    async def close(self) -> None:
        """Close connections."""
        if self._client is not None:
            await self._client.aclose()

    async def read(
        self, started_at: float | None, known_version: int
    ) -> TableReading:
        """Read the entry list and, if it is newer, the configuration."""
        reads: tuple[str, ...] = (ENTRIES_KEY, CONFIGURATION_KEY)
        answer = await self._transact(Transaction(reads=reads))
        row = answer.find(CONFIGURATION_KEY)
        if row is not None and row.version > known_version:
            reads = (ENTRIES_KEY, *CONFIGURATION_READS)
            answer = await self._transact(Transaction(reads=reads))
            return _reading(answer, started_at, with_configuration=True)
        return _reading(answer, started_at, with_configuration=False)

    async def write_entry_list(
        self, expected_version: int, members: tuple[Member, ...]
    ) -> bool:
        """Replace the entry list, if it has the expected version."""
        value = msgspec.Raw(msgspec.json.encode(members))
        answer = await self._transact(
            Transaction(
                checks=(TableCheck(ENTRIES_KEY, expected_version),),
                writes=(TableWrite(ENTRIES_KEY, value),),
            )
        )
        return answer.committed

    async def write_change(self, change: RowChange) -> ChangeResult:
        """Write an operator's change; repeating it is idempotent."""
        before = await self._transact(Transaction(reads=CONFIGURATION_READS))
        key = _row_key(change)
        row = before.find(key)
        version = row.version if row is not None else 0
        if version != change.expected_version:
            return _result_of(change, before)
        new_value = _row_value(change, _change_ids(row))
        change_value = msgspec.Raw(msgspec.json.encode(change.change_id))
        after = await self._transact(
            Transaction(
                reads=CONFIGURATION_READS,
                checks=(TableCheck(key, version),),
                writes=(
                    TableWrite(key, new_value),
                    TableWrite(CONFIGURATION_KEY, change_value),
                ),
            )
        )
        return _result_of(change, after)

    async def _transact(self, transaction: Transaction) -> TransactionAnswer:
        if self._client is None:
            raise FulmarError(ResultCode.STORE_UNAVAILABLE, "not started")
        try:
            response = await self._client.post(
                TRANSACTION_PATH, content=msgspec.json.encode(transaction)
            )
            response.raise_for_status()
            return msgspec.json.decode(
                response.content, type=TransactionAnswer
            )
        except (httpx.HTTPError, msgspec.MsgspecError) as error:
            detail = type(error).__name__
            raise FulmarError(ResultCode.STORE_UNAVAILABLE, detail) from error


def _reading(
    answer: TransactionAnswer,
    started_at: float | None,
    *,
    with_configuration: bool,
) -> TableReading:
    entries = answer.find(ENTRIES_KEY)
    entry_list = EntryList(0, ())
    if entries is not None:
        members = _decode(entries.value, tuple[Member, ...])
        entry_list = EntryList(entries.version, members)
    configuration = _configuration(answer)
    return TableReading(
        started_at=started_at,
        wall_time_s=answer.time,
        entry_list=entry_list,
        configuration_version=configuration.version,
        configuration=configuration if with_configuration else None,
    )


def _configuration(answer: TransactionAnswer) -> Configuration:
    row = answer.find(CONFIGURATION_KEY)
    version = row.version if row is not None else 0
    contracts = []
    data_centres = []
    for row in answer.rows:
        if row.key.startswith(CONTRACT_PREFIX):
            name = row.key.removeprefix(CONTRACT_PREFIX)
            stored = _decode(row.value, StoredContract)
            contracts.append(
                ContractRow(CustomerName(name), row.version, stored.contract)
            )
        elif row.key.startswith(DATA_CENTRE_PREFIX):
            name = row.key.removeprefix(DATA_CENTRE_PREFIX)
            state = _decode(row.value, StoredDataCentre).state
            data_centres.append(
                DataCentreRow(DataCentreName(name), row.version, state)
            )
    contracts.sort(key=lambda found: found.name)
    data_centres.sort(key=lambda found: found.name)
    return Configuration(version, tuple(contracts), tuple(data_centres))


def _row_key(change: RowChange) -> str:
    if change.customer is not None:
        return f"{CONTRACT_PREFIX}{change.customer}"
    return f"{DATA_CENTRE_PREFIX}{change.data_centre}"


def _change_ids(row: TableRow | None) -> tuple[str, ...]:
    if row is None:
        return ()
    if row.key.startswith(CONTRACT_PREFIX):
        return _decode(row.value, StoredContract).change_ids
    return _decode(row.value, StoredDataCentre).change_ids


def _row_value(change: RowChange, known: tuple[str, ...]) -> msgspec.Raw:
    change_ids = (*known, change.change_id)[-KEPT_CHANGE_IDS:]
    stored: StoredContract | StoredDataCentre
    if change.contract is not None:
        stored = StoredContract(change.contract, change_ids)
    elif change.state is not None:
        stored = StoredDataCentre(change.state, change_ids)
    else:
        raise FulmarError(ResultCode.CONTRACT_INVALID, "an empty change")
    return msgspec.Raw(msgspec.json.encode(stored))


def _result_of(change: RowChange, answer: TransactionAnswer) -> ChangeResult:
    row = answer.find(_row_key(change))
    version = row.version if row is not None else 0
    made = change.change_id in _change_ids(row)
    code = ResultCode.OK if made else ResultCode.VERSION_CONFLICT
    return ChangeResult(code, version, _configuration(answer))


def _decode(value: msgspec.Raw, kind: Any) -> Any:
    return msgspec.json.decode(value, type=kind)
