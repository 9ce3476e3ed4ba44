"""Makes host loads of collectd's values: the share of a host's processors that is busy, for each of its
endpoints.

| case | result |
| --- | --- |
| late or out of order: older than the newest of its series | ignored; its rate was given by what followed |
| a duplicate | ignored; a duplicate of an authenticated packet is rejected |
| from the future, or a host whose clock is off | its age is estimated, see host_clock |
| not a number, out of the type's bounds | ignored |
| a host that stops | no load; the decisions let the last one fade |
| a host without a listed endpoint | counted; no memory is kept of it |

Memory: at most `max_series` for each host that is listed. Times are microseconds. No I/O, the clock is passed
in.
"""

from collections.abc import Callable, Iterable, MutableMapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from ravenshelf.collectd.decisions.host_clock import JUMP, HostClock
from ravenshelf.collectd.decisions.series import MAX_GAP_INTERVALS, Series
from ravenshelf.collectd.protocol import ABSOLUTE, GAUGE, SECOND, ValueList
from ravenshelf.collectd.types import DataSource, Types

DEFAULT_INTERVAL = 10 * SECOND  # where the sender names none
FRESH_INTERVALS = 2.5  # for which the state of a processor counts as current
MAX_AUTHENTICATED_SKEW = (
    600 * SECOND
)  # an authenticated packet further off is an old one, not a clock that is off
MAX_SERIES = 4096
IDLE_STATES = ("idle", "wait")

ProcessorState = tuple[str, str]  # processor, state
SeriesKey = tuple[str, str, str, str, str]  # plugin, plugin instance, type, type instance, source


class Reading(NamedTuple):
    """A value and the sender's time of it."""

    time: int
    value: float


class HostLoad(NamedTuple):
    """How busy the host of an endpoint is: a share from 0 to 1, and how old that is."""

    endpoint: int
    busy: float
    age: int


@dataclass(slots=True)
class Host:
    """What is known of one listed host."""

    clock: HostClock = field(default_factory=HostClock)
    series: dict[SeriesKey, Series] = field(default_factory=dict)
    state_rates: dict[ProcessorState, Reading] = field(default_factory=dict)
    state_percents: dict[ProcessorState, Reading] = field(default_factory=dict)
    run_queue: Reading | None = None  # runnable processes
    newest: int = 0  # by the host's clock
    newest_read_at: int = 0  # by our clock
    reported: int = 0  # `newest` of the last load that was reported
    interval: int = DEFAULT_INTERVAL

    def busy(self) -> float | None:
        """Return the share of its processors' time that is not idle; None where it is not known."""
        oldest_current = self.newest - FRESH_INTERVALS * self.interval
        for estimate in (self._busy_by_rates, self._busy_by_percents, self._busy_by_run_queue):
            share = estimate(oldest_current)
            if share is not None:
                return share
        return None

    def _busy_by_rates(self, oldest_current: float) -> float | None:
        rates = [
            (state, reading.value)
            for (_, state), reading in self.state_rates.items()
            if reading.time >= oldest_current
        ]
        total = sum(rate for _, rate in rates)
        states = {state for state, _ in rates}
        if total <= 0 or "idle" not in states or len(states) < 2:
            return None
        return 1 - sum(rate for state, rate in rates if state in IDLE_STATES) / total

    def _busy_by_percents(self, oldest_current: float) -> float | None:
        current = [
            (state, reading.value)
            for (_, state), reading in self.state_percents.items()
            if reading.time >= oldest_current
        ]
        active = [percent for state, percent in current if state == "active"]
        if active:
            return _clamped(sum(active) / len(active) / 100)
        idle = [percent for state, percent in current if state == "idle"]
        return _clamped(1 - sum(idle) / len(idle) / 100) if idle else None

    def _busy_by_run_queue(self, oldest_current: float) -> float | None:
        if self.run_queue is None or self.run_queue.time < oldest_current:
            return None
        states = (*self.state_rates, *self.state_percents)
        processors = {processor for processor, _ in states if processor}
        return min(1.0, self.run_queue.value / len(processors)) if processors else None

    def use(self, values: ValueList, source: str, rate: float) -> bool:
        """Store a rate; return whether the host's load is made of it."""
        reading = Reading(values.time, rate)
        processor_state = (values.plugin_instance, values.type_instance)
        if values.plugin == "cpu" and values.type == "cpu":
            self.state_rates[processor_state] = reading
        elif values.plugin == "cpu" and values.type == "percent":
            self.state_percents[processor_state] = reading
        elif values.plugin == "load" and source == "shortterm":
            self.run_queue = reading
        else:
            return False
        return True

    def clock_was_set_back(self) -> None:
        """Values count as new again, though their times are lower."""
        self.newest = 0
        self.reported = 0


def _clamped(share: float) -> float:
    return min(1.0, max(0.0, share))


class HostLoads:
    """Value lists in, host loads out.

    `endpoints_of(host)` gives the listed endpoints on a host, none for an unknown one; `counters` counts what
    is ignored.
    """

    def __init__(
        self,
        endpoints_of: Callable[[str], Sequence[int]],
        types: Types,
        counters: MutableMapping[str, int],
        max_series: int = MAX_SERIES,
    ) -> None:
        self.endpoints_of = endpoints_of
        self.types = types
        self.counters = counters
        self.max_series = max_series
        self.hosts: dict[str, Host] = {}

    def add(self, now: int, value_lists: Iterable[ValueList], is_authenticated: bool) -> None:
        """Use the value lists of a packet that arrived at `now`."""
        for values in value_lists:
            sources = self.types.get(values.type)
            if not self.endpoints_of(values.host):
                self.counters["collectd_unknown_hosts"] += 1
            elif sources is None or [source.kind for source in sources] != [
                kind for kind, _ in values.values
            ]:
                self.counters["collectd_type_mismatches"] += 1
            elif is_authenticated and abs(now - values.time) > MAX_AUTHENTICATED_SKEW:
                self.counters["collectd_too_old"] += 1  # an old packet, sent by someone who kept it
            else:
                self._add(now, values, sources)

    def _add(self, now: int, values: ValueList, sources: tuple[DataSource, ...]) -> None:
        host = self.hosts.setdefault(values.host, Host())
        interval = values.interval or DEFAULT_INTERVAL
        age = host.clock.age(now, values.time)
        if age > MAX_GAP_INTERVALS * interval:
            self.counters["collectd_late"] += 1
            return
        is_used = False
        for source, (kind, value) in zip(sources, values.values, strict=True):
            rate = self._rate(host, values, source.name, kind, value, interval)
            if rate is None or not source.minimum <= rate <= source.maximum:  # false for what is not a number
                continue
            is_used = host.use(values, source.name, rate) or is_used
        if not is_used:
            return
        self.counters["collectd_values"] += 1
        if values.time > host.newest:
            host.newest = values.time
            host.newest_read_at = now - age
            host.interval = interval

    def _rate(
        self, host: Host, values: ValueList, source: str, kind: int, value: float, interval: int
    ) -> float | None:
        key = (values.plugin, values.plugin_instance, values.type, values.type_instance, source)
        series = host.series.get(key)
        if series is None:
            return self._start_series(host, key, values.time, kind, value, interval)
        if values.time > series.time:
            return series.rate(kind, value, values.time, interval)
        if values.time < series.time - 2 * JUMP and host.clock.late_in_a_row == 0:
            series.time = values.time
            series.value = value
            host.clock_was_set_back()
        elif values.time < series.time:
            self.counters["collectd_old"] += 1
        else:
            self.counters["collectd_duplicates"] += 1
        return None

    def _start_series(
        self, host: Host, key: SeriesKey, time: int, kind: int, value: float, interval: int
    ) -> float | None:
        if len(host.series) >= self.max_series:
            self.counters["collectd_too_many_series"] += 1
            return None
        host.series[key] = Series(time, value)
        if kind == GAUGE:
            return value
        return value * SECOND / interval if kind == ABSOLUTE else None

    def take_loads(self, now: int) -> list[HostLoad]:
        """Return the loads of hosts with new values, one for each endpoint.

        The age counts from the middle of the interval that the load is a mean of.
        """
        loads = []
        for name, host in self.hosts.items():
            if host.newest <= host.reported:
                continue
            host.reported = host.newest
            busy = host.busy()
            if busy is not None:
                age = max(0, now - host.newest_read_at) + host.interval // 2
                loads += [HostLoad(endpoint, busy, age) for endpoint in self.endpoints_of(name)]
        return loads

    def take_skewed_clocks(self) -> list[tuple[str, float]]:
        """Return hosts whose clock is newly off, or right again, by more than JUMP: (host, seconds ahead)."""
        skewed = []
        for name, host in self.hosts.items():
            offset = host.clock.take_new_offset()
            if offset is not None:
                skewed.append((name, -offset / SECOND))
        return skewed

    def remove_unlisted_hosts(self) -> None:
        """Forget hosts that have no listed endpoint any more."""
        self.hosts = {name: host for name, host in self.hosts.items() if self.endpoints_of(name)}
