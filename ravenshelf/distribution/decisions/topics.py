"""State of one topic: entries, version, and the history that allows updating a late subscriber by a delta."""

from collections import deque
from dataclasses import dataclass
from enum import Enum

from ravenshelf.distribution.messages import NEVER, Changes, Delta, Entry, Snapshot, Version

# Number of entries in one message of a snapshot. They take about 5 KB, so a subscriber that reads only 7 KB/s
# still receives a message each second.
SNAPSHOT_PART_ENTRIES = 128
# The history may contain this number of changes even if the topic has fewer entries. It may then be larger
# than the topic's snapshot.
MIN_HISTORY_CHANGES = 16


class UpdateOutcome(Enum):
    """Result of receiving an update of a topic."""

    APPLIED = "applied"
    INCOMPLETE = "incomplete"  # Parts of the snapshot have not arrived yet.
    DUPLICATE = "duplicate"  # The update is not newer than what has been received.
    STALE_EPOCH = "stale epoch"  # The update comes from a previous owner.
    GAP = "gap"  # An earlier update was missed; the topic needs a resync.


@dataclass
class _PartialSnapshot:
    version: Version
    part_count: int
    entries: dict[int, dict[str, Entry]]  # The entries of each received part, by the index of the part.


class Topic:
    """State of one topic at its owner, a relay or a subscriber.

    Versions never go back within an epoch, and never to an earlier epoch. A delta is applied only if it
    covers all changes since the present version.
    """

    def __init__(self, name: str):
        self.name = name
        self.version = NEVER
        self.entries: dict[str, Entry] = {}
        # The oldest delta comes first. Each begins at the version to which the one before it leads.
        self._history: deque[Delta] = deque()
        self._history_changes = 0
        self._partial_snapshot: _PartialSnapshot | None = None

    def receive(self, message: Snapshot | Delta) -> UpdateOutcome:
        """Apply an update from the topic's upstream, if it is applicable."""
        if isinstance(message, Snapshot):
            return self._receive_snapshot(message)
        return self._receive_delta(message)

    def discard_partial_snapshot(self) -> None:
        """Discard the received parts of an incomplete snapshot, after its connection has ended."""
        self._partial_snapshot = None

    def _receive_snapshot(self, part: Snapshot) -> UpdateOutcome:
        if part.version <= self.version:
            return self._outcome_of_old_update(part.version)
        partial_snapshot = self._partial_snapshot
        if partial_snapshot is None or partial_snapshot.version < part.version:
            partial_snapshot = self._partial_snapshot = _PartialSnapshot(part.version, part.part_count, {})
        elif partial_snapshot.version > part.version:
            return UpdateOutcome.DUPLICATE
        partial_snapshot.entries[part.part_index] = part.entries
        if len(partial_snapshot.entries) < partial_snapshot.part_count:
            return UpdateOutcome.INCOMPLETE
        entries = {
            key: entry
            for index in sorted(partial_snapshot.entries)
            for key, entry in partial_snapshot.entries[index].items()
        }
        self.replace(part.version, entries)
        return UpdateOutcome.APPLIED

    def _outcome_of_old_update(self, version: Version) -> UpdateOutcome:
        """Return the outcome of an update whose version is not later than the present one."""
        return UpdateOutcome.STALE_EPOCH if version.epoch < self.version.epoch else UpdateOutcome.DUPLICATE

    def replace(self, version: Version, entries: dict[str, Entry]) -> None:
        """Replace the complete state.

        The history starts again from this version, as the changes in between are unknown.
        """
        self.version = version
        self.entries = entries
        self._partial_snapshot = None
        self._history.clear()
        self._history_changes = 0

    def _receive_delta(self, delta: Delta) -> UpdateOutcome:
        if delta.version <= self.version:
            return self._outcome_of_old_update(delta.version)
        if not self._covers(delta):
            return UpdateOutcome.GAP
        self.apply(delta)
        return UpdateOutcome.APPLIED

    def _covers(self, delta: Delta) -> bool:
        """Return whether the delta contains all changes since the present version."""
        # The first delta of a new owner starts from exactly the version that the owner had replicated.
        if delta.version.epoch != self.version.epoch:
            return delta.base_version == self.version
        return delta.base_version <= self.version and delta.base_version.epoch == self.version.epoch

    def apply(self, delta: Delta) -> None:
        """Apply a delta without checking that it covers all changes since the present version."""
        for key, entry in delta.changes.items():
            if entry is None:
                self.entries.pop(key, None)
            else:
                self.entries[key] = entry
        if delta.base_version != self.version:
            delta = Delta(delta.topic, self.version, delta.version, delta.changes)
        self.version = delta.version
        self._partial_snapshot = None
        self._append_history(delta)

    def _append_history(self, delta: Delta) -> None:
        self._history.append(delta)
        self._history_changes += len(delta.changes) + 1
        # With more changes than entries a snapshot is as small as the delta.
        while self._history_changes > max(len(self.entries), MIN_HISTORY_CHANGES):
            self._history_changes -= len(self._history.popleft().changes) + 1

    def updates_since(self, held_version: Version) -> list[Snapshot | Delta]:
        """Return the updates from a subscriber's version to the present one.

        They are one delta if the history goes back to that version, and otherwise a snapshot in parts.

        Args:
            held_version: The version that the subscriber holds.

        Returns:
            The updates; empty if the subscriber holds the present version or a later one.
        """
        if held_version >= self.version:
            return []
        delta = self._delta_since(held_version)
        if delta is not None:
            return [delta]
        return [*self.snapshot()]

    def _delta_since(self, held_version: Version) -> Delta | None:
        first_index = next(
            (index for index, delta in enumerate(self._history) if delta.base_version == held_version), None
        )
        if first_index is None:
            return None
        changes: Changes = {}
        for delta in list(self._history)[first_index:]:
            changes.update(delta.changes)
        return Delta(self.name, held_version, self.version, changes)

    def snapshot(self) -> list[Snapshot]:
        """Return the complete state in parts of at most SNAPSHOT_PART_ENTRIES entries."""
        keys = list(self.entries)
        starts = range(0, max(1, len(keys)), SNAPSHOT_PART_ENTRIES)
        return [
            Snapshot(
                self.name,
                self.version,
                index,
                len(starts),
                {key: self.entries[key] for key in keys[start : start + SNAPSHOT_PART_ENTRIES]},
            )
            for index, start in enumerate(starts)
        ]
