"""Client of the platform's table service over HTTP."""

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
from fulmarscale.decoding import decode_json
from fulmarscale.errors import FulmarError
from fulmarscale.errors import ResultCode
from fulmarscale.ids import CustomerName
from fulmarscale.ids import DataCentreName
from fulmarscale.platform.table import TableClient
from fulmarscale.platform.table import TableSnapshot

ENTRY_LIST_KEY: Final = "fulmarscale/entries"
CONFIGURATION_KEY: Final = "fulmarscale/configuration"
"""Row written with every change, whose version is the configuration's."""

CONTRACT_PREFIX: Final = "fulmarscale/contract/"
DATA_CENTRE_PREFIX: Final = "fulmarscale/data-centre/"
CONFIGURATION_KEYS: Final = (
    CONFIGURATION_KEY,
    CONTRACT_PREFIX,
    DATA_CENTRE_PREFIX,
)
"""Keys and prefixes of all rows of the configuration."""

TRANSACTION_PATH: Final = "/v1/transactions"

MAX_CHANGE_IDS: Final = 8
"""Ids of the latest changes stored in a row, to detect a repeated write."""


class TableCheck(msgspec.Struct, frozen=True):
    """A precondition of a transaction: the version of a row."""

    key: str
    """The row's key."""
    version: int
    """The version that the row must have; 0 if it must not exist."""


class TableWrite(msgspec.Struct, frozen=True):
    """A row to write."""

    key: str
    """The row's key."""
    value: msgspec.Raw
    """The new value, as JSON."""


class Transaction(msgspec.Struct, frozen=True):
    """A request to the table service: an atomic transaction."""

    reads: tuple[str, ...] = ()
    """Keys to read; a key that ends in a slash is a prefix of keys."""
    checks: tuple[TableCheck, ...] = ()
    """Preconditions of the writes."""
    writes: tuple[TableWrite, ...] = ()
    """Rows to write, all or none of them."""


class TableRow(msgspec.Struct, frozen=True):
    """A row as the table service returns it."""

    key: str
    """The row's key."""
    version: int
    """The version, counted from 1."""
    value: msgspec.Raw
    """The value, as JSON."""


class TransactionResponse(msgspec.Struct, frozen=True):
    """The table service's response to a transaction."""

    time: float
    """The platform's Unix time in seconds."""
    committed: bool
    """Whether all preconditions held and all writes were applied."""
    rows: tuple[TableRow, ...]
    """The rows read, as of after the writes."""

    def find(self, key: str) -> TableRow | None:
        """Return the row with a key; none if it was not read."""
        for row in self.rows:
            if row.key == key:
                return row
        return None


class StoredContract(msgspec.Struct, frozen=True):
    """The value of a contract's row."""

    contract: Contract
    """The contract."""
    change_ids: tuple[str, ...] = ()
    """Ids of the changes that produced the latest versions."""


class StoredDataCentre(msgspec.Struct, frozen=True):
    """The value of a data centre's row."""

    state: DataCentreState
    """The state."""
    change_ids: tuple[str, ...] = ()
    """Ids of the changes that produced the latest versions."""


class HttpTableClient(TableClient):
    """Client of the table service over HTTP."""

    def __init__(
        self, url: str, timeout_s: float, ca_path: str | None = None
    ) -> None:
        self._url = url
        self._timeout_s = timeout_s
        self._ca_path = ca_path
        self._client: httpx.AsyncClient | None = None

    async def start(self) -> None:
        """Open connections."""
        context = ssl.create_default_context(cafile=self._ca_path)
        self._client = httpx.AsyncClient(
            base_url=self._url, timeout=self._timeout_s, verify=context
        )

    async def close(self) -> None:
        """Close connections."""
        if self._client is not None:
            await self._client.aclose()

    async def read(
        self, started_at: float | None, known_version: int
    ) -> TableSnapshot:
        """Read the entry list and, if it is newer, the configuration."""
        reads: tuple[str, ...] = (ENTRY_LIST_KEY, CONFIGURATION_KEY)
        response = await self._transact(Transaction(reads=reads))
        row = response.find(CONFIGURATION_KEY)
        if row is not None and row.version > known_version:
            reads = (ENTRY_LIST_KEY, *CONFIGURATION_KEYS)
            response = await self._transact(Transaction(reads=reads))
            return _to_table_snapshot(
                response, started_at, with_configuration=True
            )
        return _to_table_snapshot(
            response, started_at, with_configuration=False
        )

    async def write_entry_list(
        self, expected_version: int, members: tuple[Member, ...]
    ) -> bool:
        """Replace the entry list, if it has the expected version."""
        value = msgspec.Raw(msgspec.json.encode(members))
        response = await self._transact(
            Transaction(
                checks=(TableCheck(ENTRY_LIST_KEY, expected_version),),
                writes=(TableWrite(ENTRY_LIST_KEY, value),),
            )
        )
        return response.committed

    async def write_change(self, change: RowChange) -> ChangeResult:
        """Apply an operator's change; idempotent by the change's id."""
        before = await self._transact(Transaction(reads=CONFIGURATION_KEYS))
        key = _row_key(change)
        row = before.find(key)
        version = row.version if row is not None else 0
        if version != change.expected_version:
            return _to_change_result(change, before)
        new_value = _encode_row_value(change, _decode_change_ids(row))
        change_value = msgspec.Raw(msgspec.json.encode(change.change_id))
        after = await self._transact(
            Transaction(
                reads=CONFIGURATION_KEYS,
                checks=(TableCheck(key, version),),
                writes=(
                    TableWrite(key, new_value),
                    TableWrite(CONFIGURATION_KEY, change_value),
                ),
            )
        )
        return _to_change_result(change, after)

    async def _transact(self, transaction: Transaction) -> TransactionResponse:
        if self._client is None:
            raise FulmarError(
                ResultCode.STORE_UNAVAILABLE, "the table client is not started"
            )
        try:
            response = await self._client.post(
                TRANSACTION_PATH, content=msgspec.json.encode(transaction)
            )
            response.raise_for_status()
            return decode_json(response.content, TransactionResponse)
        except (httpx.HTTPError, msgspec.MsgspecError) as error:
            detail = type(error).__name__
            raise FulmarError(ResultCode.STORE_UNAVAILABLE, detail) from error


def _to_table_snapshot(
    response: TransactionResponse,
    started_at: float | None,
    *,
    with_configuration: bool,
) -> TableSnapshot:
    entries = response.find(ENTRY_LIST_KEY)
    entry_list = EntryList(0, ())
    if entries is not None:
        members = _decode(entries.value, tuple[Member, ...])
        entry_list = EntryList(entries.version, members)
    configuration = _decode_configuration(response)
    return TableSnapshot(
        started_at=started_at,
        wall_time_s=response.time,
        entry_list=entry_list,
        configuration_version=configuration.version,
        configuration=configuration if with_configuration else None,
    )


def _decode_configuration(response: TransactionResponse) -> Configuration:
    row = response.find(CONFIGURATION_KEY)
    version = row.version if row is not None else 0
    contracts = []
    data_centres = []
    for row in response.rows:
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
    contracts.sort(key=lambda item: item.name)
    data_centres.sort(key=lambda item: item.name)
    return Configuration(version, tuple(contracts), tuple(data_centres))


def _row_key(change: RowChange) -> str:
    if change.customer is not None:
        return f"{CONTRACT_PREFIX}{change.customer}"
    return f"{DATA_CENTRE_PREFIX}{change.data_centre}"


def _decode_change_ids(row: TableRow | None) -> tuple[str, ...]:
    if row is None:
        return ()
    if row.key.startswith(CONTRACT_PREFIX):
        return _decode(row.value, StoredContract).change_ids
    return _decode(row.value, StoredDataCentre).change_ids


def _encode_row_value(
    change: RowChange, earlier_ids: tuple[str, ...]
) -> msgspec.Raw:
    change_ids = (*earlier_ids, change.change_id)[-MAX_CHANGE_IDS:]
    stored: StoredContract | StoredDataCentre
    if change.contract is not None:
        stored = StoredContract(change.contract, change_ids)
    elif change.state is not None:
        stored = StoredDataCentre(change.state, change_ids)
    else:
        raise FulmarError(
            ResultCode.CONTRACT_INVALID,
            "the change has neither a contract nor a state",
        )
    return msgspec.Raw(msgspec.json.encode(stored))


def _to_change_result(
    change: RowChange, response: TransactionResponse
) -> ChangeResult:
    """Return OK if the row holds the change's id, else VERSION_CONFLICT."""
    row = response.find(_row_key(change))
    version = row.version if row is not None else 0
    is_applied = change.change_id in _decode_change_ids(row)
    code = ResultCode.OK if is_applied else ResultCode.VERSION_CONFLICT
    return ChangeResult(code, version, _decode_configuration(response))


def _decode(value: msgspec.Raw, value_type: Any) -> Any:
    return decode_json(value, value_type)
