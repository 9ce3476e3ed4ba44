"""Which orders of a shard wait for its record, and in which order they are sent. Pure.

An order that grants a retry, or admits more, is sent once a quorum has it on record; one that ejects a
draining endpoint likewise, so that a successor with an older list does not readmit it. All others are sent
at once, but none to a proxy before those that were ordered for it earlier: a table must not overtake its
admission level.
"""

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from ravenshelf.leadership.record import Record

WAITING_LIMIT = 64  # orders for one proxy; beyond it the proxy is bound again when that is permitted
NOT_RECORDED = -1  # in place of a record's number
NO_RECORD = 0


@dataclass(slots=True)
class RecordRequirements:
    """What must be on record before an order is sent."""

    levels: list[tuple[str, float, int]] = field(default_factory=list)  # traffic group, level, retry mode
    drains: list[tuple[str, int]] = field(default_factory=list)  # endpoint, version of the endpoint list

    def is_met_by(self, record: Record) -> bool:
        """Whether the record has all of it."""
        return all(record.covers(*level) for level in self.levels) and all(
            record.drained_at.get(endpoint, -1) >= version for endpoint, version in self.drains
        )

    def is_empty(self) -> bool:
        """Whether nothing is required."""
        return not self.levels and not self.drains


@dataclass(slots=True)
class WaitingCommand:
    """An order for a proxy. `seq` is the number of the record that it waits for."""

    proxy: int
    message: Any
    requirements: RecordRequirements
    seq: int  # NO_RECORD: waits only for the orders before it


class ShardGate:
    """The waiting orders of one shard; `record` is the one last written."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.seq = 0
        self.committed_seq = 0
        self.waiting: dict[int, deque[WaitingCommand]] = {}  # by proxy
        self.overflowed: set[int] = set()  # proxies with more orders than may wait

    def submit(self, proxy: int, message: Any, requirements: RecordRequirements) -> bool:
        """Takes an order.

        True: the record has to be extended first (`extended_record`, then `record_written`).
        """
        queue = self.waiting.setdefault(proxy, deque())
        if len(queue) >= WAITING_LIMIT:
            self.overflowed.add(proxy)
            return False
        is_recorded = requirements.is_met_by(self.record)
        recorded_seq = NO_RECORD if requirements.is_empty() else self.seq
        seq = recorded_seq if is_recorded else NOT_RECORDED
        queue.append(WaitingCommand(proxy, message, requirements, seq))
        return not is_recorded

    def extended_record(self, warming_since: Mapping[str, int]) -> Record:
        """The record with all that orders wait for; `warming_since` has the endpoints that are warming up
        now.
        """
        extended = self.record.copy()
        for order in self._orders():
            if order.seq != NOT_RECORDED:
                continue
            for level in order.requirements.levels:
                extended.admit(*level)
            for endpoint, version in order.requirements.drains:
                extended.drained_at[endpoint] = max(version, extended.drained_at.get(endpoint, -1))
        extended.warming_since = dict(warming_since)
        return extended

    def record_written(self, record: Record, seq: int) -> None:
        """The record was sent to the voters as number `seq`: orders wait until a quorum has it."""
        self.record = record
        self.seq = seq
        for order in self._orders():
            if order.seq == NOT_RECORDED and order.requirements.is_met_by(record):
                order.seq = seq

    def lowered_record(self, sent: Iterable[WaitingCommand]) -> Record | None:
        """The record after orders that admit less were sent, or None where it stays.

        A successor must not admit what an earlier, higher level still on record would.
        """
        record = self.record.copy()
        is_changed = False
        for order in sent:
            for group, level, _ in order.requirements.levels:
                if record.lower(group, level):
                    is_changed = True
        return record if is_changed else None

    def end_drains(self, endpoints: Iterable[str]) -> bool:
        """A newer list calls endpoints ready: their drains end. Returns whether the record has changed."""
        ended = [endpoint for endpoint in endpoints if endpoint in self.record.drained_at]
        for endpoint in ended:
            del self.record.drained_at[endpoint]
        return bool(ended)

    def begin_term(self, record: Record) -> bool:
        """The lease is held in a later term, whose first record this is. True: it has to be extended."""
        self.record = record
        self.seq = 1
        self.committed_seq = 1
        must_extend = False
        for order in self._orders():
            if not order.requirements.is_met_by(record):
                order.seq = NOT_RECORDED
                must_extend = True
            elif order.seq != NO_RECORD:
                order.seq = 1
        return must_extend

    def take_permitted(
        self, committed_seq: int, is_permitted: Callable[[WaitingCommand], bool]
    ) -> list[WaitingCommand]:
        """Takes out what is sent now that a quorum has the record up to `committed_seq`.

        Of each proxy in order, up to the first order that is not permitted: it waits, and those after it.
        """
        self.committed_seq = max(self.committed_seq, committed_seq)
        permitted = []
        for proxy, queue in list(self.waiting.items()):
            while queue and 0 <= queue[0].seq <= self.committed_seq and is_permitted(queue[0]):
                permitted.append(queue.popleft())
            if not queue:
                del self.waiting[proxy]
        return permitted

    def discard(self, proxy: int) -> None:
        """Drops the waiting orders of a proxy that overflowed."""
        self.overflowed.discard(proxy)
        self.waiting.pop(proxy, None)

    def _orders(self) -> Iterable[WaitingCommand]:
        return (order for queue in self.waiting.values() for order in queue)

    def __len__(self) -> int:
        return sum(map(len, self.waiting.values()))
