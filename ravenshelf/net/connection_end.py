"""Every way in which a connection can end is one value of one type; here alone it becomes the module's outcome."""

from enum import Enum

from ravenshelf.policy.events import HealthCheckCompleted, ProxyLeft, WatchFailed


class ConnectionEnd(Enum):
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
    SUPERSEDED = "was followed by a newer one"
    CROWDED = "made room at the limit of descriptors"
    FAILED = "met a fault of ours"
    STOPPING = "the pilot stops"


STREAM, COLLECTOR, STRANGER, WATCH, FETCH, PROBE = (
    "stream",
    "collector",
    "stranger",
    "watch",
    "fetch",
    "probe",
)

OURS = (
    ConnectionEnd.UNREAD,
    ConnectionEnd.CROWDED,
    ConnectionEnd.SILENT,
    ConnectionEnd.FAILED,
)  # ends of a stream by the pilot, for a proxy that may be well


def outcome(
    purpose: str, end: ConnectionEnd
) -> type[ProxyLeft] | type[HealthCheckCompleted] | type[WatchFailed] | None:
    """The type of event that reports a connection's end, or None where the controller is told nothing."""
    if end is ConnectionEnd.STOPPING:
        return None
    if purpose == PROBE:
        return HealthCheckCompleted
    if purpose == STREAM:
        return ProxyLeft
    if end is ConnectionEnd.SUPERSEDED or (purpose == FETCH and end is ConnectionEnd.ANSWERED):
        return None
    return WatchFailed if purpose in (WATCH, FETCH) else None
