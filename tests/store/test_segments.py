"""Segments: what was acknowledged is there, whatever is cut, damaged, full or killed."""

import errno
import os
import signal
import subprocess
import sys

import pytest

from ravenshelf.store.errors import DamagedSegmentError
from ravenshelf.store.file_system import FileSystem
from ravenshelf.store.segment_format import SEGMENT_HEADER, unpack
from ravenshelf.store.segments import Segments


def bodies(store):
    out = []
    while (found := store.oldest()) is not None:
        out += found[1]
        store.drop(found[0])
    return out


def filled(folder, count=6, **more):
    store = Segments(folder, 10**6, 10**5, **more)
    for n in range(count):
        store.append([b"record %d " % n * 5])
    return store


def only(folder):
    files = sorted(folder.glob("*.segment"))
    assert len(files) == 1
    return files[0]


def test_a_tail_torn_at_every_octet_costs_the_torn_record_alone(tmp_path):
    filled(tmp_path / "whole").close()
    data = only(tmp_path / "whole").read_bytes()
    records, _ = unpack(data, "x", True)
    for cut in range(len(data)):
        folder = tmp_path / str(cut)
        folder.mkdir()
        (folder / "000000000001.segment").write_bytes(data[:cut])
        store = Segments(folder, 10**6, 10**5)
        whole = [body for at, body in records if at + 16 + len(body) <= cut]
        assert len(store) == len(whole)
        store.append([b"after"])  # and it goes on
        assert bodies(store) == whole + [b"after"]


def test_a_damaged_middle_is_skipped_and_told_with_its_place(tmp_path):
    filled(tmp_path).close()
    path = only(tmp_path)
    data = bytearray(path.read_bytes())
    at = unpack(bytes(data), "x", True)[0][2][0]
    data[at + 20] ^= 1
    path.write_bytes(data)
    store = Segments(tmp_path, 10**6, 10**5)
    assert [(s.offset, s.is_torn_tail) for s in store.skipped] == [(at, False)]
    assert len(bodies(store)) == 5


def test_what_is_no_segment_or_a_later_version_is_refused_by_name(tmp_path):
    (tmp_path / "000000000001.segment").write_bytes(b"something else entirely")
    with pytest.raises(DamagedSegmentError, match="000000000001.segment: expected a segment"):
        Segments(tmp_path, 10**6, 10**5)
    (tmp_path / "000000000001.segment").write_bytes(SEGMENT_HEADER.pack(b"rvnsegs\0", 2))
    with pytest.raises(DamagedSegmentError, match="expected version 1, not 2"):
        Segments(tmp_path, 10**6, 10**5)


class Failing(FileSystem):
    """Writes at most `short` octets at a time and none beyond `room`."""

    def __init__(self, room=10**9, short=10**9):
        self.room, self.short = room, short

    def write(self, handle, data):
        if self.room <= 0:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        wrote = super().write(handle, data[: min(self.short, self.room)])
        self.room -= wrote
        return wrote


def test_short_writes_are_written_on(tmp_path):
    store = Segments(tmp_path, 10**6, 10**5, Failing(short=17))
    store.append([b"x" * 100, b"y" * 50])
    assert bodies(store) == [b"x" * 100, b"y" * 50]


def test_a_full_disk_fails_the_write_and_leaves_what_was_before(tmp_path):
    files = Failing()
    store = filled(tmp_path, file_system=files)
    for room in range(1, 40, 3):
        files.room = room
        with pytest.raises(OSError):
            store.append([b"z" * 100])
        files.room = 10**9
    store.append([b"room again"])
    store.close()
    again = Segments(tmp_path, 10**6, 10**5)
    assert not again.skipped and len(again) == 7 and bodies(again)[-1] == b"room again"


def test_the_bound_holds_by_the_oldest_segments(tmp_path):
    store = Segments(tmp_path, 5000, 1000)
    for n in range(100):
        store.append([b"%03d" % n * 30])
        assert sum(p.stat().st_size for p in tmp_path.iterdir()) <= 5000
    assert store.dropped_records and bodies(store)[-1] == b"099" * 30 and store.dropped_records + 0 < 100


def test_killed_at_any_moment_what_was_acknowledged_is_there(tmp_path):
    program = (
        "import sys\nfrom pathlib import Path\nfrom ravenshelf.store.segments import Segments\n"
        "store = Segments(Path(sys.argv[1]), 10**7, 20000)\n"
        "for n in range(10**6):\n    store.append([b'%d' % n * 9])\n    print(n, flush=True)\n"
    )
    for after in (1, 40, 333):
        folder = tmp_path / str(after)
        process = subprocess.Popen([sys.executable, "-c", program, str(folder)], stdout=subprocess.PIPE)
        said = [int(process.stdout.readline()) for _ in range(after)]
        process.send_signal(signal.SIGKILL)
        said += [int(line) for line in process.stdout.read().split(b"\n")[:-1] if line]
        process.wait()
        found = bodies(Segments(folder, 10**7, 20000))
        assert found[: len(said)] == [b"%d" % n * 9 for n in said]
        assert len(found) <= len(said) + 1
