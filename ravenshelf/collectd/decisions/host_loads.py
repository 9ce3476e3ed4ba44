"""Host loads derived from collectd's values.

The load of a host is the busy share of its processors' time. It is reported for each endpoint on the host.

| case | handling |
| --- | --- |
| late or out of order: older than the newest of its series | ignored; a newer value gave the rate |
| a duplicate | ignored; a duplicate of an authenticated packet is rejected |
| a timestamp in the future, or a host whose clock has an offset | the age is estimated, see `host_clock` |
| a value that is not a number or outside the bounds of its type | ignored |
| a host that stops sending | no new load; the controller lets the last one fade |
| a host without a listed endpoint | counted, nothing is stored |

Memory: at most `max_series` series for each host with a listed endpoint. Times are microseconds. Nothing here
performs I/O; the caller passes in the time.
"""

from collections.abc import Callable, Iterable, MutableMapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from ravenshelf.collectd.decisions.host_clock import JUMP_THRESHOLD, HostClock
from ravenshelf.collectd.decisions.series import MAX_GAP_INTERVALS, Series
from ravenshelf.collectd.protocol import ABSOLUTE, GAUGE, ValueList
from ravenshelf.collectd.types import DataSource, Types
from ravenshelf.time_units import SECOND

DEFAULT_INTERVAL = 10 * SECOND  # Interval that is assumed for a sender that states none.
FRESH_INTERVALS = 2.5  # Number of intervals for which a reading counts as current.
# Values of an authenticated packet are ignored if their time differs from the server's by more than this. The
# packet is then a recorded one that was sent again: such a difference does not come from the host's clock.
MAX_AUTHENTICATED_SKEW = 600 * SECOND
MAX_SERIES = 4096  # Maximum number of series stored for each host.
IDLE_STATES = ("idle", "wait")

ProcessorState = tuple[str, str]  # Name of a processor and one of its states, as (processor, state).
SeriesKey = tuple[str, str, str, str, str]  # (plugin, plugin instance, type, type instance, source)


class Reading(NamedTuple):
    """Value or rate, and its time by the sender's clock."""

    time: int
    value: float


class HostLoad(NamedTuple):
    """Load of an endpoint's host and the age of this load."""

    endpoint: int
    busy_share: float  # Share of the processors' time that is not idle, from 0 to 1.
    age: int


@dataclass(slots=True)
class Host:
    """State of one host that has a listed endpoint."""

    clock: HostClock = field(default_factory=HostClock)
    series: dict[SeriesKey, Series] = field(default_factory=dict)
    state_rates: dict[ProcessorState, Reading] = field(default_factory=dict)
    state_percents: dict[ProcessorState, Reading] = field(default_factory=dict)
    run_queue: Reading | None = None  # Number of runnable processes.
    newest_time: int = 0  # Time of the newest value, by the host's clock.
    newest_measured_at: int = 0  # Estimated time of the newest value, by the server's clock.
    reported_time: int = 0  # Value of `newest_time` when the host's load was last computed.
    interval: int = DEFAULT_INTERVAL

    def estimate_busy_share(self) -> float | None:
        """Return the share of the processors' time that is not idle, from 0 to 1.

        The share is computed from the first of these that has current readings: rates of the processor
        states, percentages of the processor states, the run queue. It is None if none of them has.
        """
        oldest_current = self.newest_time - FRESH_INTERVALS * self.interval
        for estimate_share in (
            self._busy_share_by_rates,
            self._busy_share_by_percents,
            self._busy_share_by_run_queue,
        ):
            share = estimate_share(oldest_current)
            if share is not None:
                return share
        return None

    def _busy_share_by_rates(self, oldest_current: float) -> float | None:
        current_rates = [
            (state, reading.value)
            for (_, state), reading in self.state_rates.items()
            if reading.time >= oldest_current
        ]
        total_rate = sum(rate for _, rate in current_rates)
        states = {state for state, _ in current_rates}
        if total_rate <= 0 or "idle" not in states or len(states) < 2:
            return None
        return 1 - sum(rate for state, rate in current_rates if state in IDLE_STATES) / total_rate

    def _busy_share_by_percents(self, oldest_current: float) -> float | None:
        current_percents = [
            (state, reading.value)
            for (_, state), reading in self.state_percents.items()
            if reading.time >= oldest_current
        ]
        active_percents = [percent for state, percent in current_percents if state == "active"]
        if active_percents:
            return _clamp(sum(active_percents) / len(active_percents) / 100)
        idle_percents = [percent for state, percent in current_percents if state == "idle"]
        return _clamp(1 - sum(idle_percents) / len(idle_percents) / 100) if idle_percents else None

    def _busy_share_by_run_queue(self, oldest_current: float) -> float | None:
        if self.run_queue is None or self.run_queue.time < oldest_current:
            return None
        processor_states = (*self.state_rates, *self.state_percents)
        processors = {processor for processor, _ in processor_states if processor}
        return min(1.0, self.run_queue.value / len(processors)) if processors else None

    def store_rate(self, values: ValueList, source: str, rate: float) -> bool:
        """Store a rate if the host's load is computed from it.

        Args:
            values: The value list that the rate belongs to.
            source: The name of the data source within the value list's type.
            rate: The rate, or the value of a gauge.

        Returns:
            Whether the rate was stored.
        """
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

    def reset_times(self) -> None:
        """Let values with lower timestamps count as new, after the host's clock was set back."""
        self.newest_time = 0
        self.reported_time = 0


def _clamp(share: float) -> float:
    return min(1.0, max(0.0, share))


class HostLoads:
    """Conversion of value lists to host loads.

    `find_endpoints(host)` returns the listed endpoints on a host, an empty sequence for an unknown host.
    `counters` counts the values that are used and those that are ignored.
    """

    def __init__(
        self,
        find_endpoints: Callable[[str], Sequence[int]],
        types: Types,
        counters: MutableMapping[str, int],
        max_series: int = MAX_SERIES,
    ) -> None:
        self.find_endpoints = find_endpoints
        self.types = types
        self.counters = counters
        self.max_series = max_series
        self.hosts: dict[str, Host] = {}

    def add(self, now: int, value_lists: Iterable[ValueList], is_authenticated: bool) -> None:
        """Add the value lists of a packet.

        Args:
            now: The time at which the packet arrived.
            value_lists: The decoded value lists.
            is_authenticated: Whether the packet was signed or encrypted by a user with a valid password.
        """
        for values in value_lists:
            sources = self.types.get(values.type)
            if not self.find_endpoints(values.host):
                self.counters["collectd_unknown_hosts"] += 1
            elif sources is None or [source.kind for source in sources] != [
                kind for kind, _ in values.values
            ]:
                self.counters["collectd_type_mismatches"] += 1
            elif is_authenticated and abs(now - values.time) > MAX_AUTHENTICATED_SKEW:
                self.counters["collectd_too_old"] += 1
            else:
                self._add(now, values, sources)

    def _add(self, now: int, values: ValueList, sources: tuple[DataSource, ...]) -> None:
        host = self.hosts.setdefault(values.host, Host())
        interval = values.interval or DEFAULT_INTERVAL
        age = host.clock.estimate_age(now, values.time)
        if age > MAX_GAP_INTERVALS * interval:
            self.counters["collectd_late"] += 1
            return
        is_used = False
        for source, (kind, value) in zip(sources, values.values, strict=True):
            rate = self._update_series(host, values, source.name, kind, value, interval)
            # A rate that is not a number fails this comparison too.
            if rate is None or not source.minimum <= rate <= source.maximum:
                continue
            is_used = host.store_rate(values, source.name, rate) or is_used
        if not is_used:
            return
        self.counters["collectd_values"] += 1
        if values.time > host.newest_time:
            host.newest_time = values.time
            host.newest_measured_at = now - age
            host.interval = interval

    def _update_series(
        self, host: Host, values: ValueList, source: str, kind: int, value: float, interval: int
    ) -> float | None:
        key = (values.plugin, values.plugin_instance, values.type, values.type_instance, source)
        series = host.series.get(key)
        if series is None:
            return self._start_series(host, key, values.time, kind, value, interval)
        if values.time > series.time:
            return series.add_value(kind, value, values.time, interval)
        if values.time < series.time - 2 * JUMP_THRESHOLD and host.clock.consecutive_late_values == 0:
            series.time = values.time
            series.value = value
            host.reset_times()
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

    def pop_loads(self, now: int) -> list[HostLoad]:
        """Return the loads of the hosts that have new values since the last call, one for each endpoint.

        A load is a mean over an interval; its age counts from the middle of that interval.
        """
        loads = []
        for name, host in self.hosts.items():
            if host.newest_time <= host.reported_time:
                continue
            host.reported_time = host.newest_time
            busy_share = host.estimate_busy_share()
            if busy_share is not None:
                age = max(0, now - host.newest_measured_at) + host.interval // 2
                loads += [HostLoad(endpoint, busy_share, age) for endpoint in self.find_endpoints(name)]
        return loads

    def pop_skewed_clocks(self) -> list[tuple[str, float]]:
        """Return the hosts whose clock offset differs by more than JUMP_THRESHOLD from the last one returned.

        Returns:
            Pairs (host, seconds by which its clock is ahead); the seconds are negative if it is behind.
        """
        skewed_clocks = []
        for name, host in self.hosts.items():
            offset = host.clock.pop_new_offset()
            if offset is not None:
                skewed_clocks.append((name, -offset / SECOND))
        return skewed_clocks

    def remove_unlisted_hosts(self) -> None:
        """Remove the state of hosts that have no listed endpoint any more."""
        self.hosts = {name: host for name, host in self.hosts.items() if self.find_endpoints(name)}
