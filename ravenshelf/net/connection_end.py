"""How a connection ended, whatever it was for, and which event reports that to the controller."""

from enum import Enum

from ravenshelf.policy.events import HealthCheckCompleted, ProxyLeft, WatchFailed


class ConnectionEnd(Enum):
    """Every way in which a connection can end; the value completes "the connection ..."."""

    ANSWERED = "answered in full"
    CLOSED = "closed by the other side"
    RESET = "reset by the other side"
    REFUSED = "could not be opened"
    SILENT = "said nothing until its deadline"
    CUT_OFF = "ended before its answer was whole"
    DECLINED = "answered, but not with what was asked for"
    UNREADABLE = "brought what can't be read"
    TOO_LONG = "brought more than a message may hold"
    UNREAD = "left too much unread"
    SUPERSEDED = "was superseded by a newer one"
    NO_CAPACITY = "made room at the limit of descriptors"
    FAILED = "met a fault of ours"
    STOPPING = "the server stops"


# what a connection is for; the words appear in the log and in the names of counters
STREAM = "stream"  # of a proxy
COLLECTOR = "collector"  # of load reports
UNIDENTIFIED = "unidentified"  # accepted, and has not said yet what it is
WATCH = "watch"
FETCH = "fetch"
HEALTH_CHECK = "health check"

# ends of a stream that the server chose, though the proxy may be well
ENDS_BY_SERVER = (
    ConnectionEnd.UNREAD,
    ConnectionEnd.NO_CAPACITY,
    ConnectionEnd.SILENT,
    ConnectionEnd.FAILED,
)


def end_event_type(
    purpose: str, end: ConnectionEnd
) -> type[ProxyLeft] | type[HealthCheckCompleted] | type[WatchFailed] | None:
    """Return the type of event that reports the end, or None where the controller is told nothing."""
    if end is ConnectionEnd.STOPPING:
        return None
    if purpose == HEALTH_CHECK:
        return HealthCheckCompleted
    if purpose == STREAM:
        return ProxyLeft
    if end is ConnectionEnd.SUPERSEDED or (purpose == FETCH and end is ConnectionEnd.ANSWERED):
        return None
    return WatchFailed if purpose in (WATCH, FETCH) else None
