"""Frames on a stream: a body after its length, which is an unsigned 32-bit integer in network byte order."""

import struct

FRAME_LIMIT_BYTES = 8 * 1024 * 1024  # maximum length of a body
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
    """Decoder that splits a stream of bytes, received in pieces of any size, into the bodies of frames."""

    def __init__(self) -> None:
        self.incomplete_data = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Return the bodies that are complete after these bytes.

        Raises:
            ValueError: A frame is longer than `FRAME_LIMIT_BYTES`.
        """
        self.incomplete_data += data
        bodies = []
        while len(self.incomplete_data) >= LENGTH_PREFIX.size:
            length = LENGTH_PREFIX.unpack_from(self.incomplete_data)[0]
            if length > FRAME_LIMIT_BYTES:
                raise ValueError(f"a frame of {length} bytes exceeds FRAME_LIMIT_BYTES")
            if len(self.incomplete_data) < LENGTH_PREFIX.size + length:
                break
            bodies.append(bytes(self.incomplete_data[LENGTH_PREFIX.size : LENGTH_PREFIX.size + length]))
            del self.incomplete_data[: LENGTH_PREFIX.size + length]
        return bodies
