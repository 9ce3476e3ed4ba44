"""What each deadline of the control-plane server is for; optional parts use tuples of their own as keys."""

from enum import Enum
from typing import NamedTuple

from ravenshelf.net.accepted import AcceptedConnection
from ravenshelf.net.http import HttpCall


class ServerDeadline(Enum):
    """Deadlines of which the server has one each."""

    CONTROL_CYCLE = "control cycle"
    WATCH = "watch"  # a watch of the endpoint registry is due
    RELOAD = "reload"  # the configuration is read once more
    COUNTERS = "counters"  # they are printed


class ControllerTimer(NamedTuple):
    """A timer that the controller started: when it expires, and the controller's key."""

    at: int
    key: str


class CallTimeout(NamedTuple):
    """The end of a silent outgoing call; the call itself, for its slot may be another's by then."""

    call: HttpCall


class ConnectionTimeout(NamedTuple):
    """The end of an accepted connection that says nothing."""

    connection: AcceptedConnection
