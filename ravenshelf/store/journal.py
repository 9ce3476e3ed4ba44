"""A map that outlives a crash: a snapshot and the changes after it, in segments of checked records.

`append` returns when its changes are on disk (written and synced); from then on they are there after a kill or a
loss of power. A torn tail of the newest segment is a write that was never answered for, and is cut off. Damage
anywhere else is refused with file and offset: to go on without what was acknowledged is worse than not to start.
After a failed sync nothing since the last good one is sure, so the journal takes no more; whoever holds it ends.
"""

import fcntl
import os
from collections.abc import Callable, Iterable, Mapping
from pathlib import Path
from typing import Any

import msgspec

from ravenshelf.store.segments import DamagedSegmentError, Files, Segments

VERSION = 1
CHANGE, GONE, IDENTITY, SNAPSHOT, SNAPPED = range(5)  # kinds of record
SEGMENT = 4 * 1024 * 1024
COMPACT_AT, COMPACT_RATIO = 1024 * 1024, 4  # octets of changes, and as many times the last snapshot


class Failed(Exception):
    """The disk has failed; nothing more is taken."""


def encode(kind: int, key: Any = None, value: Any = None, version: int = VERSION) -> bytes:
    return msgspec.msgpack.encode((kind, version, key, value))


class Journal:
    """`identity` says whose it is; a folder of another's is refused by both names. `migrations[v]` turns (key, value)
    of version v into that of v + 1, or None to let it go."""

    def __init__(
        self,
        folder: Path,
        identity: Mapping[str, str],
        files: Files | None = None,
        version: int = VERSION,
        migrations: Mapping[int, Callable] = {},
        readonly: bool = False,
    ):
        self.folder, self.identity, self.version = folder, dict(identity), version
        self.migrations, self.files = migrations, files or Files()
        self.map: dict[Any, Any] = {}
        self.failed: str | None = None
        self.lock: int | None = None
        self.cut = 0  # octets of a torn tail
        self.snapshot = self.changes = 0  # octets
        if readonly and not folder.is_dir():
            raise DamagedSegmentError(f"{folder}: expected a folder")
        if not readonly:
            self._lock()
        try:
            self.segments = Segments(
                folder, 10**15, SEGMENT, self.files, sync=True, strict=True, readonly=readonly
            )
            self._recover()
            if not self.segments.sizes and not readonly:
                self._write([encode(IDENTITY, None, self.identity, self.version)])
        except BaseException:
            self._unlock()
            raise

    # --- start ---

    def _lock(self) -> None:
        """One process a folder; the system lets go of the lock however the process ends."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self.lock = os.open(self.folder / "lock", os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            self._unlock()
            raise DamagedSegmentError(f"{self.folder}: in use by another process") from None

    def _recover(self) -> None:
        self.cut = sum(lost.size_bytes for lost in self.segments.skipped if lost.torn)
        for number, records in self.segments.all():
            name, pending = self.segments.path(number).name, None
            for offset, body in records:
                kind, version, key, value = self._decode(body, name, offset)
                if kind == IDENTITY:
                    self._known(value, name)
                elif kind == SNAPSHOT:
                    pending, self.snapshot, self.changes = {}, 0, 0
                elif kind == SNAPPED:
                    if pending is None or len(pending) != value:
                        raise DamagedSegmentError(
                            f"{name}: a snapshot of {value} entries, {len(pending or ())} found, at {offset}"
                        )
                    self.map, pending = pending, None
                else:
                    self._apply(self.map if pending is None else pending, kind, version, key, value)
                    if pending is None:
                        self.changes += len(body)
                    else:
                        self.snapshot += len(body)
            # a snapshot that was not finished: what it was made from is still there, it counts for nothing

    def _decode(self, body: bytes, name: str, offset: int) -> tuple:
        try:
            kind, version, key, value = msgspec.msgpack.decode(body)
        except (msgspec.DecodeError, TypeError, ValueError):
            raise DamagedSegmentError(f"{name}: expected a record at {offset}") from None
        if version > self.version:
            raise DamagedSegmentError(
                f"{name}: a record of version {version} at {offset}, this program knows {self.version}"
            )
        return kind, version, tuple(key) if isinstance(key, list) else key, value

    def _known(self, identity: Mapping[str, str], name: str) -> None:
        if identity != self.identity and self.identity:
            raise DamagedSegmentError(f"{name}: it is {identity}'s, expected {self.identity}'s")
        self.identity = dict(identity)

    def _apply(self, into: dict, kind: int, version: int, key, value) -> None:
        while version < self.version:
            moved = self.migrations[version](key, value) if version in self.migrations else (key, value)
            if moved is None:
                return
            (key, value), version = moved, version + 1
        if kind == GONE:
            into.pop(key, None)
        else:
            into[key] = value

    # --- changes ---

    def append(self, changes: Iterable[tuple[Any, Any]]) -> None:
        """Puts (key, value) pairs, a value of None takes the key out. All or nothing; returns when they are on disk."""
        changes = list(changes)
        bodies = [
            encode(GONE if value is None else CHANGE, key, value, self.version) for key, value in changes
        ]
        self._write(bodies)
        for key, value in changes:
            if value is None:
                self.map.pop(key, None)
            else:
                self.map[key] = value
        self.changes += sum(map(len, bodies))
        if self.changes > max(COMPACT_AT, COMPACT_RATIO * self.snapshot):
            self.compact()

    def _write(self, bodies: list[bytes]) -> None:
        if self.failed:
            raise Failed(self.failed)
        try:
            self.segments.append(bodies)
        except OSError as why:
            self.failed = f"{self.folder}: {why.strerror or why}"
            raise Failed(self.failed) from why

    def compact(self) -> None:
        """A segment of its own with all that holds; only when it is on disk do the older ones go."""
        old = list(self.segments.sizes)
        self.segments.close()
        bodies = [encode(IDENTITY, None, self.identity, self.version), encode(SNAPSHOT, version=self.version)]
        entries = [encode(CHANGE, key, value, self.version) for key, value in self.map.items()]
        self._write(bodies + entries + [encode(SNAPPED, None, len(entries), self.version)])
        for number in old:
            self.segments.drop(number)
        self.snapshot, self.changes = sum(map(len, entries)), 0

    def close(self) -> None:
        self.segments.close()
        self._unlock()

    def _unlock(self) -> None:
        if self.lock is not None:
            os.close(self.lock)
            self.lock = None
