"""The state of one topic: entries, version, and enough history to update a late subscriber by a delta."""

from collections import deque
from dataclasses import dataclass
from enum import Enum

from ravenshelf.distribution.messages import NEVER, Changes, Delta, Entry, Snapshot, Version

SNAPSHOT_PART_ENTRIES = 128  # some 5 KB: a reader of 7 KB/s receives a message each second
MIN_HISTORY_CHANGES = 16


class UpdateOutcome(Enum):
    """Result of receiving an update of a topic."""

    APPLIED = "applied"
    INCOMPLETE = "incomplete"  # a snapshot that lacks parts
    DUPLICATE = "duplicate"  # no news
    STALE_EPOCH = "stale epoch"  # from a deposed owner
    GAP = "gap"  # an update in between was missed: only a resync helps


@dataclass
class _PartialSnapshot:
    version: Version
    parts: int
    entries: dict[int, dict[str, Entry]]  # by number of the part


class Topic:
    """One topic as its owner, a relay or a subscriber holds it.

    Versions never go back within an epoch, and never to an earlier epoch. A delta is applied only if it
    covers all changes since the version held.
    """

    def __init__(self, name: str):
        self.name = name
        self.version = NEVER
        self.entries: dict[str, Entry] = {}
        self._history: deque[Delta] = deque()  # oldest first, each begins where the one before ends
        self._history_changes = 0
        self._partial: _PartialSnapshot | None = None

    def receive(self, message: Snapshot | Delta) -> UpdateOutcome:
        """Handle an update from the topic's upstream."""
        if isinstance(message, Snapshot):
            return self._receive_snapshot(message)
        return self._receive_delta(message)

    def discard_partial_snapshot(self) -> None:
        """Drop an incomplete snapshot: its connection has broken."""
        self._partial = None

    # --- snapshots ---

    def _receive_snapshot(self, part: Snapshot) -> UpdateOutcome:
        if part.version <= self.version:
            return self._rejected(part.version)
        partial = self._partial
        if partial is None or partial.version < part.version:
            partial = self._partial = _PartialSnapshot(part.version, part.part_count, {})
        elif partial.version > part.version:
            return UpdateOutcome.DUPLICATE
        partial.entries[part.part_index] = part.entries
        if len(partial.entries) < partial.parts:
            return UpdateOutcome.INCOMPLETE
        entries = {
            key: entry for number in sorted(partial.entries) for key, entry in partial.entries[number].items()
        }
        self.replace(part.version, entries)
        return UpdateOutcome.APPLIED

    def _rejected(self, version: Version) -> UpdateOutcome:
        """Return the outcome of an update that is not later than the version held."""
        return UpdateOutcome.STALE_EPOCH if version.epoch < self.version.epoch else UpdateOutcome.DUPLICATE

    def replace(self, version: Version, entries: dict[str, Entry]) -> None:
        """Replace the complete state; the history restarts, as the changes in between are unknown."""
        self.version = version
        self.entries = entries
        self._partial = None
        self._history.clear()
        self._history_changes = 0

    # --- deltas ---

    def _receive_delta(self, delta: Delta) -> UpdateOutcome:
        if delta.version <= self.version:
            return self._rejected(delta.version)
        if not self._covers(delta):
            return UpdateOutcome.GAP
        self.apply(delta)
        return UpdateOutcome.APPLIED

    def _covers(self, delta: Delta) -> bool:
        """Return whether the delta holds all changes since the version held."""
        if (
            delta.version.epoch != self.version.epoch
        ):  # a handover starts from exactly what the successor held
            return delta.since == self.version
        return delta.since <= self.version and delta.since.epoch == self.version.epoch

    def apply(self, delta: Delta) -> None:
        """Apply a delta that is known to cover all changes since the version held."""
        for key, entry in delta.changes.items():
            if entry is None:
                self.entries.pop(key, None)
            else:
                self.entries[key] = entry
        if delta.since != self.version:
            delta = Delta(delta.topic, self.version, delta.version, delta.changes)
        self.version = delta.version
        self._partial = None
        self._append_history(delta)

    def _append_history(self, delta: Delta) -> None:
        self._history.append(delta)
        self._history_changes += len(delta.changes) + 1
        # beyond this limit a snapshot is as small as the delta
        while self._history_changes > max(len(self.entries), MIN_HISTORY_CHANGES):
            self._history_changes -= len(self._history.popleft().changes) + 1

    # --- updates of subscribers ---

    def updates_since(self, held: Version) -> list[Snapshot | Delta]:
        """Return the updates from version `held` to the present one; empty if the subscriber is as far or
        further."""
        if held >= self.version:
            return []
        delta = self._delta_since(held)
        if delta is not None:
            return [delta]
        return [*self.snapshot()]

    def _delta_since(self, held: Version) -> Delta | None:
        first = next((number for number, delta in enumerate(self._history) if delta.since == held), None)
        if first is None:
            return None
        changes: Changes = {}
        for delta in list(self._history)[first:]:
            changes.update(delta.changes)
        return Delta(self.name, held, self.version, changes)

    def snapshot(self) -> list[Snapshot]:
        """Return the complete state, in parts."""
        keys = list(self.entries)
        starts = range(0, max(1, len(keys)), SNAPSHOT_PART_ENTRIES)
        return [
            Snapshot(
                self.name,
                self.version,
                number,
                len(starts),
                {key: self.entries[key] for key in keys[start : start + SNAPSHOT_PART_ENTRIES]},
            )
            for number, start in enumerate(starts)
        ]
