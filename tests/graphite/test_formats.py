"""Points in carbon's line protocols."""

import pickle
import struct

from ravenshelf.graphite import formats


def points(count):
    return [(f"a.{n}", float(n)) for n in range(count)]


def test_plaintext_chunks_end_with_a_line_and_names_can_not_break_one():
    assert b"".join(formats.encode("plaintext", 60, [("a.b", 1.0), ("c", 2.5)])) == b"a.b 1 60\nc 2.5 60\n"
    for chunk in formats.encode("plaintext", 60, points(999)):
        assert chunk.endswith(b"\n")
    assert formats.path_component("a b\nc;d.é*") == "a_b_c_d" and formats.path_component("...") == "_"


def test_pickle_frames_are_complete():
    seen = []
    for frame in formats.encode("pickle", 60, points(1200)):
        assert struct.unpack("!L", frame[:4])[0] == len(frame) - 4
        seen += pickle.loads(frame[4:])
    assert seen == [(path, (60, value)) for path, value in points(1200)]
