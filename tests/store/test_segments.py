"""Segments: what was acknowledged survives torn tails, damage, a full disk and a kill."""

import signal
import subprocess
import sys

import pytest
from failing_disk import FullDisk

from ravenshelf.store.errors import DamagedSegmentError
from ravenshelf.store.segment_format import RECORD_HEADER, SEGMENT_HEADER, unpack
from ravenshelf.store.segments import Segments

SIZE_LIMIT_BYTES = 10**6
SEGMENT_BYTES = 10**5
FIRST_SEGMENT = "000000000001.segment"


def opened(folder, file_system=None):
    return Segments(folder, SIZE_LIMIT_BYTES, SEGMENT_BYTES, file_system)


def filled(folder, file_system=None, count=6):
    segments = opened(folder, file_system)
    for number in range(count):
        segments.append([b"record %d " % number * 5])
    return segments


def take_all(segments):
    """Reads and drops all records."""
    bodies = []
    while (oldest := segments.read_oldest()) is not None:
        number, found = oldest
        bodies += found
        segments.drop(number)
    return bodies


def only_segment(folder):
    (path,) = folder.glob("*.segment")
    return path


def test_a_tail_torn_at_any_byte_costs_the_torn_record_alone(tmp_path):
    filled(tmp_path / "sound").close()
    data = only_segment(tmp_path / "sound").read_bytes()
    records, _ = unpack(data, "x", True)
    for size in range(len(data)):
        folder = tmp_path / str(size)
        folder.mkdir()
        (folder / FIRST_SEGMENT).write_bytes(data[:size])
        segments = opened(folder)
        complete = [body for offset, body in records if offset + RECORD_HEADER.size + len(body) <= size]
        assert len(segments) == len(complete)
        segments.append([b"after"])
        assert take_all(segments) == [*complete, b"after"]


def test_a_damaged_record_is_skipped_and_reported_with_its_place(tmp_path):
    filled(tmp_path).close()
    path = only_segment(tmp_path)
    data = bytearray(path.read_bytes())
    offset, _ = unpack(bytes(data), "x", True).records[2]
    data[offset + 20] ^= 1
    path.write_bytes(data)
    segments = opened(tmp_path)
    assert [
        (skipped_range.offset, skipped_range.is_torn_tail) for skipped_range in segments.skipped_ranges
    ] == [(offset, False)]
    assert len(take_all(segments)) == 5


@pytest.mark.parametrize(
    "content, reason",
    [
        pytest.param(b"something else entirely", f"{FIRST_SEGMENT}: expected a segment", id="another file"),
        pytest.param(SEGMENT_HEADER.pack(b"rvnsegs\0", 2), "expected version 1, not 2", id="later version"),
    ],
)
def test_a_file_that_is_no_segment_is_an_error_with_its_name(tmp_path, content, reason):
    (tmp_path / FIRST_SEGMENT).write_bytes(content)
    with pytest.raises(DamagedSegmentError, match=reason):
        opened(tmp_path)


def test_a_short_write_is_continued(tmp_path):
    segments = opened(tmp_path, FullDisk(most_at_once=17))
    segments.append([b"x" * 100, b"y" * 50])
    assert take_all(segments) == [b"x" * 100, b"y" * 50]


def test_a_full_disk_fails_the_write_and_leaves_the_records_before(tmp_path):
    disk = FullDisk()
    segments = filled(tmp_path, disk)
    for capacity in range(1, 40, 3):
        disk.capacity = capacity
        with pytest.raises(OSError):
            segments.append([b"z" * 100])
        disk.capacity = 10**9
    segments.append([b"capacity again"])
    segments.close()
    reopened = opened(tmp_path)
    assert not reopened.skipped_ranges and len(reopened) == 7
    assert take_all(reopened)[-1] == b"capacity again"


def test_the_oldest_segments_are_dropped_beyond_the_size_limit(tmp_path):
    segments = Segments(tmp_path, 5000, 1000)
    for number in range(100):
        segments.append([b"%03d" % number * 30])
        assert sum(path.stat().st_size for path in tmp_path.iterdir()) <= 5000
    assert 0 < segments.dropped_record_count < 100
    assert take_all(segments)[-1] == b"099" * 30


PROGRAM = (
    "import sys\nfrom pathlib import Path\nfrom ravenshelf.store.segments import Segments\n"
    "segments = Segments(Path(sys.argv[1]), 10**7, 20000)\n"
    "for n in range(10**6):\n    segments.append([b'%d' % n * 9])\n    print(n, flush=True)\n"
)


@pytest.mark.parametrize("lines", [1, 40, 333])
def test_acknowledged_records_survive_a_kill_at_any_moment(tmp_path, lines):
    process = subprocess.Popen([sys.executable, "-c", PROGRAM, str(tmp_path)], stdout=subprocess.PIPE)
    acknowledged = [int(process.stdout.readline()) for _ in range(lines)]
    process.send_signal(signal.SIGKILL)
    acknowledged += [int(line) for line in process.stdout.read().split(b"\n")[:-1] if line]
    process.wait()
    found = take_all(Segments(tmp_path, 10**7, 20000))
    assert found[: len(acknowledged)] == [b"%d" % number * 9 for number in acknowledged]
    assert len(found) <= len(acknowledged) + 1
