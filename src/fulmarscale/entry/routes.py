"""The routes of an entry's HTTP interface.

Customers use `/v1/jobs` and `/v1/submission-ids`, operators the other routes
under `/v1`, and monitoring and the load balancer `/metrics`, `/healthz` and
`/readyz`.
"""

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
from fulmarscale.entry.http import HttpApi
from fulmarscale.entry.http import JSON
from fulmarscale.entry.http import VersionConflictError
from fulmarscale.entry.request_validation import DECODE_ERRORS
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
    """The request body that sets the state of a data centre."""

    state: DataCentreState
    """The new state."""


class AgentBody(msgspec.Struct, forbid_unknown_fields=True):
    """The request body that sets the state of an agent."""

    state: AgentState
    """The new state."""


def make_app(api: HttpApi, max_body_bytes: int) -> Litestar:
    """Return the ASGI application.

    :param api: the operations behind the routes.
    :param max_body_bytes: the largest request body that is read.
    """
    return Litestar(
        route_handlers=[
            *_job_routes(api),
            *_contract_routes(api),
            *_data_centre_routes(api),
            *_status_routes(api),
        ],
        exception_handlers={Exception: api.handle_error},
        logging_config=None,
        openapi_config=None,
        request_max_body_size=max_body_bytes + 1,
    )


def _job_routes(api: HttpApi) -> list[Any]:
    @post("/v1/jobs", status_code=200)
    async def submit_job(request: Request) -> Response[bytes]:
        row = api.authenticate_customer(request)
        body = await api.read_body(request)
        submission_id = request.headers.get("idempotency-key")
        return await api.submit(row, submission_id, body)

    @get("/v1/jobs/{submission_id:str}")
    async def show_job(
        request: Request, submission_id: str
    ) -> Response[bytes]:
        row = api.authenticate_customer(request)
        return await api.show_or_cancel(CallKind.SHOW, row, submission_id)

    @delete("/v1/jobs/{submission_id:str}", status_code=200)
    async def cancel_job(
        request: Request, submission_id: str
    ) -> Response[bytes]:
        row = api.authenticate_customer(request)
        return await api.show_or_cancel(CallKind.CANCEL, row, submission_id)

    @post("/v1/submission-ids", status_code=200)
    async def mint_ids(request: Request, count: int = 1) -> Response[bytes]:
        api.authenticate_customer(request)
        return _json_response({"ids": api.mint(count)})

    return [submit_job, show_job, cancel_job, mint_ids]


def _contract_routes(api: HttpApi) -> list[Any]:
    @get("/v1/contracts")
    async def list_contracts(request: Request) -> Response[bytes]:
        api.authenticate_operator(request)
        return _json_response({"contracts": api.configuration.contracts})

    @get("/v1/contracts/{customer:str}")
    async def show_contract(
        request: Request, customer: str
    ) -> Response[bytes]:
        api.authenticate_operator(request)
        row = api.configuration.contract(CustomerName(customer))
        if row is None:
            raise _not_found(customer)
        return _json_response(row.contract, version=row.version)

    @put("/v1/contracts/{customer:str}")
    async def set_contract(request: Request, customer: str) -> Response[bytes]:
        api.authenticate_operator(request)
        _check_name(customer)
        expected = _expected_version(request)
        contract = _decode(await api.read_body(request), Contract)
        version = await api.apply_change(
            RowChange(
                change_id=uuid.uuid4().hex,
                customer=CustomerName(customer),
                contract=contract,
                expected_version=expected,
            )
        )
        return _json_response(contract, version, api.in_force_ms)

    return [list_contracts, show_contract, set_contract]


def _data_centre_routes(api: HttpApi) -> list[Any]:
    @get("/v1/data-centres")
    async def list_data_centres(request: Request) -> Response[bytes]:
        api.authenticate_operator(request)
        rows = api.configuration.data_centres
        return _json_response({"data_centres": rows})

    @get("/v1/data-centres/{name:str}")
    async def show_data_centre(request: Request, name: str) -> Response[bytes]:
        api.authenticate_operator(request)
        row = api.configuration.data_centre(DataCentreName(name))
        if row is None:
            raise _not_found(name)
        return _json_response({"state": row.state}, version=row.version)

    @put("/v1/data-centres/{name:str}")
    async def set_data_centre(request: Request, name: str) -> Response[bytes]:
        api.authenticate_operator(request)
        _check_name(name)
        expected = _expected_version(request)
        body = _decode(await api.read_body(request), DataCentreBody)
        version = await api.apply_change(
            RowChange(
                change_id=uuid.uuid4().hex,
                data_centre=DataCentreName(name),
                state=body.state,
                expected_version=expected,
            )
        )
        return _json_response(body, version, api.in_force_ms)

    return [list_data_centres, show_data_centre, set_data_centre]


def _status_routes(api: HttpApi) -> list[Any]:
    @get("/v1/status")
    async def show_status(request: Request) -> Response[bytes]:
        api.authenticate_operator(request)
        status = describe(api.process.core, time.monotonic(), VERSION)
        return _json_response(status)

    @put("/v1/agents/{name:str}")
    async def set_agent(request: Request, name: str) -> Response[bytes]:
        api.authenticate_operator(request)
        body = _decode(await api.read_body(request), AgentBody)
        draining = body.state is AgentState.DRAINING
        api.process.set_agent_draining(name, draining=draining)
        return _json_response(body)

    @post("/v1/entries/{name:str}/forget", status_code=200)
    async def forget_entry(request: Request, name: str) -> Response[bytes]:
        api.authenticate_operator(request)
        api.process.forget_entry(name)
        return _json_response({"forgotten": name})

    @get("/metrics")
    async def show_metrics() -> Response[bytes]:
        return Response(api.metrics.render(), media_type="text/plain")

    @get("/healthz")
    async def show_health() -> Response[bytes]:
        return _json_response({"healthy": True})

    @get("/readyz")
    async def show_readiness() -> Response[bytes]:
        ready = api.process.is_ready
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
            "If-Match with the version, or If-None-Match: *, is required",
        )
    digits = text.strip().strip('"')
    if not digits.isdecimal():
        raise VersionConflictError(0)
    return int(digits)


def _check_name(name: str) -> None:
    try:
        msgspec.convert(name, Name)
    except msgspec.ValidationError as error:
        detail = f"the name is invalid: {error}"
        raise FulmarError(ResultCode.CONTRACT_INVALID, detail) from error


def _decode(body: bytes, body_type: Any) -> Any:
    try:
        return msgspec.json.decode(body, type=body_type)
    except DECODE_ERRORS as error:
        raise FulmarError(ResultCode.CONTRACT_INVALID, str(error)) from error


def _not_found(name: str) -> FulmarError:
    return FulmarError(ResultCode.ROW_NOT_FOUND, f"{name} does not exist")
