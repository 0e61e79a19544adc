"""Settings of the programs, read from strictly validated JSON files."""

from __future__ import annotations

import ipaddress
import ssl
from typing import Annotated
from typing import Final
from typing import TYPE_CHECKING
from typing import TypeVar

import msgspec

from fulmarscale.control.timings import Timings
from fulmarscale.decoding import decode_json
from fulmarscale.entry.limits import EntryLimits
from fulmarscale.errors import FulmarError
from fulmarscale.errors import ResultCode
from fulmarscale.listeners.http_limits import RequestLimits
from fulmarscale.wire.frame_meter import StreamLimits

if TYPE_CHECKING:
    from collections.abc import Mapping
    from pathlib import Path

Name = Annotated[
    str, msgspec.Meta(pattern="^[a-z0-9][a-z0-9-]{0,62}$", max_length=63)
]
"""The name of a process, VM or data centre."""

Address = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f.:\[\]]+:[0-9]{1,5}$")]
"""IP:port."""

Url = Annotated[str, msgspec.Meta(pattern="^https?://[^/ ]+$")]
"""Scheme and authority of an HTTP URL, without a path."""

Secret = Annotated[str, msgspec.Meta(min_length=16, max_length=256)]
"""A shared secret or an API key."""

KeyHash = Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{64}$")]
"""SHA-256 of an API key, in hex."""

SizeBytes = Annotated[int, msgspec.Meta(gt=0, le=1 << 30)]
PositiveCount = Annotated[int, msgspec.Meta(gt=0, le=10_000_000)]
MemoryMb = Annotated[int, msgspec.Meta(gt=0, le=1 << 20)]
DurationS = Annotated[float, msgspec.Meta(ge=0, le=3600)]

Settings = TypeVar("Settings", bound="BaseSettings")
"""The settings of one program."""


class BaseSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Base class of all settings; unknown fields are errors."""


class TlsSettings(BaseSettings):
    """Paths of the TLS files, in PEM format."""

    certificate: str
    """This process's certificate."""
    key: str
    """The private key of the certificate."""
    authority: str
    """The CA certificate that signs the certificates of the site."""


class PlatformSettings(BaseSettings):
    """Connection to the platform's table service."""

    url: Url
    """The URL of the service."""
    timeout_s: Annotated[float, msgspec.Meta(gt=0, le=60)] = 1.0
    """Timeout of one request, in seconds."""
    authority: str | None = None
    """PEM file of the CA of the service's certificate, for https."""


class InputLimits(BaseSettings):
    """Limits on requests and connections of callers."""

    body_bytes: SizeBytes = 8 << 20
    """The largest request body."""
    payload_bytes: SizeBytes = 256 << 10
    """The largest payload of a task."""
    tasks: PositiveCount = 10_000
    """The most tasks in a job."""
    longest_deadline_ms: PositiveCount = 60_000
    """The longest deadline, in milliseconds."""
    calls: PositiveCount = 2_000
    """The most concurrent requests at an entry."""
    connections: PositiveCount = 4_000
    """The most concurrent connections to an entry."""
    body_timeout_s: DurationS = 10.0
    """Timeout for receiving a request body, in seconds."""


class EntrySettings(BaseSettings):
    """Settings of `fulmar-entry`."""

    name: Name
    """The entry's name, unique in the site."""
    data_centre: Name
    """The data centre that the entry runs in."""
    stream_address: Address
    """IP:port of the streams from agents and peers, as they reach it."""
    http_address: Address
    """IP:port of the HTTP API, as clients reach it."""
    platform: PlatformSettings
    """Connection to the platform's table service."""
    secret: Secret
    """The secret that authenticates the processes of the site."""
    operator_key_hashes: Annotated[
        tuple[KeyHash, ...], msgspec.Meta(min_length=1, max_length=16)
    ]
    """SHA-256 of each operator's API key, in hex."""
    timings: Timings = Timings()
    """Durations that safety depends on; the same in all processes."""
    limits: EntryLimits = EntryLimits()
    """Limits on the entry's records and queues."""
    input: InputLimits = InputLimits()
    """Limits on requests and connections of callers."""
    drain_s: DurationS = 1.0
    """How long a stopping entry still serves after it reports not ready.

    The load balancer needs this time, in seconds, to stop sending requests.
    """
    tls: TlsSettings | None = None
    """TLS for HTTP and streams; none for plain text."""
    memory_mb: MemoryMb | None = None
    """The VM's memory in MB, which sets the budget of requests."""
    requests: RequestLimits = RequestLimits()
    """Bounds of each HTTP request."""
    streams: StreamLimits = StreamLimits()
    """Bounds of each connection with streams."""


class AgentSettings(BaseSettings):
    """Settings of `fulmar-agent`."""

    name: Name
    """The agent's name, unique in the site."""
    data_centre: Name
    """The data centre that the agent runs in."""
    target_url: Url
    """The URL of the target that this agent guards."""
    platform: PlatformSettings
    """Connection to the platform's table service."""
    secret: Secret
    """The secret that authenticates the processes of the site."""
    timings: Timings = Timings()
    """Durations that safety depends on; the same in all processes."""
    kinds: tuple[str, ...] = ()
    """The kinds of tasks that the target serves; empty for all."""
    records: PositiveCount = 200_000
    """The most records of started tasks."""
    result_bytes: SizeBytes = 256 << 10
    """The largest result of a task."""
    tls: TlsSettings | None = None
    """TLS for streams; none for plain text."""


VM_VARIABLES: Final = {
    "memory_mb": "VM_MEMORY_MB",
    "max_fds": "VM_MAX_FDS",
    "far_factor": "SITE_FAR_FACTOR",
}
"""Environment variables of fields that the platform may not have."""

RESERVED_FDS: Final = 600
"""Descriptors that callers' connections leave to everything else.

Files take up to 200, the two listeners for operators 128 connections each;
the others are for streams to agents and calls to the store.
"""


class SiteEntrySettings(BaseSettings):
    """Settings of an entry that runs on a VM of the platform."""

    name: Name
    """The VM's name, used as the name of the process."""
    data_centre: Name
    """The VM's data centre."""
    address: str
    """The VM's IP address."""
    caller_address: Address
    """IP:port that callers connect to."""
    ready_address: Address
    """IP:port of the load balancer's readiness check."""
    metrics_port: Annotated[int, msgspec.Meta(gt=0, lt=65536)]
    """Port of the metrics endpoint."""
    store_address: Address
    """IP:port of the platform's store."""
    connections: PositiveCount = 3_000
    """The most concurrent connections of callers."""
    max_fds: PositiveCount | None = None
    """The descriptors that the process may have; none if not known."""
    memory_mb: MemoryMb | None = None
    """The VM's memory in MB, which sets the budget of requests."""
    requests: RequestLimits = RequestLimits()
    """Bounds of each HTTP request."""
    streams: StreamLimits = StreamLimits()
    """Bounds of each connection with streams."""
    far_factor: Annotated[float, msgspec.Meta(ge=1, le=100)] = 1.0
    """The ratio of run times on other racks to those near a task's data.

    With 1, tasks never wait for a rack.
    """

    @property
    def caller_connections(self) -> int:
        """The limit of callers' connections, by settings and descriptors.

        The rest is left for files, operators, agents and the store.
        """
        if self.max_fds is None:
            return self.connections
        return max(1, min(self.connections, self.max_fds - RESERVED_FDS))


class SiteAgentSettings(BaseSettings):
    """Settings of an agent that runs on a VM of the platform."""

    name: Name
    """The VM's name, used as the name of the process."""
    data_centre: Name
    """The VM's data centre."""
    address: str
    """The VM's IP address."""
    heartbeat_address: Address
    """IP:port that the target sends its heartbeats to."""
    stream_port: Annotated[int, msgspec.Meta(gt=0, lt=65536)]
    """Port that entries connect to."""
    metrics_port: Annotated[int, msgspec.Meta(gt=0, lt=65536)]
    """Port of the metrics endpoint."""
    store_address: Address
    """IP:port of the platform's store."""
    memory_mb: MemoryMb | None = None
    """The VM's memory in MB, which sets the budget of requests."""
    requests: RequestLimits = RequestLimits()
    """Bounds of each HTTP request."""
    streams: StreamLimits = StreamLimits()
    """Bounds of each connection with streams."""


class ClientSettings(BaseSettings):
    """Settings of `fulmarctl` and `fulmar-report`."""

    entries: Annotated[tuple[Url, ...], msgspec.Meta(min_length=1)]
    """URLs of entries, tried in order."""
    operator_key: Secret | None = None
    """The operator's API key; needed for all commands except those on jobs."""
    customer_key: Secret | None = None
    """A customer's API key, for commands on jobs."""
    timeout_s: Annotated[float, msgspec.Meta(gt=0, le=600)] = 70.0
    """Timeout of one request, in seconds."""
    authority: str | None = None
    """PEM file of the CA of the entries' certificates, for https."""


def load_settings(path: Path, settings_type: type[Settings]) -> Settings:
    """Read and validate a settings file.

    :param path: the JSON file.
    :param settings_type: the class of the settings.
    :returns: the settings.
    :raises FulmarError: SETTINGS_INVALID, with the JSON path of the error.
    """
    try:
        settings = decode_json(path.read_bytes(), settings_type)
    except OSError as error:
        raise _settings_error(f"{path}: {error.strerror}") from error
    except msgspec.MsgspecError as error:
        raise _settings_error(f"{path}: {error}") from error
    _check_addresses(path, settings)
    return settings


def add_vm_fields(settings: Settings, environ: Mapping[str, str]) -> Settings:
    """Return settings with the VM's fields that only the environment has.

    A field of the settings file goes before its variable. A variable that is
    missing or empty is no value: not every platform tells all of them.

    :param settings: the settings of the file.
    :param environ: the process's environment.
    :raises FulmarError: SETTINGS_INVALID, if a variable has no valid value.
    """
    fields = msgspec.to_builtins(settings)
    unset = {
        field.name: environ[variable]
        for field in msgspec.structs.fields(settings)
        if (variable := VM_VARIABLES.get(field.name, "")) in environ
        and environ[variable]
        and getattr(settings, field.name) == field.default
    }
    try:
        return msgspec.convert(
            fields | unset, type=type(settings), strict=False
        )
    except msgspec.MsgspecError as error:
        raise _settings_error(f"environment: {error}") from error


def split_address(address: str) -> tuple[str, int]:
    """Split IP:port into the IP address, without brackets, and the port.

    :raises ValueError: if the host is no IP address or the port is invalid.
    """
    host, _, port = address.rpartition(":")
    ipaddress.ip_address(host.strip("[]"))
    number = int(port)
    if not 0 < number < 65536:
        raise ValueError("port is not in 1 to 65535")
    return host.strip("[]"), number


def server_tls(tls: TlsSettings | None) -> ssl.SSLContext | None:
    """Create the TLS context of a server that requires client certificates.

    :param tls: the TLS files; none for plain text.
    """
    if tls is None:
        return None
    context = ssl.create_default_context(
        ssl.Purpose.CLIENT_AUTH, cafile=tls.authority
    )
    context.load_cert_chain(tls.certificate, tls.key)
    context.verify_mode = ssl.CERT_REQUIRED
    context.set_alpn_protocols(["h2"])
    return context


def client_tls(tls: TlsSettings | None) -> ssl.SSLContext | None:
    """Create the TLS context of a client that presents a certificate.

    :param tls: the TLS files; none for plain text.
    """
    if tls is None:
        return None
    context = ssl.create_default_context(cafile=tls.authority)
    context.load_cert_chain(tls.certificate, tls.key)
    context.set_alpn_protocols(["h2"])
    return context


def _check_addresses(path: Path, settings: BaseSettings) -> None:
    if not isinstance(settings, EntrySettings):
        return
    for name in ("stream_address", "http_address"):
        try:
            split_address(getattr(settings, name))
        except ValueError as error:
            raise _settings_error(
                f"{path}: {error} - at `$.{name}`"
            ) from error


def _settings_error(detail: str) -> FulmarError:
    return FulmarError(ResultCode.SETTINGS_INVALID, detail)
