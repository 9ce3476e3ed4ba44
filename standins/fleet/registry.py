"""The simulated endpoint registry, with one queue for the polls of all servers."""

from collections import deque

from ravenshelf.policy.events import ListKind, WatchFailed
from standins.fleet.clock import SECOND, TICK
from standins.fleet.interfaces import WatchedFleet, Watcher


class SimulatedRegistry:
    """Answers polls in turn, at a limited rate.

    A poll that waited longer than `max_wait` fails. During an outage all polls fail.
    """

    def __init__(self, fleet: WatchedFleet, polls_per_second: float, max_wait: int = 2 * SECOND):
        """Create a registry without polls.

        Args:
            fleet: The fleet whose servers poll the registry.
            polls_per_second: The number of polls that it can answer a second.
            max_wait: The longest wait of a poll that is still answered, in microseconds.
        """
        self.fleet = fleet
        self.poll_duration = round(SECOND / polls_per_second)
        self.max_wait = max_wait
        self.queue: deque[tuple[int, Watcher]] = deque()
        self.free_at = 0
        self.is_down = False
        # The time in microseconds, the number of the server, and the result of each poll.
        self.polls: list[tuple[int, int, str]] = []

    def poll(self, server: Watcher) -> None:
        """Queue a poll of a server, unless it already has one in the queue."""
        if not server.has_pending_poll:
            server.has_pending_poll = True
            self.queue.append((self.fleet.now, server))

    def start_outage(self) -> None:
        """Start an outage, which ends all watches."""
        self.is_down = True
        for server in self.fleet.running_servers():
            if server.is_watching:
                server.is_watching = False
                server.receive(WatchFailed())

    def run_due(self, now: int) -> None:
        """Answer the polls that are due."""
        while self.queue and (self.is_down or self.free_at <= now):
            queued_at, server = self.queue.popleft()
            has_failed = self.is_down or now - queued_at > self.max_wait
            self.polls.append((queued_at, server.number, "failed" if has_failed else "answered"))
            server.has_pending_poll = False
            if not self.is_down:  # A poll that fails after a long wait occupies the registry as well.
                was_busy = self.free_at > now - TICK  # The registry can answer several polls within a tick.
                self.free_at = (self.free_at if was_busy else now) + self.poll_duration
            if has_failed:
                server.receive(WatchFailed())
            else:
                server.is_watching = True
                server.receive(server.read_list(ListKind.REPLACE))

    def max_polls(self, window: int = SECOND // 4) -> int:
        """Return the largest number of polls that arrived within a window of this many microseconds."""
        arrivals = sorted(queued_at for queued_at, _, _ in self.polls)
        return max(
            (sum(start <= arrival < start + window for arrival in arrivals) for start in arrivals), default=0
        )
