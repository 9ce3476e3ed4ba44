"""The controller: takes the events of a control cycle and writes its commands.

It is pure: it knows no clock, socket or file, and draws from one seeded random source. Its parts decide;
the controller only passes events on, and runs the parts in order.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from math import exp
from random import Random
from typing import TYPE_CHECKING, Any

from ravenshelf.policy.admission import AdmissionControl
from ravenshelf.policy.demand import DemandEstimator, ZoneDemand
from ravenshelf.policy.effective_weights import EffectiveWeights
from ravenshelf.policy.ejections import EjectionControl
from ravenshelf.policy.endpoint_watch import EndpointWatch
from ravenshelf.policy.endpoints import HOST_LOAD_SPAN, Endpoint, EndpointDirectory
from ravenshelf.policy.events import (
    BatchAcknowledged,
    DemandReport,
    EndpointsListed,
    Event,
    HostLoadSampled,
    ListKind,
    LoadReport,
    ProxyJoined,
    ProxyLeft,
    WatchFailed,
)
from ravenshelf.policy.flow_control import ChannelFlowControl
from ravenshelf.policy.latency_bounds import MissBound, ZoneLatencyGaps
from ravenshelf.policy.partitions import Partitions
from ravenshelf.policy.proxies import Proxy
from ravenshelf.policy.service_time import ServiceTimeEstimator
from ravenshelf.policy.slow_start import SlowStart
from ravenshelf.policy.spill_planning import SpillPlanner
from ravenshelf.policy.staged_rollout import StagedRollout
from ravenshelf.policy.urgency import JOINING, ORDINARY, URGENT, WITHDRAWAL
from ravenshelf.policy.weight_tables import WeightTables
from ravenshelf.settings import SECOND, Settings

if TYPE_CHECKING:  # it only names types: a simulated server starts without it
    from ravenshelf.policy.commands import CommandWriter

SOLVE_INTERVAL = 5 * SECOND // 2  # microseconds
FIRST_SOLVE_DELAY = SECOND // 4  # microseconds after the first report: then zones can be told apart
ROLLOUT_STEP = SECOND // 4  # microseconds
STEP_TIMER = "step"
DEFAULT_LATENCY_OBJECTIVE = 10 * SECOND  # microseconds, of a traffic group without one
NO_GROUPS_LATENCY_OBJECTIVE = SECOND  # microseconds
LATENCY_MISS_EXPONENT = 3  # an attempt at half of the objective counts as an eighth of a miss
CURVE_MISS_EXPONENT = 4  # the same against the miss bound, in miss curves
NEW_SAMPLE_SHARE = 0.7  # of older host load samples that a fresh one replaces
ACTIVE_REQUESTS_COLUMN = "active"


class Controller:
    """All decisions of one control-plane server.

    `run_cycle` is called once a control cycle. Subclasses may override the handlers (`on_...`), `plan` and
    `planned_tables`, or replace a part.

    `endpoints` and `proxies` are by index; `now` is the time of the present cycle in microseconds.
    """

    def __init__(self, settings: Settings, seed: int, channel: ChannelFlowControl | None = None):
        """`channel`: one that another controller has filled goes on; None: a new one."""
        self.settings = settings
        self.now = 0
        self.random_source = Random(seed)
        self.zone_count = max(1, len(settings.zones))
        self.latency_objective = min(
            [group.latency_objective_us or DEFAULT_LATENCY_OBJECTIVE for group in settings.traffic_groups],
            default=NO_GROUPS_LATENCY_OBJECTIVE,
        )
        self.next_solve_at = 0
        self.next_step_at = 0
        self.list_urgency = ORDINARY  # of changes to the endpoint list that are not planned yet
        self._logged_state: tuple[bool, list[int]] = (False, [])
        self._active_column = [*settings.telemetry.columns, ACTIVE_REQUESTS_COLUMN].index(
            ACTIVE_REQUESTS_COLUMN
        )
        self._make_estimators(settings)
        self._make_tables(settings, channel or ChannelFlowControl(settings.service))
        self._handlers: dict[type, Callable[[Any], None]] = {  # other events decide nothing
            EndpointsListed: self.on_endpoints_listed,
            WatchFailed: self.on_watch_failed,
            ProxyJoined: self.on_proxy_joined,
            ProxyLeft: self.on_proxy_left,
            LoadReport: self.on_load_report,
            DemandReport: self.on_demand_report,
            HostLoadSampled: self.on_host_load_sampled,
            BatchAcknowledged: self.on_batch_acknowledged,
        }

    def _make_estimators(self, settings: Settings) -> None:
        self.directory = EndpointDirectory(self.zone_count, settings.warm_up.removal_is_not_binding)
        self.endpoints: Mapping[int, Endpoint] = self.directory.by_index
        self.service_time = ServiceTimeEstimator(self.latency_objective)
        self.slow_start = SlowStart(settings.warm_up, self.service_time)
        self.miss_bound = MissBound(self.latency_objective)
        self.latency_gaps = ZoneLatencyGaps(self.zone_count)
        self.effective_weights = EffectiveWeights(
            self.directory,
            self.slow_start,
            self.miss_bound,
            self.zone_count,
            settings.service.outlier_after_failures,
        )
        self.demand_estimator = DemandEstimator(settings.service, self.zone_count)
        self.admission = AdmissionControl(settings, self.service_time)
        self.spill_planner = SpillPlanner(self.zone_count)
        self.endpoint_watch = EndpointWatch(settings.discovery == "on_request", self.random_source)

    def _make_tables(self, settings: Settings, channel: ChannelFlowControl) -> None:
        self.partitions = Partitions(settings, self.zone_count, self.directory)
        self.tables = WeightTables(
            channel,
            self.directory,
            self.slow_start,
            settings.warm_up.overload_multiple,
            self.zone_count,
            len(settings.traffic_groups),
        )
        self.proxies: Mapping[int, Proxy] = self.tables.proxies
        self.ejections = EjectionControl(self.directory, self.tables)
        self.rollout = StagedRollout(self.tables, self.zone_count, self.random_source)

    @property
    def channel(self) -> ChannelFlowControl:
        """Flow control of the control channel."""
        return self.tables.channel

    def run_cycle(self, now: int, events: Iterable[Event], writer: CommandWriter) -> None:
        """Take the events of a control cycle, and write its commands.

        `now` is the time in microseconds; it never goes back. Whatever a writer raises passes through; the
        controller is then of no further use.
        """
        self.now = now
        self.channel.advance(now)
        for event in events:
            handler = self._handlers.get(type(event))
            if handler is not None:
                handler(event)
        self.next_solve_at = self.next_solve_at or now + SOLVE_INTERVAL
        self.endpoint_watch.run(now, writer)
        self._serve_new_proxies_and_list(writer)
        if now >= self.next_solve_at:
            self.next_solve_at = now + SOLVE_INTERVAL
            self.plan(writer, ORDINARY)
        if now >= self.next_step_at:
            self.next_step_at = now + ROLLOUT_STEP
            self._retry_deferred_tables(writer)
            self.rollout.step(writer)
            writer.start_timer(self.next_step_at, STEP_TIMER)
        self.channel.commit_cycle(now, writer)

    def _serve_new_proxies_and_list(self, writer: CommandWriter) -> None:
        tables = self.tables
        unbound = list(tables.proxies_by_table[None])
        if any(self.proxies[index].partition is None for index in unbound):
            self.partitions.assign_proxies(self.now, self.proxies)
        if self.list_urgency or any(self._lacks_table(index) for index in unbound):
            urgency = self.list_urgency or URGENT
            self.list_urgency = ORDINARY
            tables.deferred_tables = {}
            self.plan(writer, urgency)
        pending = self.ejections.pending()
        # a table costs less than to eject all that has left one by one
        urgency = WITHDRAWAL if pending else JOINING
        for index in unbound:
            tables.bind(index, tables.current_table(self.proxies[index]), writer, urgency)
        self.ejections.update(pending, writer)

    def _lacks_table(self, index: int) -> bool:
        return self.tables.current_table(self.proxies[index]) is None

    def _retry_deferred_tables(self, writer: CommandWriter) -> None:
        deferred = self.tables.deferred_tables
        self.tables.deferred_tables = {}
        if deferred:  # these alone: weights that drift while a queue drains would keep it full
            self.plan(writer, max(deferred.values()), deferred)

    # --- events ---

    def on_endpoints_listed(self, event: EndpointsListed) -> None:
        """Take over an endpoint list."""
        self.list_urgency = max(self.list_urgency, self.directory.apply_list(event))
        self.endpoint_watch.record_list(event.kind is ListKind.RESTORED)

    def on_watch_failed(self, _: WatchFailed) -> None:
        """Poll the registry again after a backoff."""
        self.endpoint_watch.record_poll_failure(self.now)

    def on_proxy_joined(self, event: ProxyJoined) -> None:
        """Take in a proxy; one that had joined already starts anew."""
        self._remove_proxy(event.proxy, True)
        zone = min(event.zone, self.zone_count - 1)
        proxy = Proxy(zone, event.nominal_rate, len(self.settings.traffic_groups))
        self.tables.add_proxy(event.proxy, proxy)
        self.channel.record_connection(event.proxy)

    def on_proxy_left(self, event: ProxyLeft) -> None:
        """Forget a proxy."""
        self._remove_proxy(event.proxy, event.is_ended_by_server)

    def _remove_proxy(self, index: int, is_ended_by_server: bool) -> None:
        self.tables.remove_proxy(index)
        self.channel.record_disconnection(index, is_ended_by_server)

    def on_load_report(self, event: LoadReport) -> None:
        """Learn from what one zone's proxies observed of an endpoint; others and empty ones are ignored."""
        endpoint = self.endpoints.get(event.endpoint)
        attempts = event.attempts
        if endpoint is None or attempts <= 0:
            return
        now = self.now
        latency = event.mean_latency
        zone = min(event.zone, self.zone_count - 1)
        failed = min(max(event.failures, 0), attempts)
        succeeded = attempts - failed
        endpoint.attempts.add(now, attempts, failed)
        if len(event.load) > self._active_column:
            endpoint.reported_load.add(now, 1.0, event.load[self._active_column] / endpoint.weight)
        if succeeded and latency > 0:
            self._learn_latency(endpoint, zone, succeeded, latency)
        missed = failed + succeeded * min(1.0, latency / self.latency_objective) ** LATENCY_MISS_EXPONENT
        endpoint.misses.add(now, attempts, missed)
        self.service_time.add(now, succeeded, latency)
        if zone == endpoint.zone and zone in self.spill_planner.loads:
            self._learn_curve(endpoint, attempts, failed, latency)

    def _learn_latency(self, endpoint: Endpoint, zone: int, succeeded: int, latency: int) -> None:
        now = self.now
        endpoint.latency.add(now, succeeded, succeeded * latency)
        self.latency_gaps.add(now, zone, endpoint.zone, latency)
        if self.miss_bound.add(now, latency):
            self.next_solve_at = now + FIRST_SOLVE_DELAY

    def _learn_curve(self, endpoint: Endpoint, attempts: int, failed: int, latency: int) -> None:
        """Near the bound part of a mean's attempts miss; what fails by itself says little of the load."""
        late = 0.0
        if self.miss_bound.value:
            late = (attempts - failed) * min(1.0, latency / self.miss_bound.value) ** CURVE_MISS_EXPONENT
        health = endpoint.health_score(self.now)
        load = self.spill_planner.loads[endpoint.zone]
        self.spill_planner.curves[endpoint.zone].add(
            self.now, load, health * attempts, health * (failed + late)
        )

    def on_demand_report(self, event: DemandReport) -> None:
        """Learn a proxy's demand; reports of other proxies are ignored."""
        proxy = self.proxies.get(event.proxy)
        if proxy is not None:
            proxy.add_report(self.now, event)

    def on_host_load_sampled(self, event: HostLoadSampled) -> None:
        """Learn how busy an endpoint's machine was; the older the sample, the less it counts."""
        endpoint = self.endpoints.get(event.endpoint)
        if endpoint is not None and 0 <= event.busy <= 1:
            freshness = exp(-max(0, event.age) / HOST_LOAD_SPAN)
            endpoint.host_load.scale(self.now, 1 - NEW_SAMPLE_SHARE * freshness)
            endpoint.host_load.add(self.now, freshness, freshness * event.busy)

    def on_batch_acknowledged(self, event: BatchAcknowledged) -> None:
        """Pass an acknowledgement on to flow control."""
        self.channel.record_acknowledgement(event.proxy, event.marker, event.elapsed)

    # --- estimates ---

    def usable_endpoints(self) -> list[Endpoint]:
        """The endpoints that tables may hold."""
        return self.directory.list_usable()

    def effective_weights_by_zone(self) -> list[dict[int, float]]:
        """For each zone: strength by endpoint, see `EndpointStrengths`."""
        return self.effective_weights.by_zone(self.now, self.proxies, self.partitions.counts)

    def demand(self) -> ZoneDemand:
        """Requests per second by zone: of the own proxies, and of all."""
        return self.demand_estimator.by_zone(self.now, self.proxies)

    # --- planning ---

    def plan(self, writer: CommandWriter, urgency: int, selected_tables: Collection[int] = ()) -> None:
        """Decide spill, admission and tables anew, and write what changes.

        With an urgency, tables in use change in place; `only` restricts that to some tables. Without one,
        the capacity estimate is adapted, and changes go out by staged rollout.
        """
        now = self.now
        zones = {proxy.zone for proxy in self.proxies.values()}
        self.slow_start.align_returning_zones(zones, self.usable_endpoints(), now)
        effective_weights = self.effective_weights_by_zone()
        demand = self.demand()
        capacity, listed_weight = self._capacity_by_zone()
        admitted = self.admission.admitted_share(
            now,
            sum(sum(of_zone.values()) for of_zone in effective_weights),
            sum(demand.total_rates),
            self.usable_endpoints(),
            not urgency,
        )
        admitted_demand = [requests * admitted for requests in demand.total_rates]
        self.latency_gaps.update(now)
        load_factors = self.latency_gaps.load_factors(self.miss_bound.value)
        self.spill_planner.update(now, admitted_demand, capacity, listed_weight, load_factors)
        levels = self.admission.levels(now, admitted * sum(demand.local_rates), self.proxies.values())
        if not urgency:
            self._log_state(
                bool(levels), admitted, self.spill_planner.spilling_zones(admitted_demand), writer
            )
        if not selected_tables:
            for table in list(self.tables.lines):
                self.tables.write_levels(table, levels, writer)
        self._renew_tables(effective_weights, levels, writer, urgency, selected_tables)

    def _capacity_by_zone(self) -> tuple[list[float], list[float]]:
        """Weight by zone: of what endpoints can carry now, and as listed."""
        capacity = [0.0] * self.zone_count
        listed_weight = [0.0] * self.zone_count
        for endpoint in self.usable_endpoints():
            share = self.slow_start.capacity_share(endpoint, self.now)
            capacity[endpoint.zone] += endpoint.weight * share * endpoint.health_score(self.now)
            listed_weight[endpoint.zone] += endpoint.weight
        return capacity, listed_weight

    def _log_state(
        self, sheds_load: bool, admitted: float, spilling_zones: list[int], writer: CommandWriter
    ) -> None:
        """Log when load shedding or the spilling zones change."""
        state = sheds_load, spilling_zones
        if state != self._logged_state:
            self._logged_state = state
            shed_percent = 100 - 100 * admitted
            writer.log(f"shedding {shed_percent:.0f}% of requests; zones spilling over 10%: {spilling_zones}")

    def _renew_tables(
        self,
        effective_weights: list[dict[int, float]],
        levels: Mapping[int, float],
        writer: CommandWriter,
        urgency: int,
        selected_tables: Collection[int],
    ) -> None:
        """Bring all tables to their planned lines; first those that were written longest ago.

        There may be room for a few only, again and again.
        """
        partition_demand = self.partitions.partition_demand(self.now, self.proxies)
        planned = [
            ((zone, partition), lines)
            for zone in sorted({proxy.zone for proxy in self.proxies.values()})
            for partition, lines in enumerate(
                self.planned_tables(zone, effective_weights, partition_demand[zone])
            )
            if lines
        ]
        planned.sort(key=lambda one: self.tables.last_written_at(one[0]))
        for partition_key, lines in planned:
            self.tables.renew(self.now, partition_key, lines, levels, writer, urgency, selected_tables)

    def planned_tables(
        self, zone: int, effective_weights: list[dict[int, float]], partition_demand: Sequence[float]
    ) -> list[dict[int, float]]:
        """The lines (weight by endpoint) of a zone's tables, one for each partition.

        `strengths` is by zone and endpoint, `needs` requests per second by partition.
        """
        return self.partitions.planned_tables(
            self.spill_planner.shares[zone], effective_weights, partition_demand
        )
