"""The ways in which a connection can end, and the events that report them to the controller."""

from enum import Enum

from ravenshelf.policy.events import HealthCheckCompleted, ProxyLeft, WatchFailed


class ConnectionEnd(Enum):
    """How a connection ended; the value is a description for the log that continues "the connection ..."."""

    ANSWERED = "answered in full"
    CLOSED = "closed by the other side"
    RESET = "reset by the other side"
    REFUSED = "could not be opened"
    UNREACHABLE = "could not be opened, because the other side was not reached"
    SILENT = "sent nothing before its deadline"
    CUT_OFF = "ended before its response was complete"
    DECLINED = "answered, but not with what was requested"
    UNREADABLE = "sent data that can't be decoded"
    TOO_LONG = "sent more than a message may contain"
    UNREAD = "left too much data unread"
    SUPERSEDED = "was superseded by a newer one"
    NO_CAPACITY = "was closed at the limit of descriptors"
    OUT_OF_MEMORY = "was closed at the limit of memory for incomplete messages"
    FAILED = "failed because of an internal error"
    STOPPING = "was closed because the server stops"


# Purposes of connections. The words appear in the log and in the names of counters.
STREAM = "stream"  # a proxy's stream of messages
COLLECTOR = "collector"  # a connection that sends load reports
UNIDENTIFIED = "unidentified"  # an accepted connection that has not identified itself yet
WATCH = "watch"
FETCH = "fetch"
HEALTH_CHECK = "health check"

# If a stream ended in one of these ways, this server ended it, and the proxy may be healthy.
ENDS_BY_SERVER = (
    ConnectionEnd.UNREAD,
    ConnectionEnd.NO_CAPACITY,
    ConnectionEnd.OUT_OF_MEMORY,
    ConnectionEnd.SILENT,
    ConnectionEnd.FAILED,
)


def end_event_type(
    purpose: str, end: ConnectionEnd
) -> type[ProxyLeft] | type[HealthCheckCompleted] | type[WatchFailed] | None:
    """Return the type of the event that reports a connection's end to the controller.

    Args:
        purpose: Purpose of the connection, such as STREAM.
        end: How the connection ended.

    Returns:
        The type of the event, or None if the end is not reported.
    """
    if end is ConnectionEnd.STOPPING:
        return None
    if purpose == HEALTH_CHECK:
        return HealthCheckCompleted
    if purpose == STREAM:
        return ProxyLeft
    if end is ConnectionEnd.SUPERSEDED or (purpose == FETCH and end is ConnectionEnd.ANSWERED):
        return None
    return WatchFailed if purpose in (WATCH, FETCH) else None
