"""Frames on a stream: a length of four bytes, network order, then as many bytes."""

import struct

FRAME_LIMIT_BYTES = 8 * 1024 * 1024  # bytes of a body
SIZE = struct.Struct("!I")


def pack_frame(body: bytes) -> bytes:
    """Return the frame of a body; raises ValueError where it is longer than a frame may be."""
    if len(body) > FRAME_LIMIT_BYTES:
        raise ValueError(f"a frame of {len(body)} bytes")
    return SIZE.pack(len(body)) + body


class FrameDecoder:
    """Splits bytes in pieces into the bodies of frames."""

    def __init__(self) -> None:
        self.rest = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Return the bodies that are complete now; raises ValueError where a frame is too long."""
        self.rest += data
        bodies = []
        while len(self.rest) >= SIZE.size:
            size = SIZE.unpack_from(self.rest)[0]
            if size > FRAME_LIMIT_BYTES:
                raise ValueError(f"a frame of {size} bytes")
            if len(self.rest) < SIZE.size + size:
                break
            bodies.append(bytes(self.rest[SIZE.size : SIZE.size + size]))
            del self.rest[: SIZE.size + size]
        return bodies
