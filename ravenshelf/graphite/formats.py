"""Encoding of points in carbon's two protocols, according to carbon's published documentation.

Plaintext: a line `path value time` for each point, terminated by a newline. Pickle: frames that consist of a
length (four bytes in network byte order) and a pickle (protocol 2) of [(path, (time, value)), ...].
"""

import pickle
import re
import struct
from collections.abc import Iterator, Sequence

POINTS_PER_FRAME = 500  # Carbon rejects frames over 1 MiB.
POINTS_PER_SLICE = 200  # Number of plaintext points that are encoded in one slice of a background job.
MAX_COMPONENT_LENGTH = 64  # Maximum length of a path component, in characters.
PICKLE_PROTOCOL = 2
PROTOCOLS = ("plaintext", "pickle")
_FORBIDDEN_CHARACTERS = re.compile(r"[^A-Za-z0-9_\-]+")


def path_component(text: str) -> str:
    """Convert text to one component of a metric's path.

    Runs of other characters than letters, digits, `_` and `-` become `_`, among them carbon's separators,
    spaces and wildcards. The result has at most MAX_COMPONENT_LENGTH characters and is never empty.
    """
    return _FORBIDDEN_CHARACTERS.sub("_", text).strip("_")[:MAX_COMPONENT_LENGTH] or "_"


def format_value(value: float) -> str:
    """Format a value for the plaintext protocol, with up to ten significant digits."""
    return f"{value:.10g}"


def encode(protocol: str, time: int, points: Sequence[tuple[str, float]]) -> Iterator[bytes]:
    """Encode points in chunks that each end with a complete line or frame.

    Args:
        protocol: One of PROTOCOLS.
        time: The time of all points, in seconds.
        points: Pairs (path, value).

    Returns:
        An iterator over the chunks; each chunk is encoded when it is requested.
    """
    if protocol == "plaintext":
        return _encode_plaintext(time, points)
    return _encode_pickle(time, points)


def _encode_plaintext(time: int, points: Sequence[tuple[str, float]]) -> Iterator[bytes]:
    for start in range(0, len(points), POINTS_PER_SLICE):
        chunk = points[start : start + POINTS_PER_SLICE]
        yield "".join(f"{path} {format_value(value)} {time}\n" for path, value in chunk).encode()


def _encode_pickle(time: int, points: Sequence[tuple[str, float]]) -> Iterator[bytes]:
    for start in range(0, len(points), POINTS_PER_FRAME):
        chunk = points[start : start + POINTS_PER_FRAME]
        body = pickle.dumps([(path, (time, float(value))) for path, value in chunk], protocol=PICKLE_PROTOCOL)
        yield struct.pack("!L", len(body)) + body
