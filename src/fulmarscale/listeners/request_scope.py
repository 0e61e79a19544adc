"""What an application may ask of the connection of its request."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from fulmarscale.listeners.http_connection import CONNECTION_EXTENSION

if TYPE_CHECKING:
    from collections.abc import Mapping

    from fulmarscale.listeners.bounded_connection import BoundedConnection


def begin_body(scope: Mapping[str, Any]) -> bool:
    """Claim the room for a request's body before it is collected.

    :param scope: the request's ASGI scope; without the extension there is
        room.
    :returns: whether the process has room for the whole body.
    """
    connection = connection_of(scope)
    return connection is None or connection.begin_body()


def is_body_too_large(scope: Mapping[str, Any]) -> bool:
    """Return whether a request's body exceeds the listener's limit.

    :param scope: the request's ASGI scope.
    """
    connection = connection_of(scope)
    return connection is not None and connection.is_body_too_large


def hold_more(scope: Mapping[str, Any], size: int) -> bool:
    """Claim bytes for what a request was decoded to, until its response.

    :param scope: the request's ASGI scope; without the extension there is
        room.
    :param size: the bytes beyond those of the request itself.
    :returns: whether the process has room for them.
    """
    connection = connection_of(scope)
    return connection is None or connection.hold_more(size)


def connection_of(scope: Mapping[str, Any]) -> BoundedConnection | None:
    """Return the connection of a request; none if it is not bounded.

    :param scope: the request's ASGI scope.
    """
    extension = scope.get("extensions", {}).get(CONNECTION_EXTENSION, {})
    return extension.get("connection")
