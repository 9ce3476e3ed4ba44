"""Encoding and decoding of a segment's bytes, without input or output.

A segment consists of a header (magic, version) and records. A record consists of a header (marker, size of
the body, checksum) and a body. The checksum is xxh64 of the body, seeded with the size of the body. Numbers
are little-endian.
"""

import struct
from dataclasses import dataclass
from typing import NamedTuple, TypeAlias

import xxhash

from ravenshelf.store.errors import DamagedSegmentError

SEGMENT_HEADER = struct.Struct("<8sI")
RECORD_HEADER = struct.Struct("<4sIQ")
MAGIC = b"rvnsegs\0"
RECORD_MARKER = b"\xf5rec"
VERSION = 1
MAX_BODY_BYTES = 4 * 1024 * 1024


# A record of a segment: the offset of its header in the file in bytes, and its body.
StoredRecord: TypeAlias = tuple[int, bytes]


@dataclass(frozen=True, slots=True)
class SkippedRange:
    """A range of a file without a valid record.

    It is a torn tail if it is at the end of the newest segment: an interrupted write leaves such a range.
    """

    file: str
    offset: int
    size_bytes: int
    is_torn_tail: bool


class SegmentContent(NamedTuple):
    """The valid records of a segment, and the byte ranges that contain none."""

    records: list[StoredRecord]
    skipped_ranges: list[SkippedRange]


def segment_header() -> bytes:
    """Return the bytes with which every segment begins."""
    return SEGMENT_HEADER.pack(MAGIC, VERSION)


def pack(body: bytes) -> bytes:
    """Return the bytes of a record.

    Raises:
        ValueError: The body is longer than MAX_BODY_BYTES.
    """
    if len(body) > MAX_BODY_BYTES:
        raise ValueError(f"the body of a record has {len(body)} bytes, at most {MAX_BODY_BYTES} expected")
    return RECORD_HEADER.pack(RECORD_MARKER, len(body), _checksum(body)) + body


def _checksum(body: bytes) -> int:
    return xxhash.xxh64_intdigest(body, seed=len(body))


def unpack(data: bytes, file: str, is_newest: bool) -> SegmentContent:
    """Return the records and the skipped ranges of a segment.

    Args:
        data: The content of the segment's file.
        file: The name of the file, for errors and skipped ranges.
        is_newest: Whether it is the newest segment of its folder, whose end may be a torn tail.

    Raises:
        DamagedSegmentError: The header is not that of a segment of this version.
    """
    if len(data) < SEGMENT_HEADER.size and is_newest:
        return SegmentContent([], [SkippedRange(file, 0, len(data), True)] if data else [])
    _check_header(data, file)
    records: list[StoredRecord] = []
    skipped_ranges = []
    offset = SEGMENT_HEADER.size
    while offset < len(data):
        body = _body_at(data, offset)
        if body is not None:
            records.append((offset, body))
            offset += RECORD_HEADER.size + len(body)
            continue
        next_offset = _find_record(data, offset + 1)
        range_end = len(data) if next_offset is None else next_offset
        is_torn_tail = is_newest and next_offset is None
        skipped_ranges.append(SkippedRange(file, offset, range_end - offset, is_torn_tail))
        offset = range_end
    return SegmentContent(records, skipped_ranges)


def _check_header(data: bytes, file: str) -> None:
    if len(data) < SEGMENT_HEADER.size or data[: len(MAGIC)] != MAGIC:
        raise DamagedSegmentError(
            file, f"expected a segment, found a file that starts with {data[: len(MAGIC)]!r}", 0
        )
    _, version = SEGMENT_HEADER.unpack_from(data)
    if version != VERSION:
        raise DamagedSegmentError(file, f"expected version {VERSION}, not {version}", 0)


def _find_record(data: bytes, start: int) -> int | None:
    """Return the offset of the first valid record at or after `start`, or None if there is none."""
    offset = data.find(RECORD_MARKER, start)
    while offset >= 0:
        if _body_at(data, offset) is not None:
            return offset
        offset = data.find(RECORD_MARKER, offset + 1)
    return None


def _body_at(data: bytes, offset: int) -> bytes | None:
    """Return the body of the record at an offset, or None if there is no valid record."""
    body_start = offset + RECORD_HEADER.size
    if body_start > len(data):
        return None
    marker, size, checksum = RECORD_HEADER.unpack_from(data, offset)
    if marker != RECORD_MARKER or size > MAX_BODY_BYTES or body_start + size > len(data):
        return None
    body = data[body_start : body_start + size]
    return body if _checksum(body) == checksum else None
