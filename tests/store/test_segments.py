"""Tests of segments: acknowledged records survive a torn tail, damage, a full disk and a kill."""

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


def open_segments(folder, file_system=None):
    return Segments(folder, SIZE_LIMIT_BYTES, SEGMENT_BYTES, file_system)


def write_segments(folder, file_system=None, count=6):
    segments = open_segments(folder, file_system)
    for number in range(count):
        segments.append([b"record %d " % number * 5])
    return segments


def read_and_drop_all(segments):
    """Return the bodies of all records after dropping their segments."""
    bodies = []
    while (oldest_segment := segments.read_oldest()) is not None:
        number, segment_bodies = oldest_segment
        bodies += segment_bodies
        segments.drop(number)
    return bodies


def find_only_segment(folder):
    (path,) = folder.glob("*.segment")
    return path


def test_a_tail_that_is_torn_at_any_byte_loses_only_the_torn_record(tmp_path):
    write_segments(tmp_path / "complete").close()
    data = find_only_segment(tmp_path / "complete").read_bytes()
    records, _ = unpack(data, "x", True)
    for size in range(len(data)):
        folder = tmp_path / str(size)
        folder.mkdir()
        (folder / FIRST_SEGMENT).write_bytes(data[:size])
        segments = open_segments(folder)
        complete_bodies = [
            body for offset, body in records if offset + RECORD_HEADER.size + len(body) <= size
        ]
        assert len(segments) == len(complete_bodies)
        segments.append([b"after"])
        assert read_and_drop_all(segments) == [*complete_bodies, b"after"]


def test_a_damaged_record_is_skipped_and_reported_with_its_offset(tmp_path):
    write_segments(tmp_path).close()
    path = find_only_segment(tmp_path)
    data = bytearray(path.read_bytes())
    offset, _ = unpack(bytes(data), "x", True).records[2]
    data[offset + 20] ^= 1
    path.write_bytes(data)
    segments = open_segments(tmp_path)
    assert [
        (skipped_range.offset, skipped_range.is_torn_tail) for skipped_range in segments.skipped_ranges
    ] == [(offset, False)]
    assert len(read_and_drop_all(segments)) == 5


@pytest.mark.parametrize(
    "content, reason",
    [
        pytest.param(b"something else entirely", f"{FIRST_SEGMENT}: expected a segment", id="another file"),
        pytest.param(SEGMENT_HEADER.pack(b"rvnsegs\0", 2), "expected version 1, not 2", id="later version"),
    ],
)
def test_a_file_that_is_no_segment_is_an_error_with_its_file_name(tmp_path, content, reason):
    (tmp_path / FIRST_SEGMENT).write_bytes(content)
    with pytest.raises(DamagedSegmentError, match=reason):
        open_segments(tmp_path)


def test_a_short_write_is_continued(tmp_path):
    segments = open_segments(tmp_path, FullDisk(max_write_bytes=17))
    segments.append([b"x" * 100, b"y" * 50])
    assert read_and_drop_all(segments) == [b"x" * 100, b"y" * 50]


def test_a_full_disk_fails_the_write_and_keeps_the_earlier_records(tmp_path):
    disk = FullDisk()
    segments = write_segments(tmp_path, disk)
    for capacity in range(1, 40, 3):
        disk.capacity = capacity
        with pytest.raises(OSError):
            segments.append([b"z" * 100])
        disk.capacity = 10**9
    segments.append([b"capacity again"])
    segments.close()
    reopened_segments = open_segments(tmp_path)
    assert not reopened_segments.skipped_ranges and len(reopened_segments) == 7
    assert read_and_drop_all(reopened_segments)[-1] == b"capacity again"


def test_the_oldest_segments_are_dropped_beyond_the_size_limit(tmp_path):
    segments = Segments(tmp_path, 5000, 1000)
    for number in range(100):
        segments.append([b"%03d" % number * 30])
        assert sum(path.stat().st_size for path in tmp_path.iterdir()) <= 5000
    assert 0 < segments.dropped_record_count < 100
    assert read_and_drop_all(segments)[-1] == b"099" * 30


APPENDING_PROGRAM = (
    "import sys\nfrom pathlib import Path\nfrom ravenshelf.store.segments import Segments\n"
    "segments = Segments(Path(sys.argv[1]), 10**7, 20000)\n"
    "for number in range(10**6):\n    segments.append([b'%d' % number * 9])\n    print(number, flush=True)\n"
)


@pytest.mark.parametrize("line_count", [1, 40, 333])
def test_acknowledged_records_survive_a_kill_at_any_moment(tmp_path, line_count):
    process = subprocess.Popen(
        [sys.executable, "-c", APPENDING_PROGRAM, str(tmp_path)], stdout=subprocess.PIPE
    )
    acknowledged = [int(process.stdout.readline()) for _ in range(line_count)]
    process.send_signal(signal.SIGKILL)
    acknowledged += [int(line) for line in process.stdout.read().split(b"\n")[:-1] if line]
    process.wait()
    bodies = read_and_drop_all(Segments(tmp_path, 10**7, 20000))
    assert bodies[: len(acknowledged)] == [b"%d" % number * 9 for number in acknowledged]
    assert len(bodies) <= len(acknowledged) + 1
