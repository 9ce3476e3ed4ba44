"""Every way in which a connection can end is one value of one type; here alone it becomes the module's outcome."""

from enum import Enum


class End(Enum):
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
    End.UNREAD,
    End.CROWDED,
    End.SILENT,
    End.FAILED,
)  # ends of a stream by the pilot, for a proxy that may be well


def outcome(purpose: str, end: End) -> str | None:
    """The call by which the module hears of the end of a connection, or None where it hears nothing."""
    if end is End.STOPPING:
        return None
    if purpose == PROBE:
        return "probed"
    if purpose == STREAM:
        return "left"
    if end is End.SUPERSEDED or (purpose == FETCH and end is End.ANSWERED):
        return None
    return "list_failed" if purpose in (WATCH, FETCH) else None
