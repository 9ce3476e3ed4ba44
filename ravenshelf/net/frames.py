"""Frames on a stream: a length of four octets, network order, then so many octets."""

import struct

MOST_FRAME = 8 * 1024 * 1024
SIZE = struct.Struct("!I")


def pack(body: bytes) -> bytes:
    """The frame of a body. Raises ValueError where it is longer than a frame may be."""
    if len(body) > MOST_FRAME:
        raise ValueError(f"a frame of {len(body)} octets")
    return SIZE.pack(len(body)) + body


class Frames:
    """Octets in pieces into the bodies of frames."""

    def __init__(self) -> None:
        self.rest = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """The bodies that are whole now. Raises ValueError where a frame is too long."""
        self.rest += data
        bodies = []
        while len(self.rest) >= SIZE.size:
            size = SIZE.unpack_from(self.rest)[0]
            if size > MOST_FRAME:
                raise ValueError(f"a frame of {size} octets")
            if len(self.rest) < SIZE.size + size:
                break
            bodies.append(bytes(self.rest[SIZE.size : SIZE.size + size]))
            del self.rest[: SIZE.size + size]
        return bodies
