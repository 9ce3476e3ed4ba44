"""The state of one topic: entries, version, and enough history to bring a late subscriber up by a delta."""

from collections import deque
from dataclasses import dataclass
from enum import Enum

from ravenshelf.distribution.messages import NEVER, Changes, Delta, Entry, Snapshot, Version

PART_ENTRIES = (
    128  # entries in one part of a snapshot, some 5 KB: a reader of 7 KB/s hears something each second
)


class Outcome(Enum):
    """What came of a message on a topic."""

    APPLIED = "applied"
    INCOMPLETE = "incomplete"  # a snapshot that lacks parts
    DUPLICATE = "duplicate"  # nothing that was not known
    STALE_EPOCH = "stale epoch"  # from an owner that was deposed
    GAP = "gap"  # something in between was missed: only a resync helps


@dataclass
class _PartialSnapshot:
    version: Version
    parts: int
    entries: dict[int, dict[str, Entry]]


class Topic:
    """One topic as its owner, a relay or a subscriber holds it.

    Versions never go back within an epoch, and never to an earlier epoch. A delta is applied only where it covers all that
    happened since the version held.
    """

    def __init__(self, name: str):
        self.name = name
        self.version = NEVER
        self.entries: dict[str, Entry] = {}
        self._history: deque[Delta] = deque()  # oldest first, each begins where the one before ends
        self._history_changes = 0
        self._partial: _PartialSnapshot | None = None

    def receive(self, message: Snapshot | Delta) -> Outcome:
        """Takes a message of the topic's upstream."""
        return self._take_snapshot(message) if isinstance(message, Snapshot) else self._take_delta(message)

    def drop_partial(self) -> None:
        """The connection has broken: the rest of a snapshot does not come."""
        self._partial = None

    # --- snapshots ---

    def _take_snapshot(self, part: Snapshot) -> Outcome:
        if part.version <= self.version:
            return Outcome.STALE_EPOCH if part.version.epoch < self.version.epoch else Outcome.DUPLICATE
        partial = self._partial
        if partial is None or partial.version < part.version:
            partial = self._partial = _PartialSnapshot(part.version, part.parts, {})
        elif partial.version > part.version:
            return Outcome.DUPLICATE
        partial.entries[part.part] = part.entries
        if len(partial.entries) < partial.parts:
            return Outcome.INCOMPLETE
        entries = {
            key: entry for number in sorted(partial.entries) for key, entry in partial.entries[number].items()
        }
        self.replace(part.version, entries)
        return Outcome.APPLIED

    def replace(self, version: Version, entries: dict[str, Entry]) -> None:
        """The whole state is a new one; what led to it is not known, so the history begins anew."""
        self.version, self.entries = version, entries
        self._partial = None
        self._history.clear()
        self._history_changes = 0

    # --- deltas ---

    def _take_delta(self, delta: Delta) -> Outcome:
        if delta.version <= self.version:
            return Outcome.STALE_EPOCH if delta.version.epoch < self.version.epoch else Outcome.DUPLICATE
        if not self._covers(delta):
            return Outcome.GAP
        self.apply(delta)
        return Outcome.APPLIED

    def _covers(self, delta: Delta) -> bool:
        """Whether the delta holds all that happened since the version held."""
        if (
            delta.version.epoch != self.version.epoch
        ):  # a handover starts from exactly what the successor knew
            return delta.since == self.version
        return delta.since <= self.version and delta.since.epoch == self.version.epoch

    def apply(self, delta: Delta) -> None:
        """Takes a delta that is known to cover all since the version held."""
        for key, entry in delta.changes.items():
            if entry is None:
                self.entries.pop(key, None)
            else:
                self.entries[key] = entry
        if delta.since != self.version:
            delta = Delta(delta.topic, self.version, delta.version, delta.changes)
        self.version = delta.version
        self._partial = None
        self._remember(delta)

    def _remember(self, delta: Delta) -> None:
        self._history.append(delta)
        self._history_changes += len(delta.changes) + 1
        while self._history_changes > max(len(self.entries), 16):  # from there on a snapshot is as small
            self._history_changes -= len(self._history.popleft().changes) + 1

    # --- what a subscriber is sent ---

    def updates_since(self, held: Version) -> list[Snapshot | Delta]:
        """What brings a subscriber from `held` to the present version; empty where it is as far or further."""
        if held >= self.version:
            return []
        delta = self._delta_since(held)
        return [delta] if delta is not None else self.snapshot()

    def _delta_since(self, held: Version) -> Delta | None:
        first = next((n for n, delta in enumerate(self._history) if delta.since == held), None)
        if first is None:
            return None
        changes: Changes = {}
        for delta in list(self._history)[first:]:
            changes.update(delta.changes)
        return Delta(self.name, held, self.version, changes)

    def snapshot(self) -> list[Snapshot]:
        """The whole state, in parts."""
        keys = list(self.entries)
        cuts = range(0, max(1, len(keys)), PART_ENTRIES)
        return [
            Snapshot(
                self.name,
                self.version,
                number,
                len(cuts),
                {key: self.entries[key] for key in keys[cut : cut + PART_ENTRIES]},
            )
            for number, cut in enumerate(cuts)
        ]
