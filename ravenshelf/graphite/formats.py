"""Encodes points in carbon's two line protocols, after its published description.

Plaintext: `path value time`, a newline after each point. Pickle: frames of a length of four bytes in network
order and a pickle (protocol 2) of [(path, (time, value)), ...].
"""

import pickle
import re
import struct
from collections.abc import Iterator, Sequence

FRAME_POINTS = 500  # carbon rejects frames over 1 MiB
SLICE_POINTS = 200  # encoded in one slice of background work
MAX_COMPONENT_LENGTH = 64
PICKLE_PROTOCOL = 2
PROTOCOLS = ("plaintext", "pickle")
_FORBIDDEN = re.compile(r"[^A-Za-z0-9_\-]+")


def path_component(text: str) -> str:
    """Return text as one component of a path: carbon's separators, spaces and wildcards become `_`."""
    return _FORBIDDEN.sub("_", text).strip("_")[:MAX_COMPONENT_LENGTH] or "_"


def format_value(value: float) -> str:
    """Return a value in the plaintext protocol's form."""
    return f"{value:.10g}"


def encode(protocol: str, time: int, points: Sequence[tuple[str, float]]) -> Iterator[bytes]:
    """Yield a batch in chunks that each end with a complete line or frame; `time` is in seconds."""
    if protocol == "plaintext":
        return _encode_plaintext(time, points)
    return _encode_pickle(time, points)


def _encode_plaintext(time: int, points: Sequence[tuple[str, float]]) -> Iterator[bytes]:
    for start in range(0, len(points), SLICE_POINTS):
        chunk = points[start : start + SLICE_POINTS]
        yield "".join(f"{path} {format_value(value)} {time}\n" for path, value in chunk).encode()


def _encode_pickle(time: int, points: Sequence[tuple[str, float]]) -> Iterator[bytes]:
    for start in range(0, len(points), FRAME_POINTS):
        chunk = points[start : start + FRAME_POINTS]
        body = pickle.dumps([(path, (time, float(value))) for path, value in chunk], protocol=PICKLE_PROTOCOL)
        yield struct.pack("!L", len(body)) + body
