"""One receiver of figures at the edge: does what its `Receiver` decides, and keeps its backlog moving."""

import asyncio
import socket
from collections.abc import Callable, Iterator

from ravenshelf import log_events
from ravenshelf.background.decisions import BACKFILL, PRESENT
from ravenshelf.background.scheduler import Background
from ravenshelf.graphite import formats
from ravenshelf.graphite.decisions import (
    DIAL_BY,
    DIALLING,
    IMPORTANCES,
    SECOND,
    SENDING,
    Backlog,
    Batch,
    Receiver,
)
from ravenshelf.graphite.link import Link
from ravenshelf.graphite.spool import Spool
from ravenshelf.net.connection_end import ConnectionEnd
from ravenshelf.net.datagrams import address
from ravenshelf.state.buffers import BufferPool

SPOOL_RESTS = 60 * SECOND  # after the disk failed
SOON = 1000  # what waits for room is looked at no sooner than so
SPOOL_AT_ONCE = 64  # batches written at a time
WITHIN = {PRESENT: 5 * SECOND, BACKFILL: 60 * SECOND}


class Outlet:
    """`again(at)` has `turn` called then. `resolve(host, port)` gives socket addresses without holding the loop."""

    def __init__(
        self,
        receiver: str,
        protocol: str,
        decisions: Receiver,
        backlog: Backlog,
        spool: Spool | None,
        *,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], int],
        again: Callable[[int], None],
        background: Background,
        resolve: Callable | None = None,
    ):
        self.receiver, self.protocol, self.decisions, self.backlog = receiver, protocol, decisions, backlog
        self.spool, self.loop, self.clock, self.again, self.background = spool, loop, clock, again, background
        self.resolve = resolve or self._resolve
        self.buffers = BufferPool()
        self.link: Link | None = None
        self.dialing: asyncio.Task | None = None
        self.present = 0  # seconds: the time of the newest measurement
        self.sending = False  # a background job of ours is queued or at work
        self.spool_rests_until = 0
        self.spool_busy = False
        self.from_spool: dict[int, int] = {}  # segment: batches of it that are not received yet
        self.origin: dict[Batch, int] = {}
        self.closed = False

    # --- connections ---

    def turn(self) -> None:
        """Does what is due, and asks to be called again."""
        if self.closed:
            return
        now = self.clock()
        due = self.decisions.due(now)
        if due == "dial":
            self._dial()
        elif due == "stalled":
            log_events.RECEIVER_STALLED(receiver=self.receiver, seconds=(now - self.decisions.given) / SECOND)
        elif due == "hang up":
            self._hang_up()
        self._received()
        self.send()
        self._next()

    def _next(self) -> None:
        now, times = self.clock(), [self.decisions.next()]
        if self.decisions.state == SENDING:
            if not self.sending and self.link.idle() and (at := self.backlog.next(now)) is not None:
                times.append(max(at, now + SOON))
            if self.backlog.doubt:
                times.append(now + SECOND)
        if times := [at for at in times if at is not None]:
            self.again(max(min(times), now))

    def _dial(self) -> None:
        link = self.link = Link(self.buffers, self._opened, self._drained, self._over)
        self.dialing = self.loop.create_task(self._connect(link, len(self.decisions.dials)))

    @staticmethod
    async def _resolve(host: str, port: int) -> list[tuple]:
        """By the system's resolver, on a thread: a name server that hangs must not hold the loop."""
        found = await asyncio.get_running_loop().getaddrinfo(host, port, type=socket.SOCK_STREAM)
        return [info[4] for info in found]

    async def _connect(self, link: Link, dial: int) -> None:
        """Tries the name's addresses in turn, beginning with another at each dial, all within the dial's time."""
        try:
            host, port = address(self.receiver)
            found = list(dict.fromkeys(await self.resolve(host.strip("[]"), port)))
            start = dial % len(found) if found else 0
            for place in found[start:] + found[:start]:
                try:
                    await asyncio.wait_for(
                        self.loop.create_connection(lambda: link, place[0], place[1]),
                        DIAL_BY / SECOND / len(found),
                    )
                    return
                except (TimeoutError, OSError):
                    if link.end is not None:
                        return
            link.close(ConnectionEnd.REFUSED)
        except (OSError, ValueError, UnicodeError):
            link.close(ConnectionEnd.REFUSED)

    def _hang_up(self) -> None:
        if self.dialing is not None and self.decisions.state == DIALLING:
            self.dialing.cancel()
        if self.link is not None:
            self.link.close(ConnectionEnd.SILENT)
        else:
            self.decisions.failed(self.clock())

    def _opened(self, link: Link) -> None:
        if link is not self.link:
            return link.close(ConnectionEnd.SUPERSEDED)
        self.decisions.dialled(self.clock())
        log_events.RECEIVER_CONNECTED(receiver=self.receiver, waiting=self.backlog.size)
        self.turn()

    def _over(self, link: Link) -> None:
        if link is not self.link:
            return
        self.link = None
        now = self.clock()
        self.backlog.broken()
        self.decisions.failed(now)
        if link.end is not ConnectionEnd.STOPPING:
            log_events.RECEIVER_DISCONNECTED(
                receiver=self.receiver, end=link.end.value, rest=(self.decisions.until - now) / SECOND
            )
            self._next()

    # --- figures ---

    def measured(self, batches: list[Batch]) -> None:
        """Takes in a measurement's batches, or those of a receiver that is lost."""
        for batch in batches:
            self.present = max(self.present, batch.time)
            self._gone(self.backlog.add(batch))
        self._spill()
        self.send()
        self._next()

    def _gone(self, batches: list[Batch]) -> None:
        for batch in batches:
            log_events.POINTS_DROPPED(
                points=len(batch), receiver=self.receiver, importance=IMPORTANCES[batch.importance]
            )
        self._done(batches)

    def send(self) -> None:
        """Has the next batch written by a background job, one after another, while the receiver takes them."""
        if self.sending or self.link is None or self.decisions.state != SENDING or not self.link.idle():
            return
        if self.backlog.next(self.clock()) is None:
            self._refill()
        priority = (
            PRESENT if any(w and w[-1].time >= self.present for w in self.backlog.waiting) else BACKFILL
        )
        if any(self.backlog.waiting):
            self.sending = True
            self.background.offer(
                f"graphite.send.{priority}",
                priority,
                WITHIN[priority],
                self._write(self.link),
                dropped=self._not_sent,
            )

    def _not_sent(self) -> None:
        self.sending = False
        self._next()

    def _write(self, link: Link) -> Iterator[None]:
        """Formats and writes a batch, a piece in each slice; every piece ends with a whole line or frame."""
        batch = self.backlog.take(self.clock(), self.present) if link is self.link else None
        if batch is not None:
            self.decisions.gave(self.clock())
            pieces = batch.text or formats.slices(self.protocol, batch.time, batch.points)
            kept = []
            for piece in pieces:
                if link is not self.link:
                    break
                link.write(piece)
                kept.append(piece)
                yield
            else:
                batch.text[:] = kept  # another receiver of the same batch need not format it again
        self.sending = False
        if link is self.link and link.end is None and batch is not None and link.idle():
            self._drained(link)
        else:
            self._next()  # what is not taken must be found stalled in time

    def _drained(self, link: Link) -> None:
        if link is not self.link or self.sending:
            return
        now = self.clock()
        self.decisions.drained(now)
        self.backlog.drained(now)
        self.send()
        self._next()

    def _received(self) -> None:
        self._done(self.backlog.settle(self.clock()))

    # --- the spool ---

    def _spill(self) -> None:
        """While nothing is taken, what is older than the present goes to disk."""
        now = self.clock()
        if (
            self.spool is None
            or self.spool_busy
            or now < self.spool_rests_until
            or self.decisions.state == SENDING
        ):
            return
        batches = self.backlog.old(self.present, SPOOL_AT_ONCE, lambda b: b not in self.origin)
        if not batches:
            return

        def told(outcome) -> None:
            self.spool_busy = False
            if isinstance(outcome, Exception):
                self._spool_failed(outcome)
                for batch in batches:  # back to where they were: memory's bound holds
                    self._gone(self.backlog.add(batch))

        self.spool_busy = True
        self.spool.write(batches, told)

    def _spool_failed(self, why: Exception) -> None:
        self.spool_rests_until = self.clock() + SPOOL_RESTS
        log_events.SPOOL_FAILED(receiver=self.receiver, why=str(why))

    def _refill(self) -> None:
        """Nothing waits in memory: the oldest segment is read, to be sent at the pace of what is old."""
        if self.spool is None or self.spool_busy or self.from_spool or self.clock() < self.spool_rests_until:
            return

        def told(outcome) -> None:
            self.spool_busy = False
            if outcome is None:
                self.spool_rests_until = self.clock() + SECOND  # empty: asked again with the next figures
                return None
            if isinstance(outcome, Exception):
                return self._spool_failed(outcome)
            number, batches, skipped = outcome
            for lost in skipped:
                log_events.SPOOL_CORRUPTED(
                    receiver=self.receiver, bytes=lost.octets, file=f"{lost.file} from {lost.offset}"
                )
            self.from_spool[number] = len(batches)
            self.origin.update(dict.fromkeys(batches, number))
            for batch in batches:
                self._gone(self.backlog.add(batch))
            if not batches:
                self._forget(number)
            self.send()
            self._next()

        self.spool_busy = True
        self.spool.read(told)

    def give_up(self, tried: bool = False) -> list[Batch]:
        """What another receiver is to have; of the spool's segments it counts as done."""
        batches = self.backlog.give_up(tried)
        self._done(batches)
        return batches

    def _done(self, batches: list[Batch]) -> None:
        """Received or let go: a segment whose batches are all done is removed."""
        for batch in batches:
            number = self.origin.pop(batch, None)
            if number is not None:
                self.from_spool[number] -= 1
                if not self.from_spool[number]:
                    self._forget(number)

    def _forget(self, number: int) -> None:
        self.from_spool.pop(number, None)
        if number:
            self.spool.drop(
                number,
                lambda outcome: self._spool_failed(outcome) if isinstance(outcome, Exception) else None,
            )

    def close(self) -> None:
        """What the system has not taken is lost with the process, but for what is spooled."""
        self.closed = True
        if self.dialing is not None:
            self.dialing.cancel()
        if self.link is not None:
            self.link.close(ConnectionEnd.STOPPING)
