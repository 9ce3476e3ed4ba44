"""Between the pilot and its leadership: the decisions see only proxies of owned shards, and no order leaves without
its right. The judging is `ShardGate`'s, `Inherited`'s and `Member`'s; here their answers meet the streams."""

from collections.abc import Callable, Iterable

from ravenshelf.leadership.decisions import Member, Permission
from ravenshelf.leadership.dividing import shard_of
from ravenshelf.leadership.gate import Needs, ShardGate
from ravenshelf.leadership.inheritance import Inherited
from ravenshelf.leadership.record import Record, UnreadableRecordError
from ravenshelf.policy.events import EndpointsListed, EndpointState, Event, ProxyJoined, ProxyLeft
from ravenshelf.state.counters import Counters
from ravenshelf.state.message_part import AdmissionLevel, MessagePart


class Owned:
    """A shard that is ours: its gate, and what came with it."""

    def __init__(self, term: int, record: Record, now: int, version: int):
        self.term, self.gate, self.inherited = term, ShardGate(record), Inherited(now, record.copy(), version)


class Adapter:
    """`news` tells the pilot's rounds, `write(proxy, message, mark)` its streams; `names` gives an endpoint's name and
    `version` the list's. `put(shard, record)` gives a record to the voters: its number, or None."""

    def __init__(
        self,
        member: Member,
        clock: Callable[[], int],
        groups: list[str],
        counters: Counters,
        *,
        news: Callable[[Event], None],
        write: Callable[[int, bytes, int | None, int], None],
        put: Callable[[int, bytes], int | None],
        names: Callable[[int], str],
        version: Callable[[], int],
        index: Callable[[str], int | None],
        ramps: Callable[[], dict[str, int]],
        warm: Callable[[dict[str, int]], None],
    ):
        self.member, self.clock, self.groups, self.counters = member, clock, groups, counters
        self.news, self.write, self.put, self.names = news, write, put, names
        self.version, self.index, self.ramps, self.warm = version, index, ramps, warm
        self.shards = member.configuration.shards
        self.present: dict[int, ProxyJoined] = {}  # every proxy with a stream here
        self.bound: set[int] = set()  # those that the decisions know
        self.owned: dict[int, Owned] = {}

    # --- news on their way to the decisions ---

    def heard(self, event: Event) -> bool:
        """Whether the decisions are to hear it now."""
        if isinstance(event, ProxyJoined):
            self.present[event.proxy] = event
            if shard_of(event.proxy, self.shards) in self.owned:
                self.bound.add(event.proxy)
                return True
            return False
        if isinstance(event, ProxyLeft):
            self.present.pop(event.proxy, None)
            self.bound.discard(event.proxy)
            return True
        if isinstance(event, EndpointsListed):
            ready = [
                self.names(entry.endpoint) for entry in event.entries if entry.state is EndpointState.READY
            ]
            for shard, owned in self.owned.items():
                owned.inherited.listed(self.version(), ready)
                if owned.gate.returned(e for e in ready if not owned.inherited.drained(e)):
                    self._grow(shard, owned)
        return True

    # --- shards come and go ---

    def took(self, shard: int, term: int, packed: bytes | None) -> None:
        """The lease is ours and the record with a majority: its proxies are bound, whatever they hold."""
        try:
            record = Record.unpack(packed)
        except UnreadableRecordError:
            self.counters["records_unreadable"] += 1
            record = Record()
        if shard in self.owned:  # ours all the time, now in a later term: what waits goes out under that
            self.owned[shard].term = term
            if self.owned[shard].gate.renew(record):
                self._grow(shard, self.owned[shard])
            return self.release(shard)
        self.owned[shard] = Owned(term, record, self.clock(), self.version())
        self.warm(self.owned[shard].inherited.starts())
        for proxy, joined in list(self.present.items()):
            if shard_of(proxy, self.shards) == shard and proxy not in self.bound:
                self.bound.add(proxy)
                self.news(joined._replace(is_fresh=False))

    def lost(self, shard: int) -> None:
        if self.owned.pop(shard, None) is None:
            return
        for proxy in [p for p in self.bound if shard_of(p, self.shards) == shard]:
            self.bound.discard(proxy)
            self.news(ProxyLeft(proxy, True))

    # --- orders on their way out ---

    def shape(self, proxy: int, parts: list[MessagePart]) -> None:
        """What the decisions do not know yet: drains that a later list than ours began, and what was refused."""
        owned = self.owned.get(shard_of(proxy, self.shards))
        if owned is None or owned.inherited.over(self.clock()):
            return
        now, inherited = self.clock(), owned.inherited
        drained = {i for i in map(self.index, inherited.drains) if i is not None}
        for part in parts:
            if drained:
                part.readmitted = [e for e in part.readmitted if e not in drained]
                part.ejected = part.ejected + [
                    e for e, w in part.weights if w and e in drained and e not in part.ejected
                ]
            groups = [self.groups[g] for g in part.groups] or self.groups
            if part.admission_level is not None:
                level = min(inherited.level(now, g, part.admission_level.level) for g in groups)
                part.admission_level = AdmissionLevel(level, part.admission_level.retry_mode)
        for part in [
            p for p in parts if p.is_complete and p.admission_level is None
        ]:  # a whole table forgets levels
            for g in part.groups or range(len(self.groups)):
                had = inherited.record.levels.get(self.groups[g])
                level = inherited.level(now, self.groups[g], float("inf"))
                if had is not None and level < float("inf"):
                    parts.append(MessagePart((g,), admission_level=AdmissionLevel(level, min(had[1], 1))))

    def offer(self, proxy: int, parts: list[MessagePart], message: bytes, mark: int | None) -> None:
        """Takes an order in; it leaves when and if it may."""
        shard = shard_of(proxy, self.shards)
        owned = self.owned.get(shard)
        if owned is None:
            self.counters["orders_of_others"] += 1
            return
        needs = Needs()
        for part in parts:
            if part.admission_level is not None:
                for g in part.groups or range(len(self.groups)):
                    needs.levels.append((self.groups[g], *part.admission_level))
            needs.drains += [
                (self.names(e), self.version())
                for e in part.ejected
                if not owned.inherited.drained(self.names(e))
            ]
        if owned.gate.offer(proxy, (message, mark), needs):
            self._grow(shard, owned)
        self.release(shard)

    def _grow(self, shard: int, owned: Owned) -> None:
        record = owned.gate.grow(self.ramps())
        seq = self.put(shard, record.pack())
        if seq is not None:
            self.counters["records_written"] += 1
            owned.gate.wrote(record, seq)

    def release(self, shard: int) -> None:
        """Lets go what the record allows now; each is asked for its right after it was formatted, just before it goes."""
        owned = self.owned.get(shard)
        if owned is None:
            return
        claim, now = self.member.claims[shard], self.clock()
        if claim.term != owned.term:
            return

        def may(held) -> bool:
            right = self.member.permission(now, shard, held.seq)
            return right is Permission.FULL or (
                right is Permission.REPEAT_ONLY and held.needs.met_by(owned.gate.record)
            )

        left = owned.gate.leave(claim.committed_seq, may)
        for held in left:
            message, mark = held.message
            if self.member.permission(self.clock(), shard, held.seq) is None:
                self.counters["orders_without_right"] += 1  # stood still since it was looked at
                owned.gate.crowded.add(held.proxy)
                continue
            self.counters["orders_fenced"] += 1
            self.write(held.proxy, message, mark, owned.term)
        record = owned.gate.lowered(left)
        if record is not None and (seq := self.put(shard, record.pack())) is not None:
            owned.gate.wrote(record, seq)
        if not owned.gate.crowded or self.member.permission(self.clock(), shard) is None:
            return
        for proxy in list(owned.gate.crowded):
            owned.gate.crowded.discard(proxy)
            owned.gate.waiting.pop(proxy, None)
            if proxy in self.bound:  # the decisions believe in an order that never left: it is bound anew
                self.news(ProxyLeft(proxy, True))
                self.news(self.present[proxy]._replace(is_fresh=False))

    def released(self) -> None:
        for shard in list(self.owned):
            self.release(shard)

    def proxies(self, shards: Iterable[int]) -> int:
        wanted = set(shards)
        return sum(shard_of(p, self.shards) in wanted for p in self.present)


def fenced(message: bytes, term: int) -> bytes:
    """The order with its term, by which a proxy refuses whatever comes of an older one."""
    return b"CONFIG term=%d" % term + message.removeprefix(b"CONFIG")
