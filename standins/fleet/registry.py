"""The simulated endpoint registry: one queue of polls for all servers."""

from collections import deque

from ravenshelf.policy.events import ListKind, WatchFailed
from standins.fleet.clock import SECOND, TICK
from standins.fleet.interfaces import WatchedFleet, Watcher


class SimulatedRegistry:
    """Answers polls in turn. A poll that waited longer than `patience` fails, and while the registry is down
    all fail."""

    def __init__(self, world: WatchedFleet, polls_per_second: float, patience: int = 2 * SECOND):
        """`polls_per_second`: its capacity; `patience`: microseconds."""
        self.world = world
        self.poll_duration = round(SECOND / polls_per_second)
        self.patience = patience
        self.queue: deque[tuple[int, Watcher]] = deque()
        self.free_at = 0
        self.down = False
        self.polls: list[tuple[int, int, str]] = []  # time, number of the server, result

    def poll(self, server: Watcher) -> None:
        """Queue a server's poll, unless it has one queued."""
        if not server.poll_pending:
            server.poll_pending = True
            self.queue.append((self.world.now, server))

    def go_down(self) -> None:
        """Go down: all watches fail."""
        self.down = True
        for server in self.world.living_servers():
            if server.watching:
                server.watching = False
                server.receive(WatchFailed())

    def run_due(self, now: int) -> None:
        """Answer the polls that are due."""
        while self.queue and (self.down or self.free_at <= now):
            at, server = self.queue.popleft()
            failed = self.down or now - at > self.patience
            self.polls.append((at, server.number, "failed" if failed else "answered"))
            server.poll_pending = False
            if not self.down:  # a poll that has waited too long takes its time as well
                was_busy = self.free_at > now - TICK  # several polls fit in a tick
                self.free_at = (self.free_at if was_busy else now) + self.poll_duration
            if failed:
                server.receive(WatchFailed())
            else:
                server.watching = True
                server.receive(server.take(ListKind.REPLACE))

    def max_polls(self, span: int = SECOND // 4) -> int:
        """Return the largest number of polls within a span."""
        times = sorted(at for at, _, _ in self.polls)
        return max((sum(at <= t < at + span for t in times) for at in times), default=0)
