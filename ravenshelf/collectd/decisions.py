"""How far collectd's values can be believed and what of them is a signal: no I/O, the clock passed in.

| case | what holds |
| --- | --- |
| late: older than the newest of its series | it changes nothing; its rate was given by what came after it |
| out of order | as late |
| twice, the same time | nothing; in a packet that was seen whole before, nothing of it |
| from the future, or a host whose clock is off | taken by the sender's own times; its offset is the least of (came - said) |
| a clock set back | three values in a row too old by over JUMP: the offset is learnt anew |
| a clock set forward | the least offset shows it at once |
| a counter that wraps at 32 or 64 bits | the difference over the wrap, where it is under a quarter of the range |
| a counter that was reset | no rate; the next difference is one again |
| DERIVE that falls | reset: no rate |
| not a number, beyond the type's bounds | absent |
| a gap of over GAP intervals | no rate across it: it would be told as present and is a mean of long ago |
| a host that stops | nothing is told; what was told fades in the module |
| a host on no list | counted; no memory is kept of it |

Memory: at most `most_series` a host, and only for hosts that are listed. Times are microseconds.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from ravenshelf.collectd.types import Source
from ravenshelf.collectd.wire import ABSOLUTE, DERIVE, GAUGE, ValueList

SECOND = 1_000_000
JUMP, JUMPS = 30 * SECOND, 3  # so much older than its offset allows, so often in a row: the clock was set
OFFSET_SPAN = 300 * SECOND  # over which the least is taken: clocks drift
GAP = 3  # intervals
USUAL_INTERVAL = 10 * SECOND  # where the sender tells none
FRESH = 2.5  # intervals for which a processor's state counts as present
REPLAYED, MOST_SEEN = 600 * SECOND, 65536  # packets of known users are taken once within this time
VOUCHED_SKEW = 600 * SECOND  # a vouched packet from further off is an old one, not a clock that is off
IDLE_STATES = ("idle", "wait")


class Replays:
    """Packets that a user vouches for are taken once. Bounded: when full the oldest is forgotten, by when its
    values are older than what their series hold."""

    def __init__(self, most: int = MOST_SEEN):
        self.most, self.seen = most, OrderedDict()

    def again(self, digest: int, now: int) -> bool:
        while self.seen and (next(iter(self.seen.values())) < now - REPLAYED or len(self.seen) > self.most):
            self.seen.popitem(last=False)
        if digest in self.seen:
            return True
        self.seen[digest] = now
        return False


class HostClock:
    """How far a host's clock is off, and so how old a value is, whatever its clock says."""

    def __init__(self):
        self.offset: int | None = None
        self.recent: int | None = None  # the least of the present span, which becomes the offset at its end
        self.until, self.jumps = 0, 0
        self.told = 0  # the offset that was last told of

    def age(self, came: int, said: int) -> int:
        """Microseconds since it was read, at least; never under 0."""
        apart = came - said
        if self.offset is None or apart < self.offset:
            self.offset, self.jumps = apart, 0
        if self.recent is None or apart < self.recent:
            self.recent = apart
        if came >= self.until:
            if self.until and apart - self.offset < JUMP:
                self.offset = self.recent
            self.recent, self.until = apart, came + OFFSET_SPAN
        late = apart - self.offset
        if late <= JUMP:
            self.jumps = 0
        else:
            self.jumps += 1
            if self.jumps >= JUMPS:
                self.offset, self.recent, self.jumps = apart, apart, 0
                return 0
        return late


@dataclass(slots=True)
class Series:
    """The newest value of one source and its time."""

    time: int
    value: float

    def rate(self, kind: int, value: float, time: int, interval: int) -> float | None:
        """The rate a second since the value before (a gauge: itself), or None; takes the value in."""
        if time <= self.time:
            return None
        passed, before = time - self.time, self.value
        self.time, self.value = time, value
        if kind == GAUGE:
            return value
        if passed > GAP * interval:
            return None
        if kind == ABSOLUTE:
            return value * SECOND / passed
        more = value - before
        if more < 0:
            if kind == DERIVE:
                return None
            bits = 32 if before < 1 << 32 else 64
            more += 1 << bits
            if more >= 1 << (bits - 2):
                return None
        return more * SECOND / passed


@dataclass(slots=True)
class Machine:
    """What is known of one listed host."""

    clock: HostClock = field(default_factory=HostClock)
    series: dict[tuple, Series] = field(default_factory=dict)
    states: dict[tuple[str, str], tuple[int, float]] = field(
        default_factory=dict
    )  # (processor, state): time, rate
    percents: dict[tuple[str, str], tuple[int, float]] = field(default_factory=dict)
    load: tuple[int, float] | None = None  # time, runnable processes
    newest: int = 0  # by its own clock
    came: int = 0  # when the newest came, less its age: when it was read, by ours
    told: int = 0  # newest when a signal was last given
    interval: int = USUAL_INTERVAL

    def busy(self) -> float | None:
        """Share of its processors' time that is not idle; None where that can't be told."""
        since = self.newest - FRESH * self.interval
        rates = [(s, r) for (_, s), (at, r) in self.states.items() if at >= since]
        total = sum(r for _, r in rates)
        if total > 0 and any(s == "idle" for s, _ in rates) and len({s for s, _ in rates}) > 1:
            return 1 - sum(r for s, r in rates if s in IDLE_STATES) / total
        fresh = {key: v for key, (at, v) in self.percents.items() if at >= since}
        for state, sign in (("active", 1.0), ("idle", -1.0)):
            found = [v for (_, s), v in fresh.items() if s == state]
            if found:
                part = sum(found) / len(found) / 100
                return min(1.0, max(0.0, part if sign > 0 else 1 - part))
        if self.load is not None and self.load[0] >= since:
            cores = len({cpu for cpu, _ in (*self.states, *self.percents) if cpu})
            return min(1.0, self.load[1] / cores) if cores else None
        return None


class Signals:
    """Values in, (endpoint, share of its machine that is busy, age) out.

    `endpoints(host)` gives the listed endpoints on a host, none for a stranger. `counts` is any mapping of counters."""

    def __init__(
        self,
        endpoints: Callable[[str], Sequence[int]],
        types: dict[str, tuple[Source, ...]],
        counts,
        most_series: int = 4096,
    ):
        self.endpoints, self.types, self.counts, self.most_series = endpoints, types, counts, most_series
        self.machines: dict[str, Machine] = {}

    def take(self, now: int, lists: Iterable[ValueList], vouched: bool) -> None:
        for one in lists:
            if not self.endpoints(one.host):
                self.counts["collectd_strangers"] += 1
                continue
            sources = self.types.get(one.type)
            if sources is None or [s[1] for s in sources] != [kind for kind, _ in one.values]:
                self.counts["collectd_not_of_type"] += 1
                continue
            if vouched and abs(now - one.time) > VOUCHED_SKEW:
                self.counts["collectd_too_old"] += (
                    1  # a user's packet of long ago, sent by someone who kept it
                )
                continue
            self._take(now, one, sources)

    def _take(self, now: int, one: ValueList, sources: tuple[Source, ...]) -> None:
        machine = self.machines.setdefault(one.host, Machine())
        interval = one.interval or USUAL_INTERVAL
        age = machine.clock.age(now, one.time)
        if age > GAP * interval:
            self.counts["collectd_late"] += 1
            return
        used = False
        for (name, _, least, most), (kind, value) in zip(sources, one.values):
            rate = self._rate(
                machine,
                (one.plugin, one.plugin_instance, one.type, one.type_instance, name),
                kind,
                value,
                one.time,
                interval,
            )
            if rate is None or not least <= rate <= most:  # also what is not a number
                continue
            used = self._use(machine, one, name, rate) or used
        if used:
            self.counts["collectd_values"] += 1
            if one.time > machine.newest:
                machine.newest, machine.came, machine.interval = one.time, now - age, interval

    def _rate(
        self, machine: Machine, key: tuple, kind: int, value: float, time: int, interval: int
    ) -> float | None:
        series = machine.series.get(key)
        if series is not None:
            if time <= series.time:
                if time < series.time - 2 * JUMP and machine.clock.jumps == 0:  # its clock was set back
                    series.time, series.value = time, value
                    machine.newest = machine.told = 0
                else:
                    self.counts["collectd_old" if time < series.time else "collectd_twice"] += 1
                return None
            return series.rate(kind, value, time, interval)
        if len(machine.series) >= self.most_series:
            self.counts["collectd_too_many_series"] += 1
            return None
        machine.series[key] = Series(time, value)
        if kind == GAUGE:
            return value
        return value * SECOND / interval if kind == ABSOLUTE else None

    @staticmethod
    def _use(machine: Machine, one: ValueList, name: str, rate: float) -> bool:
        """Whether the value is part of a signal."""
        if one.plugin == "cpu" and one.type == "cpu":
            machine.states[one.plugin_instance, one.type_instance] = one.time, rate
        elif one.plugin == "cpu" and one.type == "percent":
            machine.percents[one.plugin_instance, one.type_instance] = one.time, rate
        elif one.plugin == "load" and name == "shortterm":
            machine.load = one.time, rate
        else:
            return False
        return True

    def signals(self, now: int) -> list[tuple[int, float, int]]:
        """One for each endpoint of a host of which something new is known. Age: since the middle of its interval."""
        out = []
        for host, machine in self.machines.items():
            if machine.newest <= machine.told:
                continue
            machine.told = machine.newest
            busy = machine.busy()
            if busy is not None:
                age = max(0, now - machine.came) + machine.interval // 2
                out += [(endpoint, busy, age) for endpoint in self.endpoints(host)]
        return out

    def clocks(self) -> list[tuple[str, float]]:
        """Hosts whose clock is newly found to be off by more than JUMP, or right again: (host, seconds ahead)."""
        out = []
        for host, machine in self.machines.items():
            clock = machine.clock
            if clock.offset is not None and abs(clock.offset - clock.told) > JUMP:
                clock.told = clock.offset
                out.append((host, -clock.offset / SECOND))
        return out

    def forget_strangers(self) -> None:
        """Hosts that are listed no more."""
        self.machines = {host: m for host, m in self.machines.items() if self.endpoints(host)}
