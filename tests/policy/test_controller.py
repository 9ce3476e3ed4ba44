"""The controller with all its components."""

import pytest
from conftest import busy_fleet, endpoint_list, load_report

from ravenshelf.policy.events import (
    BatchAcknowledged,
    DemandReport,
    HealthCheckCompleted,
    PeerMessageReceived,
    ProxyJoined,
    ProxyLeft,
    SliceAssigned,
    SliceDemandReport,
    SliceWeightStored,
    TimerExpired,
    WatchFailed,
)
from ravenshelf.settings import TelemetrySettings
from ravenshelf.time_units import SECOND


@pytest.mark.parametrize(
    "event",
    [
        ProxyJoined(0, 0, 1.0, True),
        ProxyLeft(77),
        load_report(0, 99),
        load_report(0, 0, attempts=0),
        load_report(0, 0, latency=0),
        load_report(0, 0, attempts=2, failures=9),
        load_report(1, 0, load=()),
        DemandReport(77, 0, 1, 0, SECOND),
        DemandReport(0, 9, 1, 0, SECOND),
        DemandReport(0, 0, 5, 0, 0),
        BatchAcknowledged(0, 4321, 10),
        WatchFailed(),
        endpoint_list(""),
        endpoint_list("dddd"),
        endpoint_list("rrrr", start=10**12),
        TimerExpired("other"),
        HealthCheckCompleted(0, False, 5, ()),
        PeerMessageReceived(1, b"x"),
        SliceAssigned(1, True),
        SliceWeightStored(1, 0, 1.0),
        SliceDemandReport(1, 0, 1, 0, SECOND),
    ],
    ids=lambda event: type(event).__name__,
)
def test_unusual_valid_events_leave_every_proxy_bound(drive, event):
    driver = drive()
    driver.send(event, event)
    driver.run(
        12, lambda second: [load_report(zone, 2 * zone + number) for zone in (0, 1) for number in (0, 1)]
    )
    driver.send(endpoint_list())
    assert (
        sorted(driver.writer.bound) == [0, 1, 2, 3]
        and not driver.writer.emptied_tables
        and not driver.writer.ejected
    )


@pytest.mark.parametrize(
    "changes",
    [
        {"zones": ("only",)},
        {"zones": (), "traffic_groups": ()},
        {"service": {}, "warm_up": {}},
        {"weight_kind": "none"},
        {"service": {"proxies_join_by_zone": False, "messages_per_proxy_limit": 12}},
        {"telemetry": TelemetrySettings(source="answers")},
        {"telemetry": TelemetrySettings()},
    ],
)
def test_other_settings_leave_every_proxy_bound(drive, changes):
    driver = drive(**changes)
    driver.run(30, busy_fleet)
    assert sorted(driver.writer.bound) == [0, 1, 2, 3] and not driver.writer.emptied_tables


def test_the_same_events_lead_to_the_same_commands(drive):
    runs = []
    for _ in range(2):
        driver = drive()
        driver.run(20, busy_fleet)
        runs.append((driver.writer.tables, driver.writer.levels, driver.writer.bound, driver.writer.calls))
    assert runs[0] == runs[1]
