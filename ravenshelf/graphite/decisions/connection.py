"""Policy of one receiver's connection: connect, disconnect, back off and fail over.

Nothing here performs I/O. The caller passes in the time; all times are microseconds.
"""

import enum
import random
from collections import deque

from ravenshelf.time_units import SECOND

CONNECT_TIMEOUT = 3 * SECOND
# Age of the oldest unflushed batch at which a connection counts as stalled.
STALLED_AFTER = 5 * SECOND
# Age of the oldest unflushed batch at which a stalled connection is closed.
STALL_TIMEOUT = 15 * SECOND
BACKOFF_MIN = SECOND // 2
BACKOFF_MAX = 60 * SECOND
MAX_CONNECTS = 10  # Maximum number of connection attempts per CONNECTS_WINDOW.
CONNECTS_WINDOW = 60 * SECOND
FAIL_OVER_AFTER = 10 * SECOND  # Time without a connection after which the receiver's share fails over.
# Duration of a connection after which the receiver gets its share back. The backoff starts over only after a
# connection that lasted this long.
RECOVERED_AFTER = 20 * SECOND
MAX_DOUBLINGS = 20  # Maximum number of times that the backoff doubles.


class ReceiverState(enum.Enum):
    """State of the connection to a receiver."""

    BACKING_OFF = "backing off"
    CONNECTING = "connecting"
    CONNECTED = "connected"
    STALLED = "stalled"


class ConnectionAction(enum.Enum):
    """Action that the policy requests from the exporter."""

    CONNECT = "connect"
    REPORT_STALL = "report stall"
    DISCONNECT = "disconnect"


class ReceiverConnectionPolicy:
    """State machine of one receiver's connection.

    The exporter carries out the actions that `next_action` returns and reports their outcome with the `mark_`
    methods. A batch is flushed when the kernel's socket buffer has accepted all of its bytes.
    """

    def __init__(self, now: int, random_source: random.Random) -> None:
        self.random_source = random_source
        self.state = ReceiverState.BACKING_OFF
        self.state_since = now
        self.state_until = now  # Time at which the state ends; unused in the state CONNECTED.
        self.consecutive_failures = 0
        # Times of the latest connection attempts.
        self.connect_times: deque[int] = deque(maxlen=MAX_CONNECTS)
        # Time at which the oldest unflushed batch was written; None if there is none.
        self.unflushed_since: int | None = None
        self.last_connected_at = now
        self.is_failed_over = False

    def next_action_at(self) -> int | None:
        """Return the time at which `next_action` must be called, unless an outcome is reported before.

        None means that no action is pending.
        """
        if self.state is not ReceiverState.CONNECTED:
            return self.state_until
        return None if self.unflushed_since is None else self.unflushed_since + STALLED_AFTER

    def next_action(self, now: int) -> ConnectionAction | None:
        """Return the action that is due at `now` and enter the state that follows, or return None."""
        due_at = self.next_action_at()
        if due_at is None or now < due_at:
            return None
        if self.state is ReceiverState.BACKING_OFF:
            self._enter(ReceiverState.CONNECTING, now)
            self.state_until = now + CONNECT_TIMEOUT
            self.connect_times.append(now)
            return ConnectionAction.CONNECT
        if self.state is ReceiverState.CONNECTED and self.unflushed_since is not None:
            self._enter(ReceiverState.STALLED, now)
            self.state_until = self.unflushed_since + STALL_TIMEOUT
            return ConnectionAction.REPORT_STALL
        return ConnectionAction.DISCONNECT

    def _enter(self, state: ReceiverState, now: int) -> None:
        if self.state is ReceiverState.CONNECTED:
            self.last_connected_at = now
        self.state = state
        self.state_since = now

    def mark_connected(self, now: int) -> None:
        """Record that a connection was opened."""
        self._enter(ReceiverState.CONNECTED, now)
        self.unflushed_since = None

    def mark_batch_written(self, now: int) -> None:
        """Record that a batch is about to be written to the socket.

        The stall limits count from the oldest unflushed batch; later batches do not extend them.
        """
        if self.unflushed_since is None:
            self.unflushed_since = now

    def unflushed_duration(self, now: int) -> int:
        """Return how long the oldest unflushed batch has waited, in microseconds; 0 if there is none."""
        return 0 if self.unflushed_since is None else now - self.unflushed_since

    def mark_flushed(self, now: int) -> None:
        """Record that every batch was flushed; a stalled connection returns to the state CONNECTED."""
        self.unflushed_since = None
        if self.state is ReceiverState.STALLED:
            self._enter(ReceiverState.CONNECTED, now)

    def mark_failed(self, now: int) -> None:
        """Record that the connection ended or could not be opened, and start the backoff.

        The backoff is half of BACKOFF_MIN plus a random share (full jitter) of a bound that doubles with each
        failure, up to BACKOFF_MAX. It is extended if MAX_CONNECTS attempts fell within CONNECTS_WINDOW.
        """
        # The counter is not reset on connect: a receiver that accepts and then resets connections would be
        # retried without backoff.
        if self.state is ReceiverState.CONNECTED and now - self.state_since >= RECOVERED_AFTER:
            self.consecutive_failures = 0
        self._enter(ReceiverState.BACKING_OFF, now)
        backoff_bound = min(BACKOFF_MAX, BACKOFF_MIN << min(self.consecutive_failures, MAX_DOUBLINGS))
        backoff = BACKOFF_MIN // 2 + round(self.random_source.random() * backoff_bound)
        self.state_until = now + backoff
        if len(self.connect_times) == MAX_CONNECTS:
            self.state_until = max(self.state_until, self.connect_times[0] + CONNECTS_WINDOW)
        self.consecutive_failures += 1
        self.unflushed_since = None

    def has_share(self, now: int) -> bool:
        """Return whether the receiver's share of the metrics is routed to the receiver itself.

        The share fails over only after FAIL_OVER_AFTER without a connection and returns only after
        RECOVERED_AFTER with one: otherwise the points of a metric would alternate between receivers while a
        connection flaps.
        """
        is_connected = self.state is ReceiverState.CONNECTED
        if self.is_failed_over:
            self.is_failed_over = not (is_connected and now - self.state_since >= RECOVERED_AFTER)
        else:
            self.is_failed_over = not is_connected and now - self.last_connected_at >= FAIL_OVER_AFTER
        return not self.is_failed_over
