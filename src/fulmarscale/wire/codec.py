"""Codec for grpclib: MessagePack by msgspec, strictly typed."""

from __future__ import annotations

from typing import Any

from grpclib.encoding.base import CodecBase
import msgspec


class MessagePackCodec(CodecBase):
    """Encodes typed messages as MessagePack."""

    __content_subtype__ = "msgpack"

    def __init__(self) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._decoders: dict[Any, msgspec.msgpack.Decoder[Any]] = {}

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Encode a message."""
        return self._encoder.encode(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Decode a message and check its types.

        :raises msgspec.MsgspecError: if the bytes are not such a message.
        """
        decoder = self._decoders.get(message_type)
        if decoder is None:
            decoder = msgspec.msgpack.Decoder(message_type)
            self._decoders[message_type] = decoder
        return decoder.decode(data)
