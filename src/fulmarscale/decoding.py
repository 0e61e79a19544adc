"""Decoding of bytes that other processes have written.

msgspec raises `RecursionError` for input that is nested too deeply. Callers
handle malformed input of any kind alike, so it becomes a `DecodeError` here.
"""

from __future__ import annotations

from typing import Annotated
from typing import Final
from typing import TYPE_CHECKING
from typing import TypeVar

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable

Decoded = TypeVar("Decoded")

MAX_INTEGER: Final = 2**53 - 1
"""Largest integer that every JSON implementation represents exactly.

Greater ones can't be encoded as MessagePack.
"""

BoundedInt = Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
"""An integer of a message from outside."""

NonNegativeInt = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
"""The same, for amounts and positions."""


def decode_json(
    data: bytes | msgspec.Raw, message_type: type[Decoded]
) -> Decoded:
    """Decode JSON and validate its types.

    :param data: the encoded message.
    :param message_type: the type to decode.
    :raises msgspec.MsgspecError: if the data is not such a message.
    """
    return _decode(lambda: msgspec.json.decode(data, type=message_type))


def decode_msgpack(data: bytes, message_type: type[Decoded]) -> Decoded:
    """Decode MessagePack and validate its types.

    :param data: the encoded message.
    :param message_type: the type to decode.
    :raises msgspec.MsgspecError: if the data is not such a message.
    """
    return _decode(lambda: msgspec.msgpack.decode(data, type=message_type))


def _decode(decode: Callable[[], Decoded]) -> Decoded:
    try:
        return decode()
    except RecursionError as error:
        raise msgspec.DecodeError("nested too deeply") from error
