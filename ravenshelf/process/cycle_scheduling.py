"""When control cycles run, and what becomes of their commands."""

import time
from collections.abc import Callable

from ravenshelf.policy import commands
from ravenshelf.process.control_cycle import ControlCycle
from ravenshelf.process.deadline_keys import ServerDeadline
from ravenshelf.process.timers import Timers
from ravenshelf.state.counters import Counters

RETRY_DELAY_US = (
    250_000  # after a cycle whose controller failed: a failure at every start must not fill a core
)


class CycleScheduler:
    """Runs a control cycle a tick after the last one, as soon as there are events.

    `write(proxy, message, marker)` puts a message on a proxy's stream; `execute` carries out other commands.
    """

    def __init__(
        self,
        control_cycle: ControlCycle,
        timers: Timers,
        clock: Callable[[], int],
        counters: Counters,
        tick_us: int,
        write: Callable[[int, bytes, int | None], None],
        execute: Callable[[commands.Command], None],
    ):
        self.control_cycle = control_cycle
        self.timers = timers
        self.clock = clock
        self.counters = counters
        self.tick_us = tick_us
        self.write = write
        self.execute = execute
        self.is_started = False
        self.is_stopping = False  # commands are not carried out any more
        self.last_cycle_at = 0
        self.due_at = 0
        self.connections_accepted = 0  # until the last cycle

    def start(self) -> None:
        """Give the controller the restored list and run the first cycle."""
        self.control_cycle.begin()
        self.is_started = True
        self.due_at = self.clock()
        self.run_cycle()

    def request(self) -> None:
        """Have a cycle run, a tick after the last one at the earliest."""
        if self.is_started and ServerDeadline.CONTROL_CYCLE not in self.timers.deadlines:
            self.due_at = max(self.clock(), self.last_cycle_at + self.tick_us)
            self.timers.set(ServerDeadline.CONTROL_CYCLE, self.due_at)

    def is_due(self) -> bool:
        """Return whether events wait for a cycle whose time has come."""
        at = self.timers.deadlines.time_of(ServerDeadline.CONTROL_CYCLE)
        return at is not None and at <= self.clock()

    def run_cycle(self) -> None:
        """Hand all events to the controller, write its messages and carry out its other commands."""
        now = self.clock()
        lateness_us = now - self.due_at
        self.counters.record_maximum("loop_lag_max_us", lateness_us)
        self.last_cycle_at = now
        began = time.perf_counter_ns()
        ordered = self.control_cycle.run(now, self.write)
        if ordered is None:
            self.due_at = now + RETRY_DELAY_US
            self.timers.deadlines.set(ServerDeadline.CONTROL_CYCLE, self.due_at)
        elapsed_us = (time.perf_counter_ns() - began) // 1000
        self._leave_time_for_accepts(now)
        self.counters.record_maximum("control_cycle_max_us", elapsed_us)
        if self.control_cycle.cycle_observer is not None:
            self.control_cycle.cycle_observer.on_control_cycle(lateness_us, elapsed_us)
        if not self.is_stopping:
            for command in ordered or ():
                self.execute(command)

    def _leave_time_for_accepts(self, began_at: int) -> None:
        """Put the next cycle off by this one's length while connections come.

        The loop accepts one connection a turn, and hundreds may come at once; with a cycle between each two,
        proxies waited 6 s to join. The price: events wait for a cycle's length longer.
        """
        before = self.connections_accepted
        self.connections_accepted = self.counters["accepted"]
        if before != self.connections_accepted:
            self.last_cycle_at = max(began_at, 2 * self.clock() - began_at - self.tick_us)
