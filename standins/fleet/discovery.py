"""The discovery service: one queue of calls for all pilots."""

from collections import deque
from typing import TYPE_CHECKING

from ravenshelf.policy.events import ListKind, WatchFailed
from standins.fleet.clock import SECOND, TICK

if TYPE_CHECKING:
    from standins.fleet.pilots import Pilot
    from standins.fleet.simulation import Simulation


class Discovery:
    """Works through calls in turn; one that waited too long has failed, and while it is down all fail at once."""

    def __init__(self, world: "Simulation", a_second: float, patience: int = 2 * SECOND):
        self.world, self.each, self.patience = world, round(SECOND / a_second), patience
        self.queue: deque[tuple[int, Pilot]] = deque()
        self.free, self.down = 0, False
        self.calls: list[tuple[int, int, str]] = []  # when, by whom, and what came of it

    def call(self, pilot: "Pilot") -> None:
        if not pilot.called:
            pilot.called = True
            self.queue.append((self.world.now, pilot))

    def fall(self) -> None:
        """Goes down: watches end with it."""
        self.down = True
        for pilot in self.world.living():
            if pilot.watching:
                pilot.watching = False
                pilot.hear(WatchFailed())

    def turn(self, now: int) -> None:
        while self.queue and (self.down or self.free <= now):
            at, pilot = self.queue.popleft()
            failed = self.down or now - at > self.patience
            self.calls.append((at, pilot.number, "failed" if failed else "answered"))
            pilot.called = False
            if not self.down:  # a call that has waited too long costs its turn as well
                self.free = (
                    self.free if self.free > now - TICK else now
                ) + self.each  # several calls fit in a tick
            if failed:
                pilot.hear(WatchFailed())
            else:
                pilot.watching = True
                pilot.hear(pilot.take(ListKind.REPLACE))

    def most(self, span: int = SECOND // 4) -> int:
        """Most calls that came within a span."""
        times = sorted(at for at, _, _ in self.calls)
        return max((sum(at <= t < at + span for t in times) for at in times), default=0)
