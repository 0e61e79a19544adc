"""The configuration of a site: contracts and states of data centres."""

from __future__ import annotations

from enum import Enum
from typing import Annotated

import msgspec

from fulmarscale.ids import CustomerName
from fulmarscale.ids import DataCentreName

Positive = Annotated[int, msgspec.Meta(gt=0, le=10_000_000)]
"""A positive number of a bounded size."""

KeyHash = Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{64}$")]
"""The SHA-256 hash of a key, in hex."""


class DataCentreState(Enum):
    """Whether tasks may start in a data centre."""

    IN = "in"
    OUT = "out"


class Contract(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """A customer's limits, and the response time promised to it."""

    rate: Positive
    """Tasks that the customer may submit each second."""
    burst: Positive
    """Tasks that the customer may submit at once."""
    largest_job: Positive
    """Limit of tasks in one job."""
    response_time_ms: Positive
    """The promised response time."""
    response_share: Annotated[float, msgspec.Meta(gt=0, lt=1)]
    """The share of jobs for which the response time is promised."""
    non_idempotent_kinds: tuple[str, ...] = ()
    """Kinds that must not be submitted as idempotent."""
    key_hashes: Annotated[
        tuple[KeyHash, ...], msgspec.Meta(min_length=1, max_length=16)
    ]
    """The hashes of the customer's keys."""


class ContractRow(msgspec.Struct, frozen=True):
    """A contract as it is stored."""

    name: CustomerName
    """The customer."""
    version: int
    """The version of the row."""
    contract: Contract
    """The contract."""


class DataCentreRow(msgspec.Struct, frozen=True):
    """The state of a data centre as it is stored."""

    name: DataCentreName
    """The data centre."""
    version: int
    """The version of the row."""
    state: DataCentreState
    """The state of the data centre."""


class Configuration(msgspec.Struct, frozen=True):
    """One version of the configuration that operators have set."""

    version: int
    """The version of the configuration row; 0 if there is none yet."""
    contracts: tuple[ContractRow, ...] = ()
    """All contracts by name."""
    data_centres: tuple[DataCentreRow, ...] = ()
    """All data centres by name."""

    def contract(self, customer: CustomerName) -> ContractRow | None:
        """Return a customer's contract; none if it has none."""
        for row in self.contracts:
            if row.name == customer:
                return row
        return None

    def data_centre(self, name: DataCentreName) -> DataCentreRow | None:
        """Return the state of a data centre; none if it was never set."""
        for row in self.data_centres:
            if row.name == name:
                return row
        return None

    @property
    def closed_data_centres(self) -> tuple[DataCentreName, ...]:
        """The data centres in which no tasks may start."""
        return tuple(
            row.name
            for row in self.data_centres
            if row.state is DataCentreState.OUT
        )
