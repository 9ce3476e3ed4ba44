"""When to connect to a receiver, when to give a connection up, and when its share fails over.

No I/O; the clock is passed in, times are microseconds.
"""

import enum
import random
from collections import deque

SECOND = 1_000_000  # microseconds
CONNECT_TIMEOUT = 3 * SECOND
STALLED_AFTER = 5 * SECOND  # of a batch that the system does not take
STALL_TIMEOUT = 15 * SECOND
BACKOFF_MIN = SECOND // 2
BACKOFF_MAX = 60 * SECOND
MAX_CONNECTS = 10  # in CONNECTS_WINDOW
CONNECTS_WINDOW = 60 * SECOND
FAIL_OVER_AFTER = 10 * SECOND  # without a connection
RECOVERED_AFTER = 20 * SECOND  # with a connection; also how long one must last for the backoff to start over
MAX_DOUBLINGS = 20


class ReceiverState(enum.Enum):
    """The state of the connection to a receiver."""

    BACKING_OFF = "backing off"
    CONNECTING = "connecting"
    CONNECTED = "connected"
    STALLED = "stalled"


class ConnectionAction(enum.Enum):
    """What the exporter has to do now."""

    CONNECT = "connect"
    REPORT_STALL = "report stall"
    DISCONNECT = "disconnect"


class ReceiverConnectionPolicy:
    """The state of one receiver's connection; the exporter does what `next_action` returns and tells the
    outcome."""

    def __init__(self, now: int, random_source: random.Random) -> None:
        self.random_source = random_source
        self.state = ReceiverState.BACKING_OFF
        self.state_since = now
        self.state_until = now  # without meaning while connected
        self.failures = 0  # in a row
        self.connects: deque[int] = deque(maxlen=MAX_CONNECTS)  # times of the latest
        self.unwritten_since: int | None = None  # since when a batch has waited for the system to take it
        self.last_connected_at = now
        self.failed_over = False

    def next_action_at(self) -> int | None:
        """Return when `next_action` is to be called again, if nothing happens before."""
        if self.state is not ReceiverState.CONNECTED:
            return self.state_until
        return None if self.unwritten_since is None else self.unwritten_since + STALLED_AFTER

    def next_action(self, now: int) -> ConnectionAction | None:
        """Return what is to be done now, if anything."""
        due_at = self.next_action_at()
        if due_at is None or now < due_at:
            return None
        if self.state is ReceiverState.BACKING_OFF:
            self._enter(ReceiverState.CONNECTING, now)
            self.state_until = now + CONNECT_TIMEOUT
            self.connects.append(now)
            return ConnectionAction.CONNECT
        if self.state is ReceiverState.CONNECTED and self.unwritten_since is not None:
            self._enter(ReceiverState.STALLED, now)
            self.state_until = self.unwritten_since + STALL_TIMEOUT
            return ConnectionAction.REPORT_STALL
        return ConnectionAction.DISCONNECT

    def _enter(self, state: ReceiverState, now: int) -> None:
        if self.state is ReceiverState.CONNECTED:
            self.last_connected_at = now
        self.state = state
        self.state_since = now

    def connected(self, now: int) -> None:
        """A connection is open."""
        self._enter(ReceiverState.CONNECTED, now)
        self.unwritten_since = None

    def batch_written(self, now: int) -> None:
        """A batch was given to the system; the limit counts from the oldest that it has not taken."""
        if self.unwritten_since is None:
            self.unwritten_since = now

    def unwritten_for(self, now: int) -> int:
        """Return for how long a batch has waited for the system to take it."""
        return 0 if self.unwritten_since is None else now - self.unwritten_since

    def all_taken(self, now: int) -> None:
        """The system has taken every batch; a stalled connection works again."""
        self.unwritten_since = None
        if self.state is ReceiverState.STALLED:
            self._enter(ReceiverState.CONNECTED, now)

    def failed(self, now: int) -> None:
        """The connection ended, or none was opened: backs off, with full jitter up to a bound that
        doubles."""
        if self.state is ReceiverState.CONNECTED and now - self.state_since >= RECOVERED_AFTER:
            self.failures = 0  # not on connect: a receiver that accepts and resets would get no backoff
        self._enter(ReceiverState.BACKING_OFF, now)
        backoff_bound = min(BACKOFF_MAX, BACKOFF_MIN << min(self.failures, MAX_DOUBLINGS))
        backoff = BACKOFF_MIN // 2 + round(self.random_source.random() * backoff_bound)
        self.state_until = now + backoff
        if len(self.connects) == MAX_CONNECTS:
            self.state_until = max(self.state_until, self.connects[0] + CONNECTS_WINDOW)
        self.failures += 1
        self.unwritten_since = None

    def holds_share(self, now: int) -> bool:
        """Return whether the receiver gets its own share of the metrics.

        It fails over late and recovers later still: otherwise the points of a metric would alternate between
        receivers while a connection flaps.
        """
        is_connected = self.state is ReceiverState.CONNECTED
        if self.failed_over:
            self.failed_over = not (is_connected and now - self.state_since >= RECOVERED_AFTER)
        else:
            self.failed_over = not is_connected and now - self.last_connected_at >= FAIL_OVER_AFTER
        return not self.failed_over
