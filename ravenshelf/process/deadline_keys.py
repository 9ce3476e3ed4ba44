"""Keys of the control-plane server's deadlines; optional features use tuples of their own as keys."""

from enum import Enum
from typing import NamedTuple

from ravenshelf.net.accepted import AcceptedConnection
from ravenshelf.net.http import HttpCall


class ServerDeadline(Enum):
    """Keys of the deadlines of which the server has at most one each.

    The comments say what the server does when the deadline expires.
    """

    CONTROL_CYCLE = "control cycle"  # The server runs the next control cycle.
    WATCH = "watch"  # The server opens a watch of the endpoint registry if one is required.
    REDIAL = "redial"  # The server opens a watch beside one that is silent or has not answered.
    RELOAD = "reload"  # The server reads the configuration file again, because it was not valid.
    COUNTERS = "counters"  # The server logs the counters.


class ControllerTimer(NamedTuple):
    """Key of a timer that the controller started.

    Attributes:
        at: The time in microseconds at which it expires.
        key: The controller's own key of the timer.
    """

    at: int
    key: str


class CallTimeout(NamedTuple):
    """Key of the deadline at which a silent outgoing call is closed.

    It holds the call and not its slot number, because the slot may belong to another call by then.
    """

    call: HttpCall


class ConnectionTimeout(NamedTuple):
    """Key of the deadline at which a silent accepted connection is closed."""

    connection: AcceptedConnection
