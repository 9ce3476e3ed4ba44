"""All receivers of figures, and the measurement that goes to them at each interval."""

import asyncio
import random
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from ravenshelf import log_events
from ravenshelf.background.scheduler import Background
from ravenshelf.graphite.decisions import SECOND, Backlog, Batch, Receiver, Shares, apart, moves
from ravenshelf.graphite.outlet import Outlet
from ravenshelf.graphite.spool import Spool

Point = tuple[str, float]


class Graphite:
    """`table` is the operator file's `[graphite]`; `again(receiver, at)` has `turn(receiver)` called then."""

    def __init__(
        self,
        table,
        chance: random.Random,
        *,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], int],
        again: Callable[[str, int], None],
        background: Background,
        resolve: Callable | None = None,
    ):
        self.chance, self.loop, self.clock, self.again = chance, loop, clock, again
        self.background, self.resolve = background, resolve
        self.thread: ThreadPoolExecutor | None = None
        self.outlets: dict[str, Outlet] = {}
        self.holding: dict[str, bool] = {}
        self.table, self.shares = table, Shares(table.receivers)
        for receiver in table.receivers:
            self._open(receiver)

    def _open(self, receiver: str) -> Outlet:
        backlog = Backlog(self.table.buffer_points, self.table.backfill_points_s)
        made = Outlet(
            receiver,
            self.table.protocol,
            Receiver(self.clock(), self.chance),
            backlog,
            self._spool(receiver),
            loop=self.loop,
            clock=self.clock,
            background=self.background,
            again=lambda at: self.again(receiver, at),
            resolve=self.resolve,
        )
        self.outlets[receiver], self.holding[receiver] = made, True
        self.again(receiver, self.clock())
        return made

    def _spool(self, receiver: str) -> Spool | None:
        if not self.table.spool_mb:
            return None
        self.thread = self.thread or ThreadPoolExecutor(1, "spool")
        return Spool(
            Path(self.table.spool_dir), receiver, int(self.table.spool_mb * 1e6), self.thread, self._back
        )

    def _back(self, call: Callable) -> None:
        try:
            self.loop.call_soon_threadsafe(call)
        except RuntimeError:
            pass  # the loop has ended; what was on its way to disk is there or is not

    def turn(self, receiver: str) -> None:
        if receiver in self.outlets:
            self.outlets[receiver].turn()

    # --- figures ---

    def take(self, time: int, importance: int, points: list[Point]) -> None:
        """A measurement's points of one importance: to all receivers, or to each its share."""
        if self.table.route == "all":
            text: list[bytes] = []  # formatted once for all
            for outlet in self.outlets.values():
                outlet.measured([Batch(time, importance, points, text)])
            return
        self.look()
        for n, share in apart(points, self.shares, self._held()).items():
            self.outlets[self.shares.receivers[n]].measured([Batch(time, importance, share)])

    def _held(self) -> list[bool]:
        return [self.holding[r] for r in self.shares.receivers]

    def look(self) -> None:
        """A receiver that was lost leaves its share to the others: what was never handed to it goes with it.
        What it may have taken in part waits for it alone, so that no point is at two receivers."""
        if self.table.route == "all":
            return
        now = self.clock()
        for receiver, outlet in self.outlets.items():
            held, self.holding[receiver] = self.holding[receiver], outlet.decisions.holds_share(now)
            if held and not self.holding[receiver]:
                batches = outlet.give_up() if any(self.holding.values()) else []
                log_events.RECEIVER_FAILED_OVER(receiver=receiver, moved=sum(map(len, batches)))
                self._deal(batches)
            elif not held and self.holding[receiver]:
                log_events.RECEIVER_RECOVERED(receiver=receiver)

    def _deal(self, batches: list[Batch]) -> None:
        for batch in batches:
            for n, share in apart(batch.points, self.shares, self._held()).items():
                self.outlets[self.shares.receivers[n]].measured([Batch(batch.time, batch.importance, share)])

    # --- a new operator file ---

    def renew(self, table) -> None:
        """Receivers that stay keep their connection and what waits; what waits for one that went is handed on."""
        old, self.table = self.table, table
        if (
            old.protocol != table.protocol
        ):  # what is formatted is of no use any more, connections speak the old one
            stays = []
        else:
            stays = [r for r in old.receivers if r in table.receivers]
        gone = {r: self.outlets.pop(r) for r in old.receivers if r not in stays}
        self.holding = {r: self.holding[r] for r in stays}
        self.shares = Shares(table.receivers)
        for receiver in stays:
            backlog = self.outlets[receiver].backlog
            backlog.most, backlog.pace = table.buffer_points, table.backfill_points_s
            if (old.spool_mb, old.spool_dir) != (table.spool_mb, table.spool_dir):
                self.outlets[receiver].spool = self._spool(receiver)
        for receiver in table.receivers:
            if receiver not in self.outlets:
                self._open(receiver)
        heirs = moves([*old.receivers], [*table.receivers], table.route)
        for receiver, outlet in gone.items():
            # by share what may have been taken stays untold, for it may stand at the old one; where each has all
            # figures, the new one has none of them
            batches = outlet.give_up(tried=table.route == "all")
            outlet.close()
            if receiver in table.receivers:  # the same receiver by another protocol
                self.outlets[receiver].measured([Batch(b.time, b.importance, b.points) for b in batches])
            elif table.route == "hash":
                self._deal(batches)
            else:
                for heir in heirs[receiver]:
                    self.outlets[heir].measured([Batch(b.time, b.importance, b.points) for b in batches])

    def counts(self) -> dict[str, float]:
        """Of each receiver, by the paths of `figures`."""
        from ravenshelf.graphite import figures
        from ravenshelf.graphite.formats import word

        out = {}
        for receiver, outlet in self.outlets.items():
            out[f"{figures.WAITING.path}|{word(receiver)}"] = outlet.backlog.size
            out[f"{figures.LOST.path}|{word(receiver)}"] = outlet.backlog.dropped
        return out

    def close(self) -> None:
        for outlet in self.outlets.values():
            outlet.close()
        if self.thread is not None:
            self.thread.shutdown(wait=False, cancel_futures=False)


def aligned(now: int, every: int) -> int:
    """The time of a measurement made at `now`, in seconds: the interval's boundary, also when it is made late."""
    return now // (every * SECOND) * every
