"""Scheduling of control cycles and execution of their commands."""

import time
from collections.abc import Callable

from ravenshelf.policy import commands
from ravenshelf.process.control_cycle import ControlCycle
from ravenshelf.process.deadline_keys import ServerDeadline
from ravenshelf.process.timers import Timers
from ravenshelf.state.counters import Counters

# Delay of the next cycle after one whose controller failed. Without it, a controller that fails at every
# start would keep a CPU core busy.
RETRY_DELAY_US = 250_000


class CycleScheduler:
    """Scheduler that runs a control cycle when there are events, at most one per tick.

    Args:
        control_cycle: The control cycle to run.
        timers: Deadlines of the server, for the next cycle.
        clock: Function that returns the time in microseconds.
        counters: Counters of the server. The delays and durations of cycles are recorded in them, and the
            number of accepted connections is read from them.
        tick_us: Minimum time from the start of one cycle to the start of the next.
        write: Function that writes a message with a marker, or None, to a proxy's stream.
        execute: Function that carries out a command that is not a message to a proxy.
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
        self.is_stopping = False  # While this is true, cycles write messages but carry out no other commands.
        self.last_cycle_at = 0
        self.due_at = 0
        self.connections_accepted = 0  # Total number of accepted connections at the end of the last cycle.

    def start(self) -> None:
        """Pass the restored endpoint list to the controller and run the first cycle."""
        self.control_cycle.begin()
        self.is_started = True
        self.due_at = self.clock()
        self.run_cycle()

    def request(self) -> None:
        """Schedule a cycle, a tick after the last one at the earliest, unless one is already scheduled."""
        if self.is_started and ServerDeadline.CONTROL_CYCLE not in self.timers.deadlines:
            self.due_at = max(self.clock(), self.last_cycle_at + self.tick_us)
            self.timers.set(ServerDeadline.CONTROL_CYCLE, self.due_at)

    def is_due(self) -> bool:
        """Return whether a scheduled cycle is due and has not run yet."""
        at = self.timers.deadlines.time_of(ServerDeadline.CONTROL_CYCLE)
        return at is not None and at <= self.clock()

    def run_cycle(self) -> None:
        """Run a cycle now: write the controller's messages and carry out its other commands.

        If the controller fails, the next cycle is scheduled RETRY_DELAY_US from now.
        """
        now = self.clock()
        lateness_us = now - self.due_at
        self.counters.record_maximum("loop_lag_max_us", lateness_us)
        self.last_cycle_at = now
        start_ns = time.perf_counter_ns()
        cycle_commands = self.control_cycle.run(now, self.write)
        if cycle_commands is None:
            self.due_at = now + RETRY_DELAY_US
            self.timers.deadlines.set(ServerDeadline.CONTROL_CYCLE, self.due_at)
        elapsed_us = (time.perf_counter_ns() - start_ns) // 1000
        self._leave_time_for_accepts(now)
        self.counters.record_maximum("control_cycle_max_us", elapsed_us)
        if self.control_cycle.cycle_observer is not None:
            self.control_cycle.cycle_observer.on_control_cycle(lateness_us, elapsed_us)
        if not self.is_stopping:
            for command in cycle_commands or ():
                self.execute(command)

    def _leave_time_for_accepts(self, cycle_started_at: int) -> None:
        """Postpone the next cycle by the duration of this one if connections were accepted since the last.

        The event loop accepts one connection per iteration, and hundreds may arrive at once. With a cycle
        between every two of them, proxies waited 6 s to join. The drawback is that events wait longer, by the
        duration of a cycle.
        """
        previously_accepted = self.connections_accepted
        self.connections_accepted = self.counters["accepted"]
        if previously_accepted != self.connections_accepted:
            self.last_cycle_at = max(cycle_started_at, 2 * self.clock() - cycle_started_at - self.tick_us)
