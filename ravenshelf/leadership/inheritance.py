"""Limits of a successor as long as it has less information than the previous holder had. No I/O, no clock.

The record contains what the previous holder had commanded. The successor applies it as long as it has no
information of its own: a drain stays until a newer endpoint list ends it, an endpoint that was warming up
continues from its recorded start, and shed load is admitted step by step. Times are microseconds.
"""

from collections.abc import Iterable, Mapping

from ravenshelf.leadership.record import Record
from ravenshelf.time_units import SECOND

ADMISSION_STEP = 1.25  # factor by which the admission level of a shed group rises at each step
ADMISSION_STEP_INTERVAL_US = 2 * SECOND
UNLIMITED_LEVEL = 1e5  # an admission level at which no request is shed
# the recorded admission levels limit a successor for this time after the takeover
LEARNING_PERIOD_US = 60 * SECOND


class InheritedState:
    """The state of one shard that its holder took over from the previous holder.

    Args:
        taken_over_at: When the shard was taken over.
        record: The record of the previous holder.
        list_version: The version of the endpoint list that the successor had at the takeover.
    """

    __slots__ = ("drained_at", "record", "taken_over_at")

    def __init__(self, taken_over_at: int, record: Record, list_version: int) -> None:
        self.taken_over_at = taken_over_at
        self.record = record
        # a list that is older than the one that drained an endpoint may still show it as ready
        self.drained_at = {
            endpoint: version for endpoint, version in record.drained_at.items() if version > list_version
        }

    def limit_level(self, now: int, group: str, level: float) -> float:
        """Return the admission level to command for a group for which the successor decided `level`."""
        recorded_admission = self.record.admission_levels.get(group)
        is_learning = now - self.taken_over_at <= LEARNING_PERIOD_US
        if recorded_admission is None or recorded_admission[0] >= UNLIMITED_LEVEL or not is_learning:
            return level
        steps = max(0, now - self.taken_over_at) // ADMISSION_STEP_INTERVAL_US
        return min(level, recorded_admission[0] * ADMISSION_STEP**steps)

    def has_ended(self, now: int) -> bool:
        """Return whether this state no longer limits anything."""
        return now - self.taken_over_at > LEARNING_PERIOD_US and not self.drained_at

    def endpoints_listed(self, version: int, ready: Iterable[str]) -> None:
        """End the drains of endpoints that a list newer than the draining one shows as ready.

        Args:
            version: The version of the list.
            ready: The names of the endpoints that it shows as ready.
        """
        ready_endpoints = set(ready)
        self.drained_at = {
            endpoint: drained_at
            for endpoint, drained_at in self.drained_at.items()
            if not (version > drained_at and endpoint in ready_endpoints)
        }

    def is_drained(self, endpoint: str) -> bool:
        """Return whether an earlier holder drained the endpoint and no newer list has ended the drain."""
        return endpoint in self.drained_at

    def warming_since(self) -> Mapping[str, int]:
        """Return the recorded start of each endpoint that was warming up, microseconds, by endpoint.

        A successor uses each start that is later than the one in its own endpoint list.
        """
        return dict(self.record.warming_since)
