"""Computation of metrics from events and messages."""

import pytest

from ravenshelf.graphite.collector import MetricsCollector
from ravenshelf.policy.events import (
    BatchAcknowledged,
    DemandReport,
    EndpointsListed,
    EndpointState,
    ListedEndpoint,
    ListKind,
    LoadReport,
    ProxyJoined,
    ProxyLeft,
)
from ravenshelf.settings import Settings, TrafficGroup
from ravenshelf.state.table_update import TableUpdate
from ravenshelf.time_units import SECOND

SETTINGS = Settings(
    zones=("a", "b"),
    traffic_groups=(
        TrafficGroup("read", 1.0, latency_objective_us=100_000),
        TrafficGroup("pay", 5.0, latency_objective_us=400_000),
    ),
)


class CollectorHarness:
    """Collector that has observed four ready endpoints in two zones and a proxy in each zone."""

    def __init__(self):
        self.now, self.collector = 0, MetricsCollector(SETTINGS, "p", 0)
        self.observe(
            EndpointsListed(
                ListKind.RESTORED,
                tuple(
                    ListedEndpoint(endpoint, endpoint // 2, 0, 0, EndpointState.READY, 1.0, 0)
                    for endpoint in range(4)
                ),
            )
        )
        for proxy in (0, 1):
            self.observe(ProxyJoined(proxy, proxy, 10.0, True))

    def observe(self, event):
        self.collector.on_event(event, self.now)

    def end_interval(self, seconds=10):
        self.now += seconds * SECOND
        points = {}
        for _ in self.collector.close_interval(
            self.now, None, (), lambda importance, new_points: points.update(new_points)
        ):
            pass
        return {path[2:]: value for path, value in points.items()}


@pytest.fixture
def harness():
    return CollectorHarness()


def test_requests_within_the_objective_are_estimated_by_the_documented_formula(harness):
    harness.observe(LoadReport(0, 0, 100, 0, 100_000, SECOND, ()))
    harness.observe(DemandReport(0, 0, 200, 20, 5 * SECOND))
    harness.observe(DemandReport(0, 1, 50, 0, 5 * SECOND))
    points = harness.end_interval()
    assert points["group.read.demand_per_s"] == 20 and points["group.read.failed_per_s"] == 2
    assert points["group.read.succeeded_per_s"] == 18
    assert points["group.read.within_objective_per_s"] == pytest.approx(18 * (1 - 2.718281828**-1))
    assert points["group.pay.weighted_goodput_per_s"] == pytest.approx(5 * 5 * (1 - 2.718281828**-4))
    assert points["reports.received_per_s"] == 0.3 and points["reports.age_ms.max"] == pytest.approx(
        2500, rel=0.02
    )
    next_points = harness.end_interval()
    # Without reports a distribution has no point, rather than a point with the value 0.
    assert next_points["group.read.demand_per_s"] == 0 and "reports.age_ms.max" not in next_points


def test_requests_above_the_admission_level_count_as_rejected(harness):
    harness.collector.admission_level = lambda proxy, group: {0: 30.0, 1: 1e6}[group]
    harness.observe(DemandReport(0, 0, 200, 0, 5 * SECOND))
    harness.observe(DemandReport(0, 1, 200, 0, 5 * SECOND))
    points = harness.end_interval()
    assert points["group.read.rejected_per_s"] == 5 and points["group.pay.rejected_per_s"] == 0
    assert points["group.read.succeeded_per_s"] == 15


def test_a_drain_lasts_until_the_last_proxy_has_acknowledged(harness):
    harness.observe(
        EndpointsListed(ListKind.UPDATE, (ListedEndpoint(1, 0, 0, 0, EndpointState.DRAINING, 1.0, 0),))
    )
    harness.collector.on_message(0, [TableUpdate(ejected_endpoints=[1])], 7)
    harness.collector.on_message(1, [TableUpdate(ejected_endpoints=[1])], 7)
    harness.now += 200_000
    harness.observe(BatchAcknowledged(0, 7, 100))
    points = harness.end_interval(0)
    assert (points["drains.started"], points["drains.pending"]) == (
        1,
        1,
    ) and "drains.duration_ms.max" not in points
    harness.now += 300_000
    harness.observe(BatchAcknowledged(1, 7, 100))
    points = harness.end_interval(0)
    assert points["drains.pending"] == 0 and points["drains.duration_ms.max"] == pytest.approx(500, rel=0.02)


def test_a_drain_that_ends_because_a_proxy_left_or_the_endpoint_is_ready_has_no_duration(harness):
    harness.observe(
        EndpointsListed(
            ListKind.UPDATE,
            (
                ListedEndpoint(1, 0, 0, 0, EndpointState.DRAINING, 1.0, 0),
                ListedEndpoint(2, 1, 0, 0, EndpointState.GONE, 1.0, 0),
            ),
        )
    )
    harness.collector.on_message(0, [TableUpdate(ejected_endpoints=[1, 2])], 7)
    # The server closed this connection itself. The controller receives the event in this case too, and the
    # metrics are the same.
    harness.observe(ProxyLeft(0, True))
    harness.collector.on_message(1, [TableUpdate(ejected_endpoints=[1])], 8)
    harness.observe(
        EndpointsListed(ListKind.UPDATE, (ListedEndpoint(1, 0, 0, 0, EndpointState.READY, 1.0, 0),))
    )
    points = harness.end_interval()
    assert points["drains.pending"] == 0 and "drains.duration_ms.max" not in points
    assert points["endpoints.ready"] == 3 and points["endpoints.draining"] == 0
