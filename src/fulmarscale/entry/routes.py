"""The routes of an entry's HTTP interface."""

from __future__ import annotations

import time
from typing import Any
from typing import TYPE_CHECKING
import uuid

from litestar import delete
from litestar import get
from litestar import Litestar
from litestar import post
from litestar import put
from litestar import Request
from litestar import Response
import msgspec

from fulmarscale import VERSION
from fulmarscale.control.actions import RowChange
from fulmarscale.control.configuration import Contract
from fulmarscale.control.configuration import DataCentreState
from fulmarscale.entry.http import HttpSide
from fulmarscale.entry.http import JSON
from fulmarscale.entry.http import VersionConflictError
from fulmarscale.entry.receive import MALFORMED
from fulmarscale.entry.status import describe
from fulmarscale.errors import FulmarError
from fulmarscale.errors import ResultCode
from fulmarscale.ids import CustomerName
from fulmarscale.ids import DataCentreName
from fulmarscale.settings import Name
from fulmarscale.wire.messages import AgentState
from fulmarscale.wire.messages import CallKind

if TYPE_CHECKING:
    pass


class DataCentreBody(msgspec.Struct, forbid_unknown_fields=True):
    """The state of a data centre as an operator sends it."""

    state: DataCentreState
    """The new state."""


class AgentBody(msgspec.Struct, forbid_unknown_fields=True):
    """The state of an agent as an operator sends it."""

    state: AgentState
    """The new state."""


def make_app(side: HttpSide, limits_bytes: int) -> Litestar:
    """Make the application.

    :param side: what the handlers share.
    :param limits_bytes: the largest body that is read at all.
    """
    return Litestar(
        route_handlers=[
            *_job_routes(side),
            *_contract_routes(side),
            *_data_centre_routes(side),
            *_status_routes(side),
        ],
        exception_handlers={Exception: side.handle_error},
        logging_config=None,
        openapi_config=None,
        request_max_body_size=limits_bytes + 1,
    )


def _job_routes(side: HttpSide) -> list[Any]:
    @post("/v1/jobs", status_code=200)
    async def submit_job(request: Request) -> Response[bytes]:
        row = side.customer(request)
        body = await side.read_body(request)
        submission_id = request.headers.get("idempotency-key")
        return await side.submit(row, submission_id, body)

    @get("/v1/jobs/{submission_id:str}")
    async def show_job(
        request: Request, submission_id: str
    ) -> Response[bytes]:
        row = side.customer(request)
        return await side.ask(CallKind.SHOW, row, submission_id)

    @delete("/v1/jobs/{submission_id:str}", status_code=200)
    async def cancel_job(
        request: Request, submission_id: str
    ) -> Response[bytes]:
        row = side.customer(request)
        return await side.ask(CallKind.CANCEL, row, submission_id)

    @post("/v1/submission-ids", status_code=200)
    async def mint_ids(request: Request, count: int = 1) -> Response[bytes]:
        side.customer(request)
        return _json_response({"ids": side.mint(count)})

    return [submit_job, show_job, cancel_job, mint_ids]


def _contract_routes(side: HttpSide) -> list[Any]:
    @get("/v1/contracts")
    async def list_contracts(request: Request) -> Response[bytes]:
        side.check_operator(request)
        return _json_response({"contracts": side.configuration.contracts})

    @get("/v1/contracts/{customer:str}")
    async def show_contract(
        request: Request, customer: str
    ) -> Response[bytes]:
        side.check_operator(request)
        row = side.configuration.contract(CustomerName(customer))
        if row is None:
            raise _not_found(customer)
        return _json_response(row.contract, version=row.version)

    @put("/v1/contracts/{customer:str}")
    async def set_contract(request: Request, customer: str) -> Response[bytes]:
        side.check_operator(request)
        _check_name(customer)
        expected = _expected_version(request)
        contract = _decode(await side.read_body(request), Contract)
        version = await side.change(
            RowChange(
                change_id=uuid.uuid4().hex,
                customer=CustomerName(customer),
                contract=contract,
                expected_version=expected,
            )
        )
        return _json_response(contract, version, side.in_force_ms)

    return [list_contracts, show_contract, set_contract]


def _data_centre_routes(side: HttpSide) -> list[Any]:
    @get("/v1/data-centres")
    async def list_data_centres(request: Request) -> Response[bytes]:
        side.check_operator(request)
        rows = side.configuration.data_centres
        return _json_response({"data_centres": rows})

    @get("/v1/data-centres/{name:str}")
    async def show_data_centre(request: Request, name: str) -> Response[bytes]:
        side.check_operator(request)
        row = side.configuration.data_centre(DataCentreName(name))
        if row is None:
            raise _not_found(name)
        return _json_response({"state": row.state}, version=row.version)

    @put("/v1/data-centres/{name:str}")
    async def set_data_centre(request: Request, name: str) -> Response[bytes]:
        side.check_operator(request)
        _check_name(name)
        expected = _expected_version(request)
        body = _decode(await side.read_body(request), DataCentreBody)
        version = await side.change(
            RowChange(
                change_id=uuid.uuid4().hex,
                data_centre=DataCentreName(name),
                state=body.state,
                expected_version=expected,
            )
        )
        return _json_response(body, version, side.in_force_ms)

    return [list_data_centres, show_data_centre, set_data_centre]


def _status_routes(side: HttpSide) -> list[Any]:
    @get("/v1/status")
    async def show_status(request: Request) -> Response[bytes]:
        side.check_operator(request)
        status = describe(side.process.core, time.monotonic(), VERSION)
        return _json_response(status)

    @put("/v1/agents/{name:str}")
    async def set_agent(request: Request, name: str) -> Response[bytes]:
        side.check_operator(request)
        body = _decode(await side.read_body(request), AgentBody)
        draining = body.state is AgentState.DRAINING
        side.process.drain_agent(name, draining=draining)
        return _json_response(body)

    @post("/v1/entries/{name:str}/forget", status_code=200)
    async def forget_entry(request: Request, name: str) -> Response[bytes]:
        side.check_operator(request)
        side.process.forget_entry(name)
        return _json_response({"forgotten": name})

    @get("/metrics")
    async def show_metrics() -> Response[bytes]:
        return Response(side.metrics.render(), media_type="text/plain")

    @get("/healthz")
    async def show_health() -> Response[bytes]:
        return _json_response({"healthy": True})

    @get("/readyz")
    async def show_readiness() -> Response[bytes]:
        ready = side.process.is_ready
        return Response(
            content=msgspec.json.encode({"ready": ready}),
            status_code=200 if ready else 503,
            media_type=JSON,
        )

    return [
        show_status,
        set_agent,
        forget_entry,
        show_metrics,
        show_health,
        show_readiness,
    ]


def _json_response(
    content: object, version: int | None = None, in_force_ms: int = 0
) -> Response[bytes]:
    headers = {}
    if version is not None:
        headers["etag"] = f'"{version}"'
    if in_force_ms:
        headers["fulmarscale-in-force-ms"] = str(in_force_ms)
    return Response(
        content=msgspec.json.encode(content),
        media_type=JSON,
        headers=headers,
    )


def _expected_version(request: Request) -> int:
    if request.headers.get("if-none-match", "").strip() == "*":
        return 0
    text = request.headers.get("if-match")
    if text is None:
        raise FulmarError(
            ResultCode.VERSION_MISSING,
            "send If-Match with the version, or If-None-Match: *",
        )
    digits = text.strip().strip('"')
    if not digits.isdecimal():
        raise VersionConflictError(0)
    return int(digits)


def _check_name(name: str) -> None:
    try:
        msgspec.convert(name, Name)
    except msgspec.ValidationError as error:
        detail = f"not a name: {error}"
        raise FulmarError(ResultCode.CONTRACT_INVALID, detail) from error


def _decode(body: bytes, kind: Any) -> Any:
    try:
        return msgspec.json.decode(body, type=kind)
    except MALFORMED as error:
        raise FulmarError(ResultCode.CONTRACT_INVALID, str(error)) from error


def _not_found(name: str) -> FulmarError:
    return FulmarError(ResultCode.ROW_NOT_FOUND, f"there is no {name}")
