"""Health checks of endpoints: their requests and results."""

import pytest
from registry_doubles import RegistryClientDriver

from ravenshelf.net.connection_end import ConnectionEnd
from ravenshelf.policy.events import (
    HealthCheckCompleted,
)


@pytest.fixture
def driver():
    return RegistryClientDriver()


@pytest.mark.parametrize(
    "end, body, values",
    [
        (ConnectionEnd.ANSWERED, b"inflight=7,queue=2", (0, True, 0, (7.0,))),
        (ConnectionEnd.ANSWERED, b"queue=2", (0, True, 0, ())),
        (ConnectionEnd.DECLINED, b"inflight=7", (0, False, 0, ())),
        (ConnectionEnd.REFUSED, b"", (0, False, 0, ())),
        (ConnectionEnd.SILENT, b"", (0, False, 0, ())),
    ],
)
def test_each_health_check_has_one_result(driver, end, body, values):
    driver.health_checks.begin(0)
    call = driver.calls[-1]
    call.body = body
    call.close(end)
    assert (call.path, call.address) == ("/_load", "127.0.0.1:9") and driver.events == [
        HealthCheckCompleted(*values)
    ]


@pytest.mark.parametrize(
    "are_checks_allowed, events", [(True, [HealthCheckCompleted(7, False, 0, ())]), (False, [])]
)
def test_an_endpoint_without_an_address_fails_its_health_check(driver, are_checks_allowed, events):
    driver.health_checks.is_allowed = are_checks_allowed
    driver.health_checks.begin(7)
    assert not driver.calls and driver.events == events
