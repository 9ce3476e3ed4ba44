"""Encoding of points in carbon's protocols."""

import pickle
import struct

from ravenshelf.graphite import formats


def make_points(count):
    return [(f"a.{number}", float(number)) for number in range(count)]


def test_plaintext_chunks_end_with_a_line_and_path_components_contain_no_separators():
    assert b"".join(formats.encode("plaintext", 60, [("a.b", 1.0), ("c", 2.5)])) == b"a.b 1 60\nc 2.5 60\n"
    for chunk in formats.encode("plaintext", 60, make_points(999)):
        assert chunk.endswith(b"\n")
    assert formats.path_component("a b\nc;d.é*") == "a_b_c_d" and formats.path_component("...") == "_"


def test_pickle_frames_have_the_stated_length_and_contain_all_points():
    decoded_points = []
    for frame in formats.encode("pickle", 60, make_points(1200)):
        assert struct.unpack("!L", frame[:4])[0] == len(frame) - 4
        decoded_points += pickle.loads(frame[4:])
    assert decoded_points == [(path, (60, value)) for path, value in make_points(1200)]
