"""MessagePack codec for grpclib that validates message types."""

from __future__ import annotations

from typing import Any

from grpclib.encoding.base import CodecBase
import msgspec


class MessagePackCodec(CodecBase):
    """Encodes msgspec structs as MessagePack."""

    __content_subtype__ = "msgpack"

    def __init__(self) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._decoders: dict[Any, msgspec.msgpack.Decoder[Any]] = {}

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Encode a message.

        :param message: the message.
        :param message_type: ignored; the type of the message is used.
        """
        return self._encoder.encode(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Decode a message and validate its types.

        :param data: the encoded message.
        :param message_type: the type, or union of types, to decode.
        :raises msgspec.MsgspecError: if the data is not such a message.
        """
        decoder = self._decoders.get(message_type)
        if decoder is None:
            decoder = msgspec.msgpack.Decoder(message_type)
            self._decoders[message_type] = decoder
        try:
            return decoder.decode(data)
        except RecursionError as error:
            raise msgspec.DecodeError("nested too deeply") from error
