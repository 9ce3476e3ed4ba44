"""HTTP calls to the endpoint registry and to endpoints, limited in number and in time."""

import asyncio
from collections.abc import Callable

from ravenshelf.net.connection_end import ConnectionEnd
from ravenshelf.net.http import HttpCall
from ravenshelf.process.deadline_keys import CallTimeout
from ravenshelf.process.timers import Timers
from ravenshelf.state.buffers import BufferPool
from ravenshelf.state.slots import SlotTable


class OutgoingCalls:
    """Opener of HTTP calls, each of which holds a slot and a deadline until it ends.

    Args:
        loop: The event loop.
        clock: Function that returns the time in microseconds.
        timers: Deadlines of the server.
        buffers: Pool of the receive buffers.
        call_limit: Maximum number of calls open at a time.
        registry_address: Function that returns the configured host:port of the endpoint registry.
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
        on_end: Callable[[HttpCall], None],
        on_line: Callable[[HttpCall, bytes], None] | None,
        timeout_us: int,
        address: str | None = None,
    ) -> HttpCall:
        """Connect and request a path.

        Args:
            path: The path to request.
            on_end: Function that is called once, when the call has ended.
            on_line: Function that is called with each line of the response as it arrives; if None, the call
                collects the response's body.
            timeout_us: Time from now after which the call is closed, unless it is extended.
            address: host:port; default: the endpoint registry.

        Returns:
            The call. If no slot is free, it ends with NO_CAPACITY in the next iteration of the event loop.
        """

        def handle_end(call: HttpCall) -> None:
            """Cancel the timeout and release the slot before the caller learns that the call has ended."""
            self.timers.cancel(CallTimeout(call))
            self.slots.release(call.slot)
            on_end(call)

        call = HttpCall(self.buffers, address or self.registry_address(), path, handle_end, on_line)
        call.slot = self.slots.acquire(call)
        if call.slot is None:
            self.loop.call_soon(call.close, ConnectionEnd.NO_CAPACITY)
        else:
            self.timers.set(CallTimeout(call), self.clock() + timeout_us)
            call.dial(self.loop)
        return call

    def extend(self, call: HttpCall, timeout_us: int) -> None:
        """Move the deadline of a call to `timeout_us` from now; do nothing if the call has ended."""
        if call.slot is not None and call.end is None:
            self.timers.deadlines.set(CallTimeout(call), self.clock() + timeout_us)

    def close_all(self, end: ConnectionEnd) -> None:
        """Close every open call; `end` is the reason that each call reports to its owner."""
        for call in list(self.slots.items.values()):
            call.close(end)
