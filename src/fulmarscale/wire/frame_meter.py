"""Bounds of an HTTP/2 connection, decided from its frames alone.

This module does no I/O. The HTTP/2 library decides what the frames say;
`FrameMeter` follows only where they end, before the library gets them.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Final

import msgspec

from fulmarscale.http_limits import Bound
from fulmarscale.http_limits import Bytes
from fulmarscale.http_limits import Count

PREFACE_BYTES: Final = len(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")
"""What a client sends before its first frame."""

FRAME_HEAD_BYTES: Final = 9

MAX_FRAME_BYTES: Final = 16 << 10
"""The longest frame; the servers announce no other length."""

SETTING_BYTES: Final = 6
"""Bytes of one parameter in a frame of settings."""

ACK_FLAG: Final = 0x1


class StreamLimits(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Bounds of each connection with streams of other processes."""

    streams: Count = 4
    """Streams that are opened on a connection; processes open one."""
    header_bytes: Bytes = 8 << 10
    """The longest list of header fields, encoded and decoded."""
    settings: Count = 32
    """Parameters in all frames of settings."""
    control_frames: Count = 256
    """Frames without a part of a message that may come at once."""
    control_frames_per_s: Count = 32
    """How many more may come each second."""
    framing_bytes: Bytes = 16 << 10
    """Bytes by which the framing of messages may exceed their content."""


class FrameType(IntEnum):
    """The types of frames that the bounds tell apart."""

    DATA = 0x0
    HEADERS = 0x1
    SETTINGS = 0x4
    CONTINUATION = 0x9


class FrameMeter:
    """Follows the frames on one connection.

    :param limits: the bounds.
    """

    __slots__ = (
        "_content_bytes",
        "_control_frames",
        "_counted_at",
        "_frames",
        "_framing_bytes",
        "_head",
        "_header_bytes",
        "_left_bytes",
        "_limits",
        "_preface_bytes",
        "_settings",
        "_streams",
    )

    def __init__(self, limits: StreamLimits) -> None:
        self._limits = limits
        self._preface_bytes = PREFACE_BYTES
        """Bytes of the preface that have not arrived."""
        self._head = b""
        """What has arrived of the present frame's head."""
        self._left_bytes = 0
        """Bytes of the present frame that have not arrived."""
        self._frames = 0
        self._streams = 0
        self._header_bytes = 0
        """Bytes of the present list of header fields."""
        self._settings = 0
        self._control_frames = 0.0
        """Control frames that count at present."""
        self._counted_at = 0.0
        self._framing_bytes = 0
        self._content_bytes = 0

    @property
    def frames(self) -> int:
        """Frames that the last call of `advance` has begun."""
        return self._frames

    @property
    def streams(self) -> int:
        """Streams that were opened on the connection."""
        return self._streams

    def advance(
        self, data: bytes, start: int, now: float, max_frames: int
    ) -> tuple[int, Bound | None]:
        """Take the next bytes, up to a number of frames.

        :param data: what has arrived.
        :param start: the position of the first byte that was not taken.
        :param now: monotonic time.
        :param max_frames: the frames that it may begin.
        :returns: the position after the last byte taken, and the bound that
            the connection exceeds, if any.
        """
        self._frames = 0
        position = start
        size = len(data)
        if self._preface_bytes:
            taken = min(self._preface_bytes, size - position)
            self._preface_bytes -= taken
            position += taken
        while position < size:
            if self._left_bytes:
                taken = min(self._left_bytes, size - position)
                self._left_bytes -= taken
                position += taken
                continue
            if self._frames == max_frames:
                break
            missing_bytes = FRAME_HEAD_BYTES - len(self._head)
            head = self._head + data[position : position + missing_bytes]
            position = min(size, position + missing_bytes)
            if len(head) < FRAME_HEAD_BYTES:
                self._head = head
                break
            self._head = b""
            self._frames += 1
            bound = self._begin_frame(head, now)
            if bound is not None:
                return position, bound
        return position, None

    def _begin_frame(self, head: bytes, now: float) -> Bound | None:
        """Count a frame by its head.

        :returns: the bound that it exceeds, if any.
        """
        length = int.from_bytes(head[:3], "big")
        if length > MAX_FRAME_BYTES:
            return Bound.FRAME_BYTES
        self._left_bytes = length
        kind = head[3]
        if kind == FrameType.DATA:
            self._framing_bytes += FRAME_HEAD_BYTES
            self._content_bytes += length
            excess_bytes = self._framing_bytes - self._content_bytes
            if excess_bytes > self._limits.framing_bytes:
                return Bound.FRAMES
            return None
        if kind in (FrameType.HEADERS, FrameType.CONTINUATION):
            return self._count_header(kind, length)
        if kind == FrameType.SETTINGS and not head[4] & ACK_FLAG:
            self._settings += length // SETTING_BYTES
            if self._settings > self._limits.settings:
                return Bound.SETTINGS
        return self._count_control(now)

    def _count_header(self, kind: int, length: int) -> Bound | None:
        if kind == FrameType.HEADERS:
            self._streams += 1
            self._header_bytes = 0
        self._header_bytes += FRAME_HEAD_BYTES + length
        if self._streams > self._limits.streams:
            return Bound.STREAMS
        if self._header_bytes > self._limits.header_bytes:
            return Bound.HEAD_BYTES
        return None

    def _count_control(self, now: float) -> Bound | None:
        limits = self._limits
        passed_s = now - self._counted_at
        self._counted_at = now
        allowed = passed_s * limits.control_frames_per_s
        self._control_frames = max(0.0, self._control_frames - allowed) + 1
        if self._control_frames > limits.control_frames:
            return Bound.FRAMES
        return None
