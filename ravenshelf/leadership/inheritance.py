"""Limits of a successor while its own decisions know less than those of the holder before. Pure.

The record says what had been ordered; what is unknown counts as ordered. A drain holds until a newer
endpoint list ends it, an endpoint that was warming up continues from its recorded start, and shed load is
admitted step by step. Times are microseconds.
"""

from collections.abc import Iterable, Mapping

from ravenshelf.leadership.record import Record

SECOND = 1_000_000
ADMISSION_STEP = 1.25  # factor by which a group that was shed is admitted more
ADMISSION_STEP_INTERVAL_US = 2 * SECOND
UNLIMITED_LEVEL = 1e5  # an admission level that sheds nothing
LEARNING_PERIOD_US = 60 * SECOND  # after it the successor's own decisions stand alone


class InheritedState:
    """Of one shard, from its takeover on.

    `list_version` is that of the endpoint list that the successor had then.
    """

    __slots__ = ("drained_at", "record", "taken_over_at")

    def __init__(self, taken_over_at: int, record: Record, list_version: int) -> None:
        self.taken_over_at = taken_over_at
        self.record = record
        # a list older than the one that drained an endpoint may still call it ready
        self.drained_at = {
            endpoint: version for endpoint, version in record.drained_at.items() if version > list_version
        }

    def limit_level(self, now: int, group: str, level: float) -> float:
        """The level that may be ordered where the successor's own decisions would order `level`."""
        recorded = self.record.admission_levels.get(group)
        is_learning = now - self.taken_over_at <= LEARNING_PERIOD_US
        if recorded is None or recorded[0] >= UNLIMITED_LEVEL or not is_learning:
            return level
        steps = max(0, now - self.taken_over_at) // ADMISSION_STEP_INTERVAL_US
        return min(level, recorded[0] * ADMISSION_STEP**steps)

    def has_ended(self, now: int) -> bool:
        """Whether it limits nothing any more."""
        return now - self.taken_over_at > LEARNING_PERIOD_US and not self.drained_at

    def endpoints_listed(self, version: int, ready: Iterable[str]) -> None:
        """A list has come; it ends drains that began with an older one, of endpoints that it calls ready."""
        names = set(ready)
        self.drained_at = {
            endpoint: drained_at
            for endpoint, drained_at in self.drained_at.items()
            if not (version > drained_at and endpoint in names)
        }

    def is_drained(self, endpoint: str) -> bool:
        """Whether the endpoint is still drained by an earlier holder."""
        return endpoint in self.drained_at

    def warming_since(self) -> Mapping[str, int]:
        """Starts of endpoints that were warming up, for a list that does not say them."""
        return dict(self.record.warming_since)
