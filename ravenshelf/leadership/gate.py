"""What of an owner's orders waits for the record, in which order it leaves, and under which right. Pure.

An order that allows a further try, or lets in more, leaves after a majority has it on record; one that withdraws an
endpoint likewise, so that a successor with an older list does not let it back. All other orders leave at once, but
none to a proxy before those that were ordered to it earlier: a table must not overtake its level.
"""

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from ravenshelf.leadership.record import Record

MOST_HELD = 64  # messages to one proxy; beyond it the proxy is bound anew when it may be


@dataclass(slots=True)
class Needs:
    """What a message stands on: (group, level, tries) and (endpoint, list version) that must be on record."""

    levels: list[tuple[str, float, int]] = field(default_factory=list)
    drains: list[tuple[str, int]] = field(default_factory=list)
    back: list[str] = field(default_factory=list)

    def met_by(self, record: Record) -> bool:
        return all(record.covers(*level) for level in self.levels) and all(
            record.drains.get(e, -1) >= version for e, version in self.drains
        )


@dataclass(slots=True)
class Held:
    proxy: int
    message: object
    needs: Needs
    seq: int  # of the record that it waits for; 0: only for those before it


class ShardGate:
    """Of one owned shard."""

    def __init__(self, record: Record):
        self.record = record  # as last put before the voters
        self.seq = self.safe = 0
        self.waiting: dict[int, deque[Held]] = {}
        self.crowded: set[int] = set()  # proxies whose messages were too many to hold

    def offer(self, proxy: int, message, needs: Needs) -> bool:
        """Takes an order in. True: the record has to grow first (`grow`, then `wrote`)."""
        line = self.waiting.setdefault(proxy, deque())
        if len(line) >= MOST_HELD:
            self.crowded.add(proxy)
            return False
        grows = not needs.met_by(self.record)
        line.append(
            Held(proxy, message, needs, -1 if grows else (self.seq if needs.levels or needs.drains else 0))
        )
        return grows

    def grow(self, ramps: dict[str, int]) -> Record:
        """The record with all that waits for it; `ramps` are the cold endpoints of now."""
        grown = self.record.copy()
        for line in self.waiting.values():
            for held in line:
                if held.seq == -1:
                    for level in held.needs.levels:
                        grown.allow(*level)
                    for endpoint, version in held.needs.drains:
                        grown.drains[endpoint] = max(version, grown.drains.get(endpoint, -1))
        grown.ramps = dict(ramps)
        return grown

    def wrote(self, record: Record, seq: int) -> None:
        self.record, self.seq = record, seq
        for line in self.waiting.values():
            for held in line:
                if held.seq == -1 and held.needs.met_by(record):
                    held.seq = seq

    def lowered(self, left: Iterable[Held]) -> Record | None:
        """The record after orders that refuse more have left, or None where it stays: a successor must not let in
        what an earlier, higher level still on record would."""
        record, changed = self.record.copy(), False
        for held in left:
            for group, level, _ in held.needs.levels:
                changed = record.lower(group, level) or changed
        return record if changed else None

    def returned(self, endpoints: Iterable[str]) -> bool:
        """Endpoints that a newer list says are ready: their drains end. True: the record has changed."""
        ended = [e for e in endpoints if e in self.record.drains]
        for endpoint in ended:
            del self.record.drains[endpoint]
        return bool(ended)

    def renew(self, record: Record) -> bool:
        """The shard is ours in a later term, whose first record is this. True: what waits needs more on record."""
        self.record, self.seq, self.safe, grows = record, 1, 1, False
        for line in self.waiting.values():
            for held in line:
                met = held.needs.met_by(record)
                held.seq, grows = (1 if held.seq else 0) if met else -1, grows or not met
        return grows

    def leave(self, safe: int, may: Callable[[Held], bool]) -> list[Held]:
        """What leaves now that a majority has the record up to `safe`, each proxy's in order, up to the first that may
        not: it waits, and those after it."""
        self.safe = max(self.safe, safe)
        out = []
        for proxy, line in list(self.waiting.items()):
            while line and 0 <= line[0].seq <= self.safe and may(line[0]):
                out.append(line.popleft())
            if not line:
                del self.waiting[proxy]
        return out

    def __len__(self) -> int:
        return sum(map(len, self.waiting.values()))
