"""What a successor holds to while its own decisions know less than its predecessor's did. Pure.

The record says what had been ordered; what is unknown counts as ordered. A drain holds until a newer list ends it,
an endpoint that was cold ramps from its recorded start, and what was refused is let in step by step. Times are
microseconds.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from ravenshelf.leadership.record import Record

SECOND = 1_000_000
OPENS = 1.25  # a refused group is let in so much more
OPENS_EVERY = 2 * SECOND
OPEN = 1e5  # a level that refuses nobody
LEARNS = 60 * SECOND  # after which our own decisions stand alone


@dataclass(slots=True)
class Inherited:
    """Of one shard, from its takeover on."""

    since: int
    record: Record
    version: int  # of the list that we had then
    drains: dict[str, int] = field(default_factory=dict)

    def __post_init__(self):
        # a list older than the one that drained it may still call it ready
        self.drains = {e: v for e, v in self.record.drains.items() if v > self.version}

    def level(self, now: int, group: str, level: float) -> float:
        """What we may order of a level that our own decisions would order (or would leave open)."""
        had = self.record.levels.get(group)
        if had is None or had[0] >= OPEN or now - self.since > LEARNS:
            return level
        steps = max(0, now - self.since) // OPENS_EVERY
        return min(level, had[0] * OPENS**steps)

    def over(self, now: int) -> bool:
        return now - self.since > LEARNS and not self.drains

    def listed(self, version: int, ready: Iterable[str]) -> None:
        """A list has come; a drain ends where it is newer than the one that began it and calls the endpoint ready."""
        names = set(ready)
        self.drains = {e: v for e, v in self.drains.items() if not (version > v and e in names)}

    def drained(self, endpoint: str) -> bool:
        return endpoint in self.drains

    def starts(self) -> dict[str, int]:
        """Starts of endpoints that were cold, for a list that does not tell them."""
        return dict(self.record.ramps)
