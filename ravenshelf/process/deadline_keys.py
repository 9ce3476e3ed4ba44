"""Keys of the control-plane server's deadlines; optional features use tuples of their own as keys."""

from enum import Enum
from typing import NamedTuple

from ravenshelf.net.accepted import AcceptedConnection
from ravenshelf.net.http import HttpCall


class ServerDeadline(Enum):
    """Keys of the deadlines of which the server has at most one each."""

    CONTROL_CYCLE = "control cycle"
    WATCH = "watch"  # a new watch of the endpoint registry is opened
    RELOAD = "reload"  # a configuration file that could not be used is read again
    COUNTERS = "counters"  # the counters are logged


class ControllerTimer(NamedTuple):
    """Key of a timer that the controller started: when it expires, and the controller's own key."""

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
