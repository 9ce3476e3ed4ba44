"""HTTP calls to the endpoint registry and to endpoints, bounded in number and in time."""

import asyncio
from collections.abc import Callable

from ravenshelf.net.connection_end import ConnectionEnd
from ravenshelf.net.http import HttpCall
from ravenshelf.process.deadline_keys import CallTimeout
from ravenshelf.process.timers import Timers
from ravenshelf.state.buffers import BufferPool
from ravenshelf.state.slots import SlotTable


class OutgoingCalls:
    """Opens calls, gives each a slot and a deadline, and frees both at its end.

    `registry_address()` is host:port of the endpoint registry as it is configured now.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], int],
        timers: Timers,
        buffers: BufferPool,
        call_limit: int,
        registry_address: Callable[[], str],
    ):
        self.loop = loop
        self.clock = clock
        self.timers = timers
        self.buffers = buffers
        self.slots: SlotTable[HttpCall] = SlotTable(call_limit)
        self.registry_address = registry_address

    def open(
        self,
        path: str,
        done: Callable[[HttpCall], None],
        on_line: Callable[[HttpCall, bytes], None] | None,
        timeout_us: int,
        address: str | None = None,
    ) -> HttpCall:
        """Dial `address` (default: the endpoint registry) and request a path.

        `done` is called once, at the end. `on_line` gets the answer's lines as they come; without it the call
        collects its body. A call that finds no free slot ends as NO_CAPACITY.
        """

        def ended(call: HttpCall) -> None:
            self.timers.cancel(CallTimeout(call))
            self.slots.release(call.slot)
            done(call)

        call = HttpCall(self.buffers, address or self.registry_address(), path, ended, on_line)
        call.slot = self.slots.acquire(call)
        if call.slot is None:
            self.loop.call_soon(call.close, ConnectionEnd.NO_CAPACITY)
        else:
            self.timers.set(CallTimeout(call), self.clock() + timeout_us)
            call.dial(self.loop)
        return call

    def extend(self, call: HttpCall, timeout_us: int) -> None:
        """Move an open call's deadline to `timeout_us` from now."""
        if call.slot is not None and call.end is None:
            self.timers.deadlines.set(CallTimeout(call), self.clock() + timeout_us)

    def close_all(self, end: ConnectionEnd) -> None:
        """End every open call."""
        for call in list(self.slots.items.values()):
            call.close(end)
