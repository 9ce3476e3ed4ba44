"""A map that survives a crash, stored as a snapshot and the changes after it, in segments with checksums.

`append` returns once its changes are on disk (written and synced), so that they survive a kill or a loss of
power. A torn tail of the newest segment is a write that was never acknowledged, and is truncated. Damage
anywhere else is an error with file and offset, because to continue without acknowledged changes is worse
than not to start. After a failed sync it is uncertain which data since the last successful sync is on disk,
so the journal rejects all further writes, and the process that uses it has to exit.
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
# The size limit that a journal passes to `Segments`, which drops old segments beyond it. Compaction bounds
# the size of a journal, so no segment may be dropped, and this limit is too high to be reached.
UNBOUNDED_BYTES = 10**15
# The journal is compacted when the changes since the last snapshot exceed both MIN_COMPACTION_BYTES and
# COMPACTION_RATIO times the size of the snapshot.
MIN_COMPACTION_BYTES = 1024 * 1024
COMPACTION_RATIO = 4

Entry: TypeAlias = tuple[Any, Any]  # a key of the map and its value
Migration: TypeAlias = Callable[[Any, Any], Entry | None]


class RecordKind(IntEnum):
    """The kind of a record. The values are stored."""

    CHANGE = 0
    REMOVAL = 1
    IDENTITY = 2
    SNAPSHOT_BEGIN = 3
    SNAPSHOT_END = 4


# Plain integers are encoded and compared faster than enumeration members, and each record needs one.
CHANGE = RecordKind.CHANGE.value
REMOVAL = RecordKind.REMOVAL.value
KINDS_WITHOUT_ENTRY = frozenset(
    (RecordKind.IDENTITY.value, RecordKind.SNAPSHOT_BEGIN.value, RecordKind.SNAPSHOT_END.value)
)
JournalRecord: TypeAlias = tuple[int, int, Any, Any]  # kind, version, key, value; stored as an array


def encode_record(kind: int, key: Any = None, value: Any = None, version: int = VERSION) -> bytes:
    """Return the body of a journal record, encoded as MessagePack."""
    return msgspec.msgpack.encode((kind, version, key, value))


class Journal:
    """A map of keys to values that is stored in a folder of segments.

    Attributes:
        entries: The map; it is changed by `append` alone.
        identity: The owner of the journal.
        failure: The first error of a write, or None. No write succeeds after it.
        torn_tail_bytes: Size of the torn tail that was found when the journal was opened.
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
        """Open the journal of a folder, and lock it until `close`.

        Args:
            folder: The folder of the segments, which is created if it does not exist.
            identity: The owner of the journal, which is stored with it. With an empty mapping the journal of
                any owner is opened.
            file_system: The system calls; those of the operating system by default.
            version: The version of the records that are written. Records of later versions are errors.
            migrations: The functions that convert entries, by version. The function of version v converts an
                entry (key, value) to version v + 1, or returns None to remove it. Without such a function the
                entry is kept as it is.
            is_readonly: Whether the folder is neither locked nor changed.

        Raises:
            DamagedSegmentError: The folder is missing (if `is_readonly`), in use by another process, of
                another owner, of a later version, or damaged elsewhere than at the end.
            OSError: The folder cannot be read or written.
        """
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
            raise DamagedSegmentError(folder, "expected a folder with a journal, found none")
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
                self._write([self._encode_identity()])
        except BaseException:
            self._unlock()
            raise

    def _lock(self) -> None:
        """Lock the folder for this process.

        The operating system releases the lock when the process ends, even after a crash.
        """
        self.folder.mkdir(parents=True, exist_ok=True)
        self._lock_handle = os.open(self.folder / "lock", os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self._lock_handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            self._unlock()
            raise DamagedSegmentError(self.folder, "the journal is in use by another process") from error

    def _recover(self) -> None:
        skipped_ranges = self.segments.skipped_ranges
        self.torn_tail_bytes = sum(
            skipped_range.size_bytes for skipped_range in skipped_ranges if skipped_range.is_torn_tail
        )
        for number, records in self.segments.read_all():
            self._replay(self.segments.path(number).name, records)

    def _replay(self, file: str, records: Iterable[StoredRecord]) -> None:
        """Apply the records of a segment to the entries.

        A snapshot without an end is ignored, because the segments that it was made from still exist.
        """
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
                self.entries = _check_snapshot(snapshot, value, file, offset)
                snapshot = None

    def _decode(self, body: bytes, file: str, offset: int) -> JournalRecord:
        try:
            kind, version, key, value = msgspec.msgpack.decode(body)
        except (msgspec.DecodeError, TypeError, ValueError) as error:
            raise DamagedSegmentError(
                file, f"cannot decode the record at {offset}, expected kind, version, key, value", offset
            ) from error
        if version > self.version:
            reason = f"a record of version {version} at {offset}, expected at most version {self.version}"
            raise DamagedSegmentError(file, reason, offset)
        return kind, version, tuple(key) if isinstance(key, list) else key, value

    def _check_identity(self, identity: Mapping[str, str], file: str) -> None:
        if identity != self.identity and self.identity:
            raise DamagedSegmentError(file, f"the journal belongs to {identity}, expected {self.identity}")
        self.identity = dict(identity)

    def _apply(self, entries: dict[Any, Any], kind: int, version: int, key: Any, value: Any) -> None:
        while version < self.version:
            migration = self.migrations.get(version)
            migrated_entry = (key, value) if migration is None else migration(key, value)
            if migrated_entry is None:
                return
            key, value = migrated_entry
            version += 1
        if kind == REMOVAL:
            entries.pop(key, None)
        else:
            entries[key] = value

    def append(self, changes: Iterable[Entry]) -> None:
        """Store changes, all or none of them, and return once they are on disk.

        Args:
            changes: (key, value) pairs; a value of None removes the key.

        Raises:
            JournalFailedError: This write, an earlier one or the compaction after this write has failed.
                `entries` contains the changes only if it was the compaction that failed.
            OSError: The changes are stored, but an old segment could not be removed after the compaction.
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
        if self._change_bytes > max(MIN_COMPACTION_BYTES, COMPACTION_RATIO * self._snapshot_bytes):
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
        """Replace all segments by one that contains only the current entries.

        The old segments are removed only after the new one is on disk.

        Raises:
            JournalFailedError: The new segment could not be written.
            OSError: An old segment could not be removed.
        """
        old_segments = list(self.segments.segment_sizes)
        self.segments.close()
        first_records = [
            self._encode_identity(),
            encode_record(RecordKind.SNAPSHOT_BEGIN.value, version=self.version),
        ]
        entries = [encode_record(CHANGE, key, value, self.version) for key, value in self.entries.items()]
        last_record = encode_record(RecordKind.SNAPSHOT_END.value, None, len(entries), self.version)
        self._write([*first_records, *entries, last_record])
        for number in old_segments:
            self.segments.drop(number)
        self._snapshot_bytes = sum(map(len, entries))
        self._change_bytes = 0

    def _encode_identity(self) -> bytes:
        return encode_record(RecordKind.IDENTITY.value, None, self.identity, self.version)

    def close(self) -> None:
        """Close the files and release the lock."""
        self.segments.close()
        self._unlock()

    def _unlock(self) -> None:
        if self._lock_handle is not None:
            os.close(self._lock_handle)
            self._lock_handle = None


def _check_snapshot(
    snapshot: dict[Any, Any] | None, expected_count: int, file: str, offset: int
) -> dict[Any, Any]:
    """Return the entries of a snapshot whose last record is at `offset`.

    Raises:
        DamagedSegmentError: The number of entries differs from the one in the last record.
    """
    if snapshot is None or len(snapshot) != expected_count:
        entry_count = len(snapshot or ())
        raise DamagedSegmentError(
            file, f"expected a snapshot of {expected_count} entries, found {entry_count}, at {offset}", offset
        )
    return snapshot
