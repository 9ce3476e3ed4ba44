"""The event type that reports each end of a connection."""

import pytest

from ravenshelf.net.connection_end import (
    COLLECTOR,
    FETCH,
    HEALTH_CHECK,
    STREAM,
    UNIDENTIFIED,
    WATCH,
    ConnectionEnd,
    end_event_type,
)
from ravenshelf.policy.events import (
    HealthCheckCompleted,
    ProxyLeft,
    WatchFailed,
)


@pytest.mark.parametrize(
    "purpose, end, expected_type",
    [
        (STREAM, ConnectionEnd.CLOSED, ProxyLeft),
        (STREAM, ConnectionEnd.RESET, ProxyLeft),
        (STREAM, ConnectionEnd.UNREADABLE, ProxyLeft),
        (STREAM, ConnectionEnd.UNREAD, ProxyLeft),
        (STREAM, ConnectionEnd.TOO_LONG, ProxyLeft),
        (STREAM, ConnectionEnd.STOPPING, None),
        (COLLECTOR, ConnectionEnd.RESET, None),
        (UNIDENTIFIED, ConnectionEnd.SILENT, None),
        (WATCH, ConnectionEnd.SUPERSEDED, None),
        (WATCH, ConnectionEnd.STOPPING, None),
        (FETCH, ConnectionEnd.ANSWERED, None),
        (HEALTH_CHECK, ConnectionEnd.STOPPING, None),
        *[
            (purpose, end, WatchFailed)
            for purpose in (WATCH, FETCH)
            for end in (
                ConnectionEnd.CLOSED,
                ConnectionEnd.RESET,
                ConnectionEnd.REFUSED,
                ConnectionEnd.SILENT,
                ConnectionEnd.CUT_OFF,
                ConnectionEnd.DECLINED,
                ConnectionEnd.UNREADABLE,
                ConnectionEnd.TOO_LONG,
            )
        ],
        *[
            (HEALTH_CHECK, end, HealthCheckCompleted)
            for end in ConnectionEnd
            if end is not ConnectionEnd.STOPPING
        ],
    ],
)
def test_each_connection_end_is_reported_by_its_event_type(purpose, end, expected_type):
    assert end_event_type(purpose, end) is expected_type
