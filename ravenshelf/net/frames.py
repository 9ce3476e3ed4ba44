"""Frames on a stream: a body after its length, which is an unsigned 32-bit integer in network byte order."""

import struct

FRAME_LIMIT_BYTES = 8 * 1024 * 1024  # maximum length of a body
# Maximum length of the first body on an accepted connection, before the other side is identified.
FIRST_FRAME_LIMIT_BYTES = 64 * 1024
# Incomplete frames of all connections that a listener has accepted may take this much memory.
INCOMPLETE_FRAMES_LIMIT_BYTES = 24_000_000
LENGTH_PREFIX = struct.Struct("!I")


def pack_frame(body: bytes) -> bytes:
    """Return the frame of a body.

    Raises:
        ValueError: The body is longer than `FRAME_LIMIT_BYTES`.
    """
    if len(body) > FRAME_LIMIT_BYTES:
        raise ValueError(f"a frame of {len(body)} bytes exceeds FRAME_LIMIT_BYTES")
    return LENGTH_PREFIX.pack(len(body)) + body


class FrameDecoder:
    """Decoder that splits a stream of bytes, received in pieces of any size, into the bodies of frames.

    Args:
        first_limit_bytes: Maximum length of the first body; that of the others is `FRAME_LIMIT_BYTES`.

    Attributes:
        limit_bytes: Maximum length of the next body.
        incomplete_data: Received bytes of a frame that is not complete yet.
    """

    def __init__(self, first_limit_bytes: int = FRAME_LIMIT_BYTES) -> None:
        self.limit_bytes = first_limit_bytes
        self.incomplete_data = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Return the bodies that are complete after these bytes.

        Raises:
            ValueError: A frame is longer than `limit_bytes`.
        """
        self.incomplete_data += data
        bodies = []
        while len(self.incomplete_data) >= LENGTH_PREFIX.size:
            length = LENGTH_PREFIX.unpack_from(self.incomplete_data)[0]
            if length > self.limit_bytes:
                raise ValueError(f"a frame of {length} bytes exceeds the limit of {self.limit_bytes}")
            if len(self.incomplete_data) < LENGTH_PREFIX.size + length:
                break
            bodies.append(bytes(self.incomplete_data[LENGTH_PREFIX.size : LENGTH_PREFIX.size + length]))
            del self.incomplete_data[: LENGTH_PREFIX.size + length]
            self.limit_bytes = FRAME_LIMIT_BYTES
        return bodies
