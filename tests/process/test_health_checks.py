"""Health checks."""

import pytest
from registry_doubles import Service

from ravenshelf.net.connection_end import ConnectionEnd
from ravenshelf.policy.events import (
    HealthCheckCompleted,
)


@pytest.fixture
def service():
    return Service()


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
def test_each_health_check_has_one_result(service, end, body, values):
    service.probes.begin(0)
    probe = service.calls[-1]
    probe.body = body
    probe.close(end)
    assert (probe.path, probe.address) == ("/_load", "127.0.0.1:9") and service.told == [
        HealthCheckCompleted(*values)
    ]


@pytest.mark.parametrize("allowed, told", [(True, [HealthCheckCompleted(7, False, 0, ())]), (False, [])])
def test_an_endpoint_without_an_address_fails_its_health_check(service, allowed, told):
    service.probes.is_allowed = allowed
    service.probes.begin(7)
    assert not service.calls and service.told == told
