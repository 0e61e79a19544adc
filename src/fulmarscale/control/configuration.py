"""Contracts and states of data centres, as operators set them."""

from __future__ import annotations

from enum import Enum
from typing import Annotated

import msgspec

from fulmarscale.ids import CustomerName
from fulmarscale.ids import DataCentreName

Positive = Annotated[int, msgspec.Meta(gt=0, le=10_000_000)]
KeyHash = Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{64}$")]


class DataCentreState(Enum):
    """Whether tasks may start in a data centre."""

    IN = "in"
    OUT = "out"


class Contract(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """What a customer may ask and is owed."""

    rate: Positive
    """Tasks a second that the customer may submit."""
    burst: Positive
    """Tasks that it may submit at once."""
    largest_job: Positive
    """Tasks in one job."""
    response_time_ms: Positive
    """The response time that is promised."""
    response_share: Annotated[float, msgspec.Meta(gt=0, lt=1)]
    """The share of jobs for which it is promised."""
    non_idempotent_kinds: tuple[str, ...] = ()
    """Kinds that must not be submitted as idempotent."""
    key_hashes: Annotated[
        tuple[KeyHash, ...], msgspec.Meta(min_length=1, max_length=16)
    ]
    """SHA-256 of each key of the customer, in hex."""


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
    """Its state."""


class Configuration(msgspec.Struct, frozen=True):
    """All that operators have set, at one version."""

    version: int
    """The version of the configuration row; 0 before the first."""
    contracts: tuple[ContractRow, ...] = ()
    """All contracts by name."""
    data_centres: tuple[DataCentreRow, ...] = ()
    """All data centres by name."""

    def contract(self, customer: CustomerName) -> ContractRow | None:
        """Find a customer's contract."""
        for row in self.contracts:
            if row.name == customer:
                return row
        return None

    def data_centre(self, name: DataCentreName) -> DataCentreRow | None:
        """Find the state of a data centre."""
        for row in self.data_centres:
            if row.name == name:
                return row
        return None

    @property
    def closed(self) -> tuple[DataCentreName, ...]:
        """The data centres that are out."""
        return tuple(
            row.name
            for row in self.data_centres
            if row.state is DataCentreState.OUT
        )
