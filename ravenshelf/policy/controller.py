"""The controller: it handles the events of a control cycle and writes the commands that follow from them.

The controller is deterministic. It reads no clock, socket or file, and its only random source is seeded.
The components make the decisions; the controller passes events to them and runs them in a fixed order.
Times and durations are integer microseconds.
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
from ravenshelf.policy.endpoints import HOST_LOAD_TIME_CONSTANT, Endpoint, EndpointDirectory
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
from ravenshelf.policy.report_learning import LearnedEstimates, ReportLearner
from ravenshelf.policy.service_time import ServiceTimeEstimator
from ravenshelf.policy.slow_start import SlowStart
from ravenshelf.policy.spill_planning import SpillPlanner
from ravenshelf.policy.staged_rollout import StagedRollout
from ravenshelf.policy.urgency import JOINING, ORDINARY, URGENT, WITHDRAWAL
from ravenshelf.policy.weight_tables import WeightTables
from ravenshelf.settings import Settings
from ravenshelf.time_units import SECOND

if TYPE_CHECKING:  # Imported for annotations only, so that a simulated server starts without loading it.
    from ravenshelf.policy.commands import CommandWriter

SOLVE_INTERVAL = 5 * SECOND // 2
# After the first load report, the next solve is due after this time. By then the zones can be told apart.
FIRST_SOLVE_DELAY = SECOND // 4
ROLLOUT_STEP = SECOND // 4
STEP_TIMER = "step"
# This objective applies to traffic groups for which the settings state none.
DEFAULT_LATENCY_OBJECTIVE = 10 * SECOND
# This objective applies if the settings list no traffic groups.
NO_GROUPS_LATENCY_OBJECTIVE = SECOND
# A host load sample of age 0 replaces this share of the older samples.
NEW_SAMPLE_SHARE = 0.7


class Controller:
    """All decisions of one control-plane server.

    `run_cycle` is called once per control cycle. Subclasses may override the event handlers (`on_...`),
    `plan` and `planned_tables`, or replace a component after construction.

    Attributes:
        endpoints: Every endpoint that was ever listed, by index.
        proxies: The joined proxies, by index.
        now: The time of the current control cycle in microseconds.
        latency_objective: The shortest latency objective of all traffic groups in microseconds.
        next_solve_at: When the next periodic solve is due; 0 before the first control cycle.
        next_step_at: When the next rollout step is due.
        list_urgency: The urgency of endpoint list changes that no plan has taken into account yet.
    """

    def __init__(self, settings: Settings, seed: int, channel: ChannelFlowControl | None = None):
        """Create a controller without endpoints or proxies.

        Args:
            settings: The settings of the deployment.
            seed: The seed of the random source.
            channel: The flow control of a previous controller, whose queue is still to be sent; None creates
                a new one with an empty queue.
        """
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
        self.list_urgency = ORDINARY
        self._logged_state: tuple[bool, list[int]] = (False, [])
        self._make_estimators(settings)
        self._make_tables(
            settings, channel or ChannelFlowControl(settings.service, settings.warm_up.drain_grace_us)
        )
        # Events of any other type are ignored.
        self._handlers: dict[type, Callable[[Any], None]] = {
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
        self.report_learner = ReportLearner(
            settings.telemetry,
            self.zone_count,
            self.latency_objective,
            self.endpoints,
            LearnedEstimates(self.service_time, self.miss_bound, self.latency_gaps, self.spill_planner),
        )
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
        """Handle the events of one control cycle and write its commands.

        Args:
            now: The time in microseconds; it never decreases from one cycle to the next.
            events: The events in the order of their arrival.
            writer: The receiver of the commands. An exception that it raises is passed on; the controller
                must not be used after that.
        """
        self.now = now
        self.channel.advance(now)
        for event in events:
            handler = self._handlers.get(type(event))
            if handler is not None:
                handler(event)
        self.next_solve_at = self.next_solve_at or now + SOLVE_INTERVAL
        self.endpoint_watch.run(now, writer)
        self._apply_joins_and_list_changes(writer)
        if now >= self.next_solve_at:
            self.next_solve_at = now + SOLVE_INTERVAL
            self.plan(writer, ORDINARY)
        if now >= self.next_step_at:
            self.next_step_at = now + ROLLOUT_STEP
            self._retry_deferred_tables(writer)
            self.rollout.step(writer)
            writer.start_timer(self.next_step_at, STEP_TIMER)
        self.channel.commit_cycle(now, writer)

    def _apply_joins_and_list_changes(self, writer: CommandWriter) -> None:
        """Plan tables for changes that cannot wait for the next solve, and bind new proxies to tables."""
        tables = self.tables
        unbound_proxies = list(tables.proxies_by_table[None])
        if any(self.proxies[index].partition is None for index in unbound_proxies):
            self.partitions.assign_proxies(self.now, self.proxies)
        if self.list_urgency or any(self._lacks_table(index) for index in unbound_proxies):
            urgency = self.list_urgency or URGENT
            self.list_urgency = ORDINARY
            tables.take_deferred_tables()
            self.plan(writer, urgency)
        else:
            self._update_tables_between_plans(unbound_proxies, writer)
        pending_endpoints = self.ejections.pending_endpoints()
        # While ejections are pending, proxies are bound at the highest urgency. A proxy without a table is
        # charged one line for each pending ejection, and these lines together cost more than its table.
        urgency = WITHDRAWAL if pending_endpoints else JOINING
        for index in unbound_proxies:
            tables.bind(index, tables.current_table(self.proxies[index]), writer, urgency)
        self.ejections.update(pending_endpoints, writer)

    def _update_tables_between_plans(self, unbound_proxies: list[int], writer: CommandWriter) -> None:
        """Write the outdated tables of joining proxies, and deferred tables that withdraw an endpoint."""
        if unbound_proxies and self.tables.outdated_tables:
            zones = {self.proxies[index].zone for index in unbound_proxies}
            # No proxy uses these tables, so their changes take no capacity of the channel.
            if outdated_tables := self.tables.outdated_tables_of(zones):
                self.plan(writer, URGENT, outdated_tables)
        # Otherwise the ejection alone would use the message that the table waits for.
        if self.tables.may_withdraw_by_table():
            self._retry_deferred_tables(writer)

    def _lacks_table(self, index: int) -> bool:
        return self.tables.current_table(self.proxies[index]) is None

    def _retry_deferred_tables(self, writer: CommandWriter) -> None:
        deferred_tables = self.tables.take_deferred_tables()
        # Only the deferred tables are written. If all tables were, their drifting weights would keep the
        # queue full while it drains.
        if deferred_tables:
            self.plan(writer, max(deferred_tables.values()), deferred_tables)

    def on_endpoints_listed(self, event: EndpointsListed) -> None:
        """Apply an endpoint list, and record how urgent its changes are."""
        self.list_urgency = max(self.list_urgency, self.directory.apply_list(event))
        self.endpoint_watch.record_list(event.kind is ListKind.RESTORED)

    def on_watch_failed(self, _: WatchFailed) -> None:
        """Schedule the next poll of the endpoint registry after a backoff."""
        self.endpoint_watch.record_poll_failure(self.now)

    def on_proxy_joined(self, event: ProxyJoined) -> None:
        """Add a proxy without a table; the state of a previous connection of this proxy is discarded.

        A controller that replaces a failed one knows no proxies yet. Their connections are still open, so the
        channel keeps what it knows of them.
        """
        if event.proxy in self.proxies:
            self._remove_proxy(event.proxy, True)
        zone = min(event.zone, self.zone_count - 1)
        proxy = Proxy(zone, event.nominal_rate, len(self.settings.traffic_groups))
        self.tables.add_proxy(event.proxy, proxy)
        self.channel.record_connection(event.proxy, event.earlier_messages)

    def on_proxy_left(self, event: ProxyLeft) -> None:
        """Remove a proxy; proxies that have not joined are ignored."""
        self._remove_proxy(event.proxy, event.is_ended_by_server)

    def _remove_proxy(self, index: int, is_ended_by_server: bool) -> None:
        self.tables.remove_proxy(index)
        self.channel.record_disconnection(index, is_ended_by_server)

    def on_load_report(self, event: LoadReport) -> None:
        """Update the estimates with what the proxies of one zone observed of an endpoint."""
        if self.report_learner.learn(self.now, event):
            self.next_solve_at = self.now + FIRST_SOLVE_DELAY

    def on_demand_report(self, event: DemandReport) -> None:
        """Add a demand report to its proxy's demand; reports of proxies that have not joined are ignored."""
        proxy = self.proxies.get(event.proxy)
        if proxy is not None:
            proxy.add_report(self.now, event)

    def on_host_load_sampled(self, event: HostLoadSampled) -> None:
        """Add a host load sample to its endpoint; the older the sample, the less it counts.

        Samples of unknown endpoints and busy shares outside 0 to 1 are ignored.
        """
        endpoint = self.endpoints.get(event.endpoint)
        if endpoint is not None and 0 <= event.busy <= 1:
            freshness = exp(-max(0, event.age) / HOST_LOAD_TIME_CONSTANT)
            endpoint.host_load.scale(self.now, 1 - NEW_SAMPLE_SHARE * freshness)
            endpoint.host_load.add(self.now, freshness, freshness * event.busy)

    def on_batch_acknowledged(self, event: BatchAcknowledged) -> None:
        """Pass an acknowledgement to flow control."""
        self.channel.record_acknowledgement(event.proxy, event.marker, event.elapsed)

    def usable_endpoints(self) -> list[Endpoint]:
        """Return the endpoints that tables may contain."""
        return self.directory.list_usable()

    def effective_weights_by_zone(self) -> list[dict[int, float]]:
        """Return the effective weight by endpoint index, for each zone; see `EffectiveWeights`."""
        return self.effective_weights.by_zone(self.now, self.proxies, self.partitions.counts)

    def demand(self) -> ZoneDemand:
        """Return the demand of each zone at the time of the current cycle."""
        return self.demand_estimator.by_zone(self.now, self.proxies)

    def plan(self, writer: CommandWriter, urgency: int, selected_tables: Collection[int] = ()) -> None:
        """Solve for spill, admission levels and tables, and write what has changed.

        Args:
            writer: The receiver of the commands.
            urgency: `ORDINARY` for the periodic solve, which also adapts the capacity estimate and sends
                changes by staged rollout. With any other urgency, tables that are in use change in place.
            selected_tables: The tables that may change in place; empty: all tables.
        """
        now = self.now
        zones = {proxy.zone for proxy in self.proxies.values()}
        self.tables.record_planned_zones(zones)
        self.slow_start.align_returning_zones(zones, self.usable_endpoints(), now)
        effective_weights = self.effective_weights_by_zone()
        demand = self.demand()
        capacity, listed_weight = self._capacity_by_zone()
        admitted_fraction = self.admission.admitted_share(
            now,
            sum(sum(zone_weights.values()) for zone_weights in effective_weights),
            sum(demand.total_rates),
            self.usable_endpoints(),
            not urgency,
        )
        admitted_demand = [requests * admitted_fraction for requests in demand.total_rates]
        self.latency_gaps.update(now)
        load_factors = self.latency_gaps.load_factors(self.miss_bound.value)
        self.spill_planner.update(now, admitted_demand, capacity, listed_weight, load_factors)
        levels = self.admission.levels(
            now, admitted_fraction * sum(demand.local_rates), self.proxies.values()
        )
        if not urgency:
            self._log_state(
                bool(levels), admitted_fraction, self.spill_planner.spilling_zones(admitted_demand), writer
            )
        if not selected_tables:
            for table in list(self.tables.lines):
                self.tables.write_levels(table, levels, writer)
        self._renew_tables(effective_weights, levels, writer, urgency, selected_tables)

    def _capacity_by_zone(self) -> tuple[list[float], list[float]]:
        """Return two lists by zone: the present capacity of the usable endpoints, and their listed weight.

        The present capacity is the listed weight, reduced by slow start and by the health score.
        """
        capacity = [0.0] * self.zone_count
        listed_weight = [0.0] * self.zone_count
        for endpoint in self.usable_endpoints():
            share = self.slow_start.capacity_share(endpoint, self.now)
            capacity[endpoint.zone] += endpoint.weight * share * endpoint.health_score(self.now)
            listed_weight[endpoint.zone] += endpoint.weight
        return capacity, listed_weight

    def _log_state(
        self, sheds_load: bool, admitted_fraction: float, spilling_zones: list[int], writer: CommandWriter
    ) -> None:
        """Log when load shedding starts or stops, or the set of spilling zones changes."""
        state = sheds_load, spilling_zones
        if state != self._logged_state:
            self._logged_state = state
            shed_percent = 100 - 100 * admitted_fraction
            writer.log(f"shedding {shed_percent:.0f}% of requests; zones spilling over 10%: {spilling_zones}")

    def _renew_tables(
        self,
        effective_weights: list[dict[int, float]],
        levels: Mapping[int, float],
        writer: CommandWriter,
        urgency: int,
        selected_tables: Collection[int],
    ) -> None:
        """Bring all tables to their planned lines, starting with the table that was written longest ago.

        The channel may have capacity for only a few tables in each of several plans. The order prevents the
        same tables from being deferred each time.
        """
        partition_demand = self.partitions.partition_demand(self.now, self.proxies)
        plans = [
            ((zone, partition), lines)
            for zone in sorted({proxy.zone for proxy in self.proxies.values()})
            for partition, lines in enumerate(
                self.planned_tables(zone, effective_weights, partition_demand[zone])
            )
            if lines
        ]
        plans.sort(key=lambda plan: self.tables.last_written_at(plan[0]))
        for partition_key, lines in plans:
            self.tables.renew(self.now, partition_key, lines, levels, writer, urgency, selected_tables)

    def planned_tables(
        self, zone: int, effective_weights: list[dict[int, float]], partition_demand: Sequence[float]
    ) -> list[dict[int, float]]:
        """Return the lines (weight by endpoint index) of a zone's tables, one table for each partition.

        Args:
            zone: The zone of the proxies that use the tables.
            effective_weights: The effective weight by endpoint index, for each zone.
            partition_demand: The requests per second of each partition of the zone.
        """
        return self.partitions.planned_tables(
            self.spill_planner.shares[zone], effective_weights, partition_demand
        )
