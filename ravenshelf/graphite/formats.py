"""Points into carbon's two line protocols, after its published description.

Plaintext: `path value time` and a newline each. Pickle: frames of a four-octet length, network order, and a pickle
(protocol 2) of [(path, (time, value)), ...].
"""

import pickle
import re
import struct
from collections.abc import Iterator, Sequence

FRAME_POINTS = 500  # carbon refuses frames over 1 MiB; a path is bounded by MOST_PATH
SLICE_POINTS = 200  # formatted in a slice of background work
MOST_PATH = 255
PROTOCOLS = ("plaintext", "pickle")
_NEVER = re.compile(r"[^A-Za-z0-9_\-]+")


def word(text: str) -> str:
    """One part of a path: what carbon would take for a parting, a space or a pattern becomes `_`."""
    return _NEVER.sub("_", text).strip("_")[:64] or "_"


def value(number: float) -> str:
    return f"{number:.10g}"


def slices(protocol: str, time: int, points: Sequence[tuple[str, float]]) -> Iterator[bytes]:
    """The octets of a batch, in pieces that each end with a whole line or frame."""
    if protocol == "plaintext":
        for start in range(0, len(points), SLICE_POINTS):
            yield "".join(
                f"{path} {value(v)} {time}\n" for path, v in points[start : start + SLICE_POINTS]
            ).encode()
        return
    for start in range(0, len(points), FRAME_POINTS):
        body = pickle.dumps(
            [(path, (time, float(v))) for path, v in points[start : start + FRAME_POINTS]], protocol=2
        )
        yield struct.pack("!L", len(body)) + body
