"""A map that survives a crash: a snapshot and the changes after it, in segments with checksums.

`append` returns when its changes are on disk (written and synced); from then on they are there after a kill
or a loss of power. A torn tail of the newest segment is a write that was never acknowledged, and is cut
off. Damage anywhere else is an error with file and offset: to continue without what was acknowledged is
worse than not to start. After a failed sync nothing since the last good one is certain, so the journal
takes no more; whoever uses it has to end.
"""

import fcntl
import os
from collections.abc import Callable, Iterable, Mapping
from enum import IntEnum
from pathlib import Path
from typing import Any, TypeAlias

import msgspec

from ravenshelf.store.errors import DamagedSegmentError, JournalFailedError
from ravenshelf.store.file_system import FileSystem
from ravenshelf.store.segment_format import StoredRecord
from ravenshelf.store.segments import Segments

VERSION = 1
SEGMENT_BYTES = 4 * 1024 * 1024
UNBOUNDED_BYTES = 10**15  # a journal is bounded by compaction, not by dropping segments
COMPACTION_BYTES = 1024 * 1024  # of changes, before they are compacted
COMPACTION_RATIO = 4  # and as many times the size of the last snapshot

Entry: TypeAlias = tuple[Any, Any]
Migration: TypeAlias = Callable[[Any, Any], Entry | None]


class RecordKind(IntEnum):
    """The kinds of records; their values are stored."""

    CHANGE = 0
    REMOVAL = 1
    IDENTITY = 2
    SNAPSHOT_BEGIN = 3
    SNAPSHOT_END = 4


# plain numbers, which are encoded and compared faster: there is one for each record
CHANGE = RecordKind.CHANGE.value
REMOVAL = RecordKind.REMOVAL.value
KINDS_WITHOUT_ENTRY = frozenset(
    (RecordKind.IDENTITY.value, RecordKind.SNAPSHOT_BEGIN.value, RecordKind.SNAPSHOT_END.value)
)
JournalRecord: TypeAlias = tuple[int, int, Any, Any]  # kind, version, key, value: an array in this order


def encode_record(kind: int, key: Any = None, value: Any = None, version: int = VERSION) -> bytes:
    """The body of a record."""
    return msgspec.msgpack.encode((kind, version, key, value))


class Journal:
    """The map is `entries`. `torn_tail_bytes` is what was cut off at the start.

    `identity` says whose journal it is; a folder of another's is an error. `migrations[v]` turns (key,
    value) of version v into that of v + 1, or None to remove it. `is_readonly`: neither locks nor writes.
    Raises DamagedSegmentError or OSError.
    """

    def __init__(
        self,
        folder: Path,
        identity: Mapping[str, str],
        file_system: FileSystem | None = None,
        version: int = VERSION,
        migrations: Mapping[int, Migration] | None = None,
        is_readonly: bool = False,
    ) -> None:
        self.folder = folder
        self.identity = dict(identity)
        self.version = version
        self.migrations = migrations or {}
        self.entries: dict[Any, Any] = {}
        self.failure: JournalFailedError | None = None
        self.torn_tail_bytes = 0
        self._snapshot_bytes = 0
        self._change_bytes = 0
        self._lock_handle: int | None = None
        if is_readonly and not folder.is_dir():
            raise DamagedSegmentError(folder, "expected a folder")
        if not is_readonly:
            self._lock()
        try:
            self.segments = Segments(
                folder,
                UNBOUNDED_BYTES,
                SEGMENT_BYTES,
                file_system,
                sync_on_append=True,
                is_strict=True,
                is_readonly=is_readonly,
            )
            self._recover()
            if not self.segments.segment_sizes and not is_readonly:
                self._write([self._encoded_identity()])
        except BaseException:
            self._unlock()
            raise

    # --- start ---

    def _lock(self) -> None:
        """One process a folder; the system releases the lock however the process ends."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self._lock_handle = os.open(self.folder / "lock", os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self._lock_handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            self._unlock()
            raise DamagedSegmentError(self.folder, "in use by another process") from error

    def _recover(self) -> None:
        skipped_ranges = self.segments.skipped_ranges
        self.torn_tail_bytes = sum(damage.size_bytes for damage in skipped_ranges if damage.is_torn_tail)
        for number, records in self.segments.read_all():
            self._replay(self.segments.path(number).name, records)

    def _replay(self, file: str, records: Iterable[StoredRecord]) -> None:
        """Applies a segment. An unfinished snapshot is ignored: what it was made from is still there."""
        snapshot: dict[Any, Any] | None = None
        for offset, body in records:
            kind, version, key, value = self._decode(body, file, offset)
            if kind not in KINDS_WITHOUT_ENTRY:
                if snapshot is None:
                    self._apply(self.entries, kind, version, key, value)
                    self._change_bytes += len(body)
                else:
                    self._apply(snapshot, kind, version, key, value)
                    self._snapshot_bytes += len(body)
            elif kind == RecordKind.IDENTITY:
                self._check_identity(value, file)
            elif kind == RecordKind.SNAPSHOT_BEGIN:
                snapshot = {}
                self._snapshot_bytes = 0
                self._change_bytes = 0
            else:
                self.entries = _complete_snapshot(snapshot, value, file, offset)
                snapshot = None

    def _decode(self, body: bytes, file: str, offset: int) -> JournalRecord:
        try:
            kind, version, key, value = msgspec.msgpack.decode(body)
        except (msgspec.DecodeError, TypeError, ValueError) as error:
            raise DamagedSegmentError(file, f"expected a record at {offset}", offset) from error
        if version > self.version:
            reason = f"a record of version {version} at {offset}, this program knows {self.version}"
            raise DamagedSegmentError(file, reason, offset)
        return kind, version, tuple(key) if isinstance(key, list) else key, value

    def _check_identity(self, identity: Mapping[str, str], file: str) -> None:
        if identity != self.identity and self.identity:
            raise DamagedSegmentError(file, f"it is {identity}'s, expected {self.identity}'s")
        self.identity = dict(identity)

    def _apply(self, entries: dict[Any, Any], kind: int, version: int, key: Any, value: Any) -> None:
        while version < self.version:
            migration = self.migrations.get(version)
            migrated = (key, value) if migration is None else migration(key, value)
            if migrated is None:
                return
            key, value = migrated
            version += 1
        if kind == REMOVAL:
            entries.pop(key, None)
        else:
            entries[key] = value

    # --- changes ---

    def append(self, changes: Iterable[Entry]) -> None:
        """Stores (key, value) pairs, all or none; a value of None removes the key. Returns when they are on
        disk.

        Raises JournalFailedError.
        """
        changes = list(changes)
        bodies = [
            encode_record(REMOVAL if value is None else CHANGE, key, value, self.version)
            for key, value in changes
        ]
        self._write(bodies)
        for key, value in changes:
            if value is None:
                self.entries.pop(key, None)
            else:
                self.entries[key] = value
        self._change_bytes += sum(map(len, bodies))
        if self._change_bytes > max(COMPACTION_BYTES, COMPACTION_RATIO * self._snapshot_bytes):
            self.compact()

    def _write(self, bodies: list[bytes]) -> None:
        if self.failure is not None:
            raise JournalFailedError(self.folder, self.failure.reason)
        try:
            self.segments.append(bodies)
        except OSError as error:
            self.failure = JournalFailedError(self.folder, str(error.strerror or error))
            raise self.failure from error

    def compact(self) -> None:
        """Writes a segment with all entries; only when it is on disk are the older ones removed."""
        outdated = list(self.segments.segment_sizes)
        self.segments.close()
        begin = [
            self._encoded_identity(),
            encode_record(RecordKind.SNAPSHOT_BEGIN.value, version=self.version),
        ]
        entries = [encode_record(CHANGE, key, value, self.version) for key, value in self.entries.items()]
        end = encode_record(RecordKind.SNAPSHOT_END.value, None, len(entries), self.version)
        self._write([*begin, *entries, end])
        for number in outdated:
            self.segments.drop(number)
        self._snapshot_bytes = sum(map(len, entries))
        self._change_bytes = 0

    def _encoded_identity(self) -> bytes:
        return encode_record(RecordKind.IDENTITY.value, None, self.identity, self.version)

    def close(self) -> None:
        """Closes the files and releases the lock."""
        self.segments.close()
        self._unlock()

    def _unlock(self) -> None:
        if self._lock_handle is not None:
            os.close(self._lock_handle)
            self._lock_handle = None


def _complete_snapshot(
    snapshot: dict[Any, Any] | None, expected: int, file: str, offset: int
) -> dict[Any, Any]:
    """The entries of a snapshot. Raises DamagedSegmentError where they are not as many as its end says."""
    if snapshot is None or len(snapshot) != expected:
        found = len(snapshot or ())
        raise DamagedSegmentError(
            file, f"a snapshot of {expected} entries, {found} found, at {offset}", offset
        )
    return snapshot
