"""The bytes of a segment. Pure.

A segment is a header (magic, version), then records, each a header (marker, size of the body, checksum) and
a body. The checksum is xxh64 of the body, seeded with its size. Numbers are little-endian.
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
RECORD_LIMIT_BYTES = 4 * 1024 * 1024


# a record that was read: where its header begins in the file, and its body
StoredRecord: TypeAlias = tuple[int, bytes]


@dataclass(frozen=True, slots=True)
class SkippedRange:
    """A range of a file that holds no valid record."""

    file: str
    offset: int
    size_bytes: int
    is_torn_tail: bool  # at the very end of the newest segment: a write that was interrupted


class SegmentContent(NamedTuple):
    """The valid records of a segment, and the ranges without any."""

    records: list[StoredRecord]
    skipped_ranges: list[SkippedRange]


def segment_header() -> bytes:
    """The first bytes of a new segment."""
    return SEGMENT_HEADER.pack(MAGIC, VERSION)


def pack(body: bytes) -> bytes:
    """The bytes of a record. Raises ValueError where the body is too long."""
    if len(body) > RECORD_LIMIT_BYTES:
        raise ValueError(f"a record of {len(body)} bytes, at most {RECORD_LIMIT_BYTES} expected")
    return RECORD_HEADER.pack(RECORD_MARKER, len(body), _checksum(body)) + body


def _checksum(body: bytes) -> int:
    return xxhash.xxh64_intdigest(body, seed=len(body))


def unpack(data: bytes, file: str, is_newest: bool) -> SegmentContent:
    """The content of a segment file; `file` is its name.

    Raises DamagedSegmentError for what is no segment.
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
        following = _next_record(data, offset + 1)
        end = len(data) if following is None else following
        is_torn_tail = is_newest and following is None
        skipped_ranges.append(SkippedRange(file, offset, end - offset, is_torn_tail))
        offset = end
    return SegmentContent(records, skipped_ranges)


def _check_header(data: bytes, file: str) -> None:
    if len(data) < SEGMENT_HEADER.size or data[: len(MAGIC)] != MAGIC:
        raise DamagedSegmentError(file, f"expected a segment, not {data[: len(MAGIC)]!r}", 0)
    _, version = SEGMENT_HEADER.unpack_from(data)
    if version != VERSION:
        raise DamagedSegmentError(file, f"expected version {VERSION}, not {version}", 0)


def _next_record(data: bytes, start: int) -> int | None:
    """Where the next valid record begins, or None."""
    offset = data.find(RECORD_MARKER, start)
    while offset >= 0:
        if _body_at(data, offset) is not None:
            return offset
        offset = data.find(RECORD_MARKER, offset + 1)
    return None


def _body_at(data: bytes, offset: int) -> bytes | None:
    begin = offset + RECORD_HEADER.size
    if begin > len(data):
        return None
    marker, size, checksum = RECORD_HEADER.unpack_from(data, offset)
    if marker != RECORD_MARKER or size > RECORD_LIMIT_BYTES or begin + size > len(data):
        return None
    body = data[begin : begin + size]
    return body if _checksum(body) == checksum else None
