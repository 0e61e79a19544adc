"""Settings of the programs: JSON files, checked strictly."""

from __future__ import annotations

import ipaddress
import ssl
from typing import Annotated
from typing import TYPE_CHECKING
from typing import TypeVar

import msgspec

from fulmarscale.control.timings import Timings
from fulmarscale.entry.limits import EntryLimits
from fulmarscale.errors import FulmarError
from fulmarscale.errors import ResultCode

if TYPE_CHECKING:
    from pathlib import Path

Name = Annotated[
    str, msgspec.Meta(pattern="^[a-z0-9][a-z0-9-]{0,62}$", max_length=63)
]
Address = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f.:\[\]]+:[0-9]{1,5}$")]
Url = Annotated[str, msgspec.Meta(pattern="^https?://[^/ ]+$")]
Secret = Annotated[str, msgspec.Meta(min_length=16, max_length=256)]
KeyHash = Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{64}$")]
Bytes = Annotated[int, msgspec.Meta(gt=0, le=1 << 30)]
Count = Annotated[int, msgspec.Meta(gt=0, le=10_000_000)]
Seconds = Annotated[float, msgspec.Meta(ge=0, le=3600)]

Settings = TypeVar("Settings", bound="BaseSettings")


class BaseSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """The base of all settings."""


class TlsSettings(BaseSettings):
    """Files for TLS, in PEM form."""

    certificate: str
    """This process's certificate."""
    key: str
    """Its private key."""
    authority: str
    """The authority that signs the certificates of the site."""


class PlatformSettings(BaseSettings):
    """Where the platform's table service is."""

    url: Url
    """The service's URL."""
    timeout_s: Annotated[float, msgspec.Meta(gt=0, le=60)] = 1.0
    """How long one request may take, in seconds."""
    authority: str | None = None
    """The authority of the service's certificate, for https (PEM)."""


class InputLimits(BaseSettings):
    """Limits of what callers may send."""

    body_bytes: Bytes = 8 << 20
    """The size of a request's body."""
    payload_bytes: Bytes = 256 << 10
    """The size of one task's payload."""
    tasks: Count = 10_000
    """The number of tasks in a job."""
    longest_deadline_ms: Count = 60_000
    """The longest deadline, in milliseconds."""
    calls: Count = 2_000
    """Calls under way at an entry."""
    connections: Count = 4_000
    """Connections that an entry accepts."""
    body_timeout_s: Seconds = 10.0
    """How long a caller may take to send its body, in seconds."""


class EntrySettings(BaseSettings):
    """Settings of `fulmar-entry`."""

    name: Name
    """The entry's name, unique in the site."""
    data_centre: Name
    """Where it runs."""
    stream_address: Address
    """IP:port on which it serves streams, as others reach it."""
    http_address: Address
    """IP:port on which it serves HTTP, as others reach it."""
    platform: PlatformSettings
    """The platform's table service."""
    secret: Secret
    """The secret that the processes of the site share."""
    operator_key_hashes: Annotated[
        tuple[KeyHash, ...], msgspec.Meta(min_length=1, max_length=16)
    ]
    """SHA-256 of each operator's key, in hex."""
    timings: Timings = Timings()
    """Spans that the safety rules rest on; the same in all processes."""
    limits: EntryLimits = EntryLimits()
    """Limits of memory."""
    input: InputLimits = InputLimits()
    """Limits of what callers may send."""
    drain_s: Seconds = 1.0
    """How long the balancer needs to see that the entry is not ready."""
    tls: TlsSettings | None = None
    """TLS on HTTP and streams; none for plain text."""


class AgentSettings(BaseSettings):
    """Settings of `fulmar-agent`."""

    name: Name
    """The agent's name, unique in the site."""
    data_centre: Name
    """Where it runs."""
    target_url: Url
    """The target beside it."""
    platform: PlatformSettings
    """The platform's table service."""
    secret: Secret
    """The secret that the processes of the site share."""
    timings: Timings = Timings()
    """Spans that the safety rules rest on; the same in all processes."""
    kinds: tuple[str, ...] = ()
    """The kinds that the target serves; empty for all."""
    records: Count = 200_000
    """Start records that the agent keeps."""
    result_bytes: Bytes = 256 << 10
    """The size of one task's result."""
    tls: TlsSettings | None = None
    """TLS on streams; none for plain text."""


class SiteEntrySettings(BaseSettings):
    """Settings of an entry on the users' platform."""

    name: Name
    """The VM's name."""
    data_centre: Name
    """Where it runs."""
    address: str
    """The VM's IP number."""
    caller_address: Address
    """IP:port on which callers' connections arrive."""
    ready_address: Address
    """IP:port on which the balancer asks."""
    metrics_port: Annotated[int, msgspec.Meta(gt=0, lt=65536)]
    """Port of the metrics."""
    store_address: Address
    """IP:port of the platform's store."""
    connections: Count = 3_000
    """Connections of callers that are accepted."""


class SiteAgentSettings(BaseSettings):
    """Settings of an agent on the users' platform."""

    name: Name
    """The VM's name."""
    data_centre: Name
    """Where it runs."""
    address: str
    """The VM's IP number."""
    heartbeat_address: Address
    """IP:port on which the target's heartbeats arrive."""
    stream_port: Annotated[int, msgspec.Meta(gt=0, lt=65536)]
    """Port on which entries connect."""
    metrics_port: Annotated[int, msgspec.Meta(gt=0, lt=65536)]
    """Port of the metrics."""
    store_address: Address
    """IP:port of the platform's store."""


class ClientSettings(BaseSettings):
    """Settings of `fulmarctl` and `fulmar-report`."""

    entries: Annotated[tuple[Url, ...], msgspec.Meta(min_length=1)]
    """URLs of entries, tried in order."""
    operator_key: Secret | None = None
    """The operator's key; needed for all but jobs."""
    customer_key: Secret | None = None
    """A customer's key, for jobs."""
    timeout_s: Annotated[float, msgspec.Meta(gt=0, le=600)] = 70.0
    """How long one request may take, in seconds."""
    authority: str | None = None
    """The authority of the entries' certificates, for TLS."""


def load_settings(path: Path, kind: type[Settings]) -> Settings:
    """Read and check a settings file.

    :param path: the JSON file.
    :param kind: the settings' type.
    :returns: the settings.
    :raises FulmarError: SETTINGS_INVALID, with the JSON path of the fault.
    """
    try:
        settings = msgspec.json.decode(path.read_bytes(), type=kind)
    except OSError as error:
        raise _invalid(f"{path}: {error.strerror}") from error
    except msgspec.MsgspecError as error:
        raise _invalid(f"{path}: {error}") from error
    _check_addresses(path, settings)
    return settings


def split_address(address: str) -> tuple[str, int]:
    """Split IP:port.

    :raises ValueError: if the host is not an IP number or the port is off.
    """
    host, _, port = address.rpartition(":")
    ipaddress.ip_address(host.strip("[]"))
    number = int(port)
    if not 0 < number < 65536:
        raise ValueError("port out of range")
    return host.strip("[]"), number


def server_tls(tls: TlsSettings | None) -> ssl.SSLContext | None:
    """Make the TLS context of a server that asks for certificates."""
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
    """Make the TLS context of a client with a certificate."""
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
            raise _invalid(f"{path}: {error} - at `$.{name}`") from error


def _invalid(detail: str) -> FulmarError:
    return FulmarError(ResultCode.SETTINGS_INVALID, detail)
