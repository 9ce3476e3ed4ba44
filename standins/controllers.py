"""Controllers, their disks, clocks and network, and the proxies that they order, all in simulated time and seeded.

The machine under test is the program's own (`leadership.decisions`, `record`, `inheritance`); here are only the world
and what an adapter would do with it. A schedule of faults is drawn from the seed; the same seed plays the same day to
the last event. `breaks` names deliberate defects, by which the checker (`histories`) shows that it can fail.
"""

import heapq
import random
from collections import deque
from dataclasses import dataclass, field, replace

from ravenshelf.leadership.decisions import LeaseConfiguration, LeaseState, Member, Permission
from ravenshelf.leadership.inheritance import UNLIMITED_LEVEL, InheritedState
from ravenshelf.leadership.record import Record

MS, SECOND = 1000, 1_000_000
FAULTS_FROM, WHOLE_AT, ENDS = 2 * SECOND, 14 * SECOND, 21 * SECOND
BREAKS = (
    "no fence at proxies",
    "lease checked before formatting",
    "record after sending",
    "drift ignored",
    "no quiet after a start",
    "empty disk votes at once",
    "answer before the disk",
    "own view instead of the record",
    "one voter is enough",
)
LOSING = 50.0  # the level that the decisions want once they have learnt what is going on
FAULTS = (
    "kill",
    "kill at a write",
    "kill and cut",
    "pause",
    "pause at an order",
    "pause in a buffer",
    "cut",
    "one way",
    "alone",
    "rough",
    "slow disk",
    "drain",
    "late",
    "empty disk",
)


@dataclass(order=True)
class Event:
    at: int
    number: int
    do: object = field(compare=False)
    node: object = field(compare=False, default=None)
    life: int = field(compare=False, default=0)


class Node:
    """A controller: its process may be dead or stand still, its disk and clock go on."""

    def __init__(self, world: "World", me: int):
        self.world, self.me = world, me
        drift = world.ways.clock_drift
        self.rate = 1 + world.chance.uniform(-drift, drift)
        if world.extreme:
            self.rate = 1 + drift * (1 if me % 2 else -1)
        self.offset = world.chance.randrange(10**9, 10**12)
        self.disk: dict = {}  # by shard; and that it votes
        self.alive, self.life, self.paused = False, 0, 0
        self.ambush: tuple[str, int] | None = None  # a fault that waits for its moment, and how long it lasts
        self.sync_most, self.lag = 4 * MS, world.chance.randrange(200 * MS, 1500 * MS)
        self.member: Member | None = None

    def clock(self) -> int:
        return self.offset + int(self.rate * self.world.now)

    # --- life ---

    def start(self, empty: bool = False) -> None:
        self.life += 1
        self.alive = True
        if empty:
            self.disk = {}
        recovering = "votes" not in self.disk and "empty disk votes at once" not in self.world.breaks
        self.member = Member(
            self.me,
            self.world.count,
            self.world.ways,
            {s: v for s, v in self.disk.items() if s != "votes"},
            self.clock(),
            random.Random(self.world.chance.random()),
            recovering,
        )
        if "no quiet after a start" in self.world.breaks:
            self.member.voter.quiet_until = 0
        if "one voter is enough" in self.world.breaks:
            self.member.quorum = 1
            self.member.leases.quorum = 1
            self.member.recovery.quorum = 1
        self.writes, self.sends = [], []
        self.pending: deque[tuple[list, list]] = deque()
        self.syncing = False
        self.orders: dict[int, Shard] = {}
        self.world.later(0, self.tick, self)
        self.world.later(self.world.chance.randrange(50 * MS), self.order, self)

    def caught(self, moment: str) -> bool:
        """Whether the fault that waits for this moment strikes now."""
        if self.ambush is None or self.ambush[0] != moment or self.world.now >= WHOLE_AT - SECOND:
            return False
        last, self.ambush = self.ambush[1], None
        if moment == "write":
            self.world.later(0, self.stop)
            self.world.later(last, lambda: self.alive or self.start())
            other = self.world.chance.choice(self.world.nodes)  # and another is out of reach for a while
            if other is not self and self.world.chance.random() < 0.7:
                other.paused = max(other.paused, min(WHOLE_AT, self.world.now + 2 * last))
        else:
            self.paused = min(WHOLE_AT, self.world.now + last)
        return True

    def stop(self) -> None:
        """Killed: of what is on its way to disk some may have come there, none was answered for."""
        if self.alive:
            self.alive = False
            self.life += 1
            if self.pending and self.world.chance.random() < 0.5:
                self.disk.update((shard, tuple(values)) for shard, *values in self.pending[0][0])
            self.world.history("lost", self.me)

    # --- what the machine decides ---

    def store_vote(self, shard: int, promised: int, term: int, seq: int, record) -> None:
        self.writes.append((shard, promised, term, seq, record))

    def store_voting(self) -> None:
        self.writes.append(("votes",))

    def send(self, member: int, message: tuple) -> None:
        self.sends.append((member, message))

    def lease_changed(self, shard: int, state: LeaseState, term: int, record) -> None:
        if state is LeaseState.HELD:
            self.world.history("owner", self.me, shard)
            had = self.orders.get(shard)
            if had is None or had.term != term:
                self.orders[shard] = Shard(self, shard, term, record)
        elif state is LeaseState.IDLE:
            self.orders.pop(shard, None)

    def step(self) -> None:
        """What was kept goes to disk, and what was sent with it or after it waits until it is there."""
        writes, sends, self.writes, self.sends = self.writes, self.sends, [], []
        if "answer before the disk" in self.world.breaks:
            for member, message in sends:
                self.world.carry(self.me, member, message)
            sends = []
        if not writes and not self.pending:
            for member, message in sends:
                self.world.carry(self.me, member, message)
        elif writes or sends:
            self.pending.append((writes, sends))
            self._sync()
        if writes:
            self.caught("write")

    def _sync(self) -> None:
        if not self.syncing and self.pending:
            self.syncing = True
            self.world.later(self.world.chance.randrange(MS // 2, self.sync_most), self.synced, self)

    def synced(self) -> None:
        self.syncing = False
        batch, self.pending = self.pending, deque()
        for writes, _ in batch:
            self.disk.update((shard, tuple(values)) for shard, *values in writes)
        for _, sends in batch:
            for member, message in sends:
                self.world.carry(self.me, member, message)
        self._sync()

    def hear(self, member: int, message: tuple) -> None:
        self.member.receive(self.clock(), member, message, self)
        self.step()

    def tick(self) -> None:
        now = self.clock()
        at = self.member.tick(now, self)
        self.step()
        self.world.later(max(MS, min(50 * MS, int((at - now) / self.rate))), self.tick, self)

    def order(self) -> None:
        """The adapter's turn: every owned shard's orders."""
        for shard in list(self.orders.values()):
            shard.turn()
        self.step()
        self.world.later(50 * MS, self.order, self)


class Shard:
    """What an owner does with one of its shards."""

    def __init__(self, node: Node, shard: int, term: int, packed):
        self.node, self.shard, self.term, self.world = node, shard, term, node.world
        self.record = Record.unpack(packed)
        if "own view instead of the record" in self.world.breaks:
            self.record = Record()
        self.version = self.world.version(node.lag)
        self.inherited = InheritedState(node.clock(), self.record.copy(), self.version)
        self.since, self.out, self.level = node.clock(), set(), None
        self.held: list[tuple[int, str, tuple]] = []
        self.bound_at = self.said_at = -(10**18)
        self.formatted = self.level_seq = 0

    def turn(self) -> None:
        now, claim = self.node.clock(), self.node.member.claims[self.shard]
        if claim.state not in (LeaseState.HELD, LeaseState.EXPIRED) or claim.term != self.term:
            return
        if now - self.bound_at > SECOND:
            self.bound_at = now
            self.leave(0, "keeping", ("bind",))
        if claim.state is LeaseState.HELD:
            self.decide(now)
        if claim.state is LeaseState.HELD and self.level_seq and now - self.said_at > 100 * MS:
            self.said_at = (
                now  # what is on record already is ordered again and again, as to proxies that come
            )
            self.leave(self.level_seq, "granting", ("level", "read", self.level))
        waiting, self.held = self.held, []
        for seq, kind, content in waiting:
            if claim.committed_seq >= seq:
                self.leave(seq, kind, content)
            else:
                self.held.append((seq, kind, content))

    def decide(self, now: int) -> None:
        record, orders = self.record.copy(), []
        for key in self.world.waiting(self.shard):
            if key not in record.retries:
                record.retries[key] = 1
                orders.append(("granting", ("try", key)))
        version = self.world.version(self.node.lag)
        drained = self.world.drained(version)
        self.inherited.endpoints_listed(version, self.world.endpoints - drained)
        drained |= set(self.inherited.drained_at)
        for endpoint in drained - self.out:
            record.drained_at[endpoint] = max(
                version if endpoint in self.world.drained(version) else 0, record.drained_at.get(endpoint, -1)
            )
            orders.append(("keeping", ("out", endpoint, record.drained_at[endpoint])))
        for endpoint in self.out - drained:
            record.drained_at.pop(endpoint, None)
            orders.append(("keeping", ("back", endpoint, version)))
        if self.bound_at == now:  # a table just bound lets in all that it holds and is not withdrawn
            for endpoint in sorted(self.world.endpoints - drained):
                orders.append(("keeping", ("back", endpoint, version)))
        self.out = drained
        level = self.inherited.limit_level(
            now, "read", LOSING if now - self.since > 3 * SECOND else UNLIMITED_LEVEL
        )
        if level != self.level:
            self.level = level
            record.admission_levels["read"] = (level, 1)
            orders.append(("granting", ("level", "read", level)))
        if "record after sending" in self.world.breaks:
            for kind, content in orders:
                self.leave(0, kind, content)
            orders = []
        if record != self.record:
            seq = self.node.member.write_record(now, self.shard, record.pack(), self.node)
            if seq is None:
                self.level = None
                self.out = set()
                return
            self.record = record
        else:
            seq = self.node.member.claims[self.shard].seq if orders else 0
        self.held += [(seq, kind, content) for kind, content in orders]
        if any(content[0] == "level" for _, content in orders):
            self.level_seq = seq

    def leave(self, seq: int, kind: str, content: tuple) -> None:
        """Formats an order, which takes a while, and then lets it go if that is still right."""
        early = "lease checked before formatting" in self.world.breaks
        right = self.node.member.permission(self.node.clock(), self.shard, seq)
        self.node.caught("order")

        def write() -> None:
            now_right = right if early else self.node.member.permission(self.node.clock(), self.shard, seq)
            if now_right is Permission.FULL or (now_right is not None and kind == "keeping"):
                claim = self.node.member.claims[self.shard]
                if claim.term == self.term or early:
                    self.world.deliver(self.node, self.shard, self.term, kind, content)

        self.formatted = max(
            self.formatted, self.world.now + self.world.chance.randrange(3 * MS)
        )  # one after another
        self.world.later(self.formatted - self.world.now, write, self.node)


class World:
    def __init__(
        self,
        seed: int,
        count: int = 3,
        shards: int = 4,
        breaks=(),
        faults: bool = True,
        extreme: bool = False,
        drift: float = 0.05,
    ):
        self.chance, self.count, self.breaks, self.extreme = (
            random.Random(seed),
            count,
            frozenset(breaks),
            extreme,
        )
        self.ways = LeaseConfiguration(shards=shards, stability_period_us=SECOND, clock_drift=drift)
        if "drift ignored" in self.breaks:
            self.ways = IgnoringDrift(**{f: getattr(self.ways, f) for f in self.ways.__dataclass_fields__})
        self.now, self.heap, self.number = 0, [], 0
        self.events: list[tuple] = []
        self.cuts: set[tuple[int, int]] = set()
        self.drop = 0.01
        self.endpoints = {"s-0", "s-1", "s-2"}
        # the list: from when on an endpoint is drained, and until when; versions count the changes
        self.changes = [(0, 1, frozenset())]
        out: frozenset = frozenset()
        for version in range(2, 12):
            out = out ^ {self.chance.choice(sorted(self.endpoints))}
            self.changes.append((version * 1300 * MS + self.chance.randrange(800 * MS), version, out))
        self.flows = {
            s: [(self.chance.randrange(ENDS), f"build-order-{s}-{n}") for n in range(30)]
            for s in range(shards)
        }
        self.terms = dict.fromkeys(range(shards), 0)  # the highest term that each proxy has seen
        self.arrives: dict[tuple[int, int], int] = {}
        self.flying: list[list] = []
        self.nodes = [Node(self, n) for n in range(count)]
        for node in self.nodes:
            self.later(self.chance.randrange(300 * MS), node.start)
        if faults:
            self.plan()

    # --- time ---

    def later(self, after: int, do, node: Node | None = None) -> None:
        self.number += 1
        heapq.heappush(self.heap, Event(self.now + after, self.number, do, node, node.life if node else 0))

    def run(self, until: int = ENDS) -> list[tuple]:
        while self.heap and self.heap[0].at <= until:
            event = heapq.heappop(self.heap)
            node = event.node
            if node is not None:
                if not node.alive or event.life != node.life:
                    continue
                if node.paused > event.at:  # it stands still: all of it happens when it wakes, in order
                    heapq.heappush(self.heap, replace(event, at=node.paused))
                    continue
            self.now = event.at
            event.do()
        self.now = until
        return self.events

    def history(self, what: str, *values) -> None:
        self.events.append((self.now / SECOND, what, *values))

    # --- the network ---

    def carry(self, sender: int, to: int, message: tuple) -> None:
        if sender == to:
            node = self.nodes[to]
            return self.later(10, lambda: node.hear(sender, message), node)
        if (sender, to) in self.cuts or self.chance.random() < self.drop:
            return None
        for _ in range(2 if self.chance.random() < 0.02 else 1):
            delay = (
                self.chance.randrange(200, 3 * MS)
                if self.chance.random() < 0.98
                else self.chance.randrange(900 * MS)
            )
            self.later(delay, lambda: self.arrive(sender, to, message))

    def arrive(self, sender: int, to: int, message: tuple) -> None:
        node = self.nodes[to]
        if node.alive and (sender, to) not in self.cuts:
            self.later(0, lambda: node.hear(sender, message), node)

    # --- proxies ---

    def deliver(self, node: Node, shard: int, term: int, kind: str, content: tuple) -> None:
        """An order leaves; what a process wrote just before it was paused may leave its buffer when it wakes."""
        self.history("left", node.me, shard, term, kind, content)
        at = max(self.arrives.get((node.me, shard), 0), self.now + self.chance.randrange(200, 3 * MS))
        if node.caught("buffer"):
            at = max(at, node.paused)
        self.arrives[node.me, shard] = at
        self.later(at - self.now, lambda: self.obey(node.me, shard, term, content))

    def obey(self, controller: int, proxy: int, term: int, content: tuple) -> None:
        if term < self.terms[proxy] and "no fence at proxies" not in self.breaks:
            return
        self.terms[proxy] = max(term, self.terms[proxy])
        self.history("took", proxy, controller, term, content)

    # --- the list and the flows ---

    def version(self, lag: int = 0) -> int:
        return max((v for at, v, _ in self.changes if at <= self.now - lag), default=1)

    def drained(self, version: int) -> set[str]:
        return set(self.changes[version - 1][2])

    def waiting(self, shard: int) -> list[str]:
        """Flows that may be tried once more, where a controller allows it."""
        return [key for at, key in self.flows[shard] if at <= self.now]

    # --- faults ---

    def plan(self) -> None:
        at = FAULTS_FROM
        while (at := at + self.chance.randrange(300 * MS, 1800 * MS)) < WHOLE_AT - SECOND:
            what = self.chance.choice(FAULTS)
            self.later(at, lambda what=what: self.fault(what))
        self.later(WHOLE_AT, self.heal)

    def fault(self, what: str) -> None:
        chance, node = self.chance, self.chance.choice(self.nodes)
        last = min(chance.randrange(200 * MS, 6 * SECOND), max(MS, WHOLE_AT - self.now))
        if what == "kill" and node.alive:
            node.stop()
            self.later(last, lambda: node.alive or node.start())
        elif what == "empty disk" and self.sound(node):
            node.stop()
            self.later(last, lambda: node.alive or node.start(empty=True))
        elif what == "kill and cut":
            third = chance.choice([n for n in self.nodes if n is not node])
            pairs = {
                (n.me, m.me) for n in self.nodes for m in self.nodes if n is not m and third not in (n, m)
            }
            self.cuts |= pairs
            self.later(max(last, 3 * SECOND), lambda: self.cuts.difference_update(pairs))
            stops = chance.randrange(SECOND, 2500 * MS)
            self.later(stops, lambda: third.stop() if third.alive else None)
            self.later(stops + chance.randrange(100 * MS, 300 * MS), lambda: third.alive or third.start())
        elif what == "kill at a write" and node.alive:
            node.ambush = ("write", last)
        elif what in ("pause at an order", "pause in a buffer") and node.alive:
            node.ambush = (what.split()[-1], max(last, 2 * SECOND))
        elif what == "pause" and node.alive:
            node.paused = self.now + last
        elif what in ("cut", "one way", "alone"):
            others = [n.me for n in self.nodes if n is not node]
            chance.shuffle(others)
            for other in others if what == "alone" else others[:1]:
                pairs = {(node.me, other)} | ({(other, node.me)} if what != "one way" else set())
                self.cuts |= pairs
                self.later(last, lambda pairs=pairs: self.cuts.difference_update(pairs))
        elif what == "rough":
            self.drop = 0.25
            self.later(last, lambda: setattr(self, "drop", 0.01))
        elif what == "slow disk":
            node.sync_most = 400 * MS
            self.later(last, lambda: setattr(node, "sync_most", 4 * MS))
        elif what == "drain" and node.alive:
            node.member.draining = True
            self.later(last, lambda: setattr(node.member, "draining", False))
        elif what == "late" and node.alive:
            node.member.loop_delay_us = 10 * node.member.configuration.loop_delay_limit_us
            self.later(last, lambda: setattr(node.member, "loop_delay_us", 0))

    def sound(self, node: Node) -> bool:
        """Whether a disk may be lost: one at a time, and all others whole and voting."""
        return all(n is node or (n.alive and not n.member.is_recovering) for n in self.nodes)

    def heal(self) -> None:
        self.cuts, self.drop = set(), 0.01
        for node in self.nodes:
            node.paused, node.sync_most, node.ambush = min(node.paused, self.now), 4 * MS, None
            if not node.alive:
                node.start()
            node.member.draining, node.member.loop_delay_us = False, 0
        self.history("whole")


class IgnoringDrift(LeaseConfiguration):
    """A deliberate break: an owner counts on the whole lease, whatever the clocks do."""

    def usable_lease_us(self) -> int:
        return self.lease_us


def takeovers(events: list[tuple]) -> list[float]:
    """Seconds from each loss of a controller to the next owner of each shard it had."""
    owners, lost, out = {}, {}, []
    for at, what, *rest in events:
        if what == "owner":
            if rest[1] in lost:
                out.append(at - lost.pop(rest[1]))
            owners[rest[1]] = rest[0]
        elif what == "lost":
            lost |= {shard: at for shard, owner in owners.items() if owner == rest[0] and shard not in lost}
    return out
