"""Publication of a topic by its owner: changes are collected and published as one delta for each flush."""

from collections.abc import Mapping

from ravenshelf.distribution.decisions.topics import Topic
from ravenshelf.distribution.messages import Changes, Delta, Entry, Version

FLUSH_INTERVAL_US = 100_000  # During a burst of changes ten deltas of a topic are published a second.


class Publication:
    """A topic at its owner, with the epoch of the owner's lease. Times are in microseconds."""

    def __init__(self, topic: Topic, epoch: int):
        """Create a publication whose first flush, which is due at once, hands the topic over to the epoch.

        Args:
            topic: The topic, empty or as the owner has replicated it.
            epoch: Epoch of the owner's lease.

        Raises:
            ValueError: The epoch is not later than the topic's.
        """
        if epoch <= topic.version.epoch:
            raise ValueError(
                f"topic {topic.name}: expected an epoch later than {topic.version.epoch}, found {epoch}"
            )
        self.topic = topic
        self.epoch = epoch
        self._pending_changes: Changes = {}
        self._flush_at: int | None = 0  # The handover is due at once.

    @property
    def due_at(self) -> int | None:
        """Time of the next flush, or None while there are no changes to publish."""
        return self._flush_at

    def put(self, now: int, key: str, entry: Entry | None) -> None:
        """Set a key with the next flush, or remove it if `entry` is None; an equal entry is no change."""
        current_entry = (
            self._pending_changes[key] if key in self._pending_changes else self.topic.entries.get(key)
        )
        if current_entry == entry:
            return
        self._pending_changes[key] = entry
        if self._flush_at is None:
            self._flush_at = now + FLUSH_INTERVAL_US

    def replace_entries(self, now: int, entries: Mapping[str, Entry]) -> None:
        """Make the topic's state equal to `entries` with the next flush."""
        for key in [key for key in {**self.topic.entries, **self._pending_changes} if key not in entries]:
            self.put(now, key, None)
        for key, entry in entries.items():
            self.put(now, key, entry)

    def flush(self) -> Delta:
        """Publish the pending changes as the next version, and return them."""
        version = self.topic.version
        next_sequence = version.sequence + 1 if version.epoch == self.epoch else 1
        next_version = Version(self.epoch, next_sequence)
        changes = {
            key: entry for key, entry in self._pending_changes.items() if self.topic.entries.get(key) != entry
        }
        delta = Delta(self.topic.name, version, next_version, changes)
        self.topic.apply(delta)
        self._pending_changes = {}
        self._flush_at = None
        return delta
