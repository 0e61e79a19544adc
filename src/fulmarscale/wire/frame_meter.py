"""Bounds of an HTTP/2 connection, decided from its frames alone.

This module does no I/O. The HTTP/2 library decides what the frames say;
`FrameMeter` follows only where they end, before the library gets them.
"""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

import msgspec

from fulmarscale.listeners.http_limits import Bound
from fulmarscale.listeners.http_limits import Bytes
from fulmarscale.listeners.http_limits import Count

if TYPE_CHECKING:
    from collections.abc import Callable

PREFACE_BYTES: Final = len(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")
"""What a client sends before its first frame."""

FRAME_HEAD_BYTES: Final = 9

MAX_FRAME_BYTES: Final = 16 << 10
"""The longest frame; the servers announce no other length."""

SETTING_BYTES: Final = 6
"""Bytes of one parameter in a frame of settings."""

DATA: Final = 0x0
HEADERS: Final = 0x1
SETTINGS: Final = 0x4
CONTINUATION: Final = 0x9
"""Types of frames that the bounds tell apart."""

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


class FrameMeter:
    """Follows the frames on one connection.

    :param limits: the bounds.
    """

    __slots__ = (
        "_control_frames",
        "_counted_at",
        "_excess_bytes",
        "_frames",
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
        self._excess_bytes = 0
        """Bytes by which the framing of messages exceeds their content."""

    @property
    def frames(self) -> int:
        """Frames that the last call of `advance` has begun."""
        return self._frames

    @property
    def streams(self) -> int:
        """Streams that were opened on the connection."""
        return self._streams

    def take_message(self, data: bytes) -> bool:
        """Take a piece that is just one frame with a part of a message.

        :param data: what has arrived.
        :returns: whether it was taken; nothing has changed otherwise.
        """
        length = len(data) - FRAME_HEAD_BYTES
        if (
            length <= FRAME_HEAD_BYTES
            or length > MAX_FRAME_BYTES
            or data[3] != DATA
            or self._left_bytes
            or self._head
            or self._preface_bytes
            or int.from_bytes(data[:3], "big") != length
        ):
            return False
        self._excess_bytes += FRAME_HEAD_BYTES - length
        return True

    def advance(
        self,
        data: bytes,
        start: int,
        clock: Callable[[], float],
        max_frames: int,
    ) -> tuple[int, Bound | None]:
        """Take the next bytes, up to a number of frames.

        :param data: what has arrived.
        :param start: the position of the first byte that was not taken.
        :param clock: returns monotonic time.
        :param max_frames: the frames that it may begin.
        :returns: the position after the last byte taken, and the bound that
            the connection exceeds, if any.
        """
        position = start
        size = len(data)
        frames = 0
        bound: Bound | None = None
        if self._preface_bytes:
            taken = min(self._preface_bytes, size - position)
            self._preface_bytes -= taken
            position += taken
        left_bytes = self._left_bytes
        while position < size:
            if left_bytes:
                position += left_bytes
                left_bytes = max(0, position - size)
                continue
            if frames == max_frames:
                break
            missing_bytes = FRAME_HEAD_BYTES - len(self._head)
            head = self._head + data[position : position + missing_bytes]
            if len(head) < FRAME_HEAD_BYTES:
                self._head = head
                position = size
                break
            position += missing_bytes
            self._head = b""
            frames += 1
            left_bytes = head[0] << 16 | head[1] << 8 | head[2]
            bound = self._count_frame(head, left_bytes, clock)
            if bound is not None:
                break
        self._frames = frames
        self._left_bytes = left_bytes
        return min(size, position), bound

    def _count_frame(
        self, head: bytes, length: int, clock: Callable[[], float]
    ) -> Bound | None:
        """Count a frame by its head.

        :returns: the bound that it exceeds, if any.
        """
        if length > MAX_FRAME_BYTES:
            return Bound.FRAME_BYTES
        kind = head[3]
        if kind == DATA:
            self._excess_bytes += FRAME_HEAD_BYTES - length
            if self._excess_bytes > self._limits.framing_bytes:
                return Bound.FRAMES
            return None
        if kind in (HEADERS, CONTINUATION):
            return self._count_header(kind, length)
        if kind == SETTINGS and not head[4] & ACK_FLAG:
            self._settings += length // SETTING_BYTES
            if self._settings > self._limits.settings:
                return Bound.SETTINGS
        return self._count_control(clock())

    def _count_header(self, kind: int, length: int) -> Bound | None:
        if kind == HEADERS:
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
