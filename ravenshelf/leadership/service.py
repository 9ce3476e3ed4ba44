"""A controller among others at the edge: links, disk, timers, and the pilot's shards as they come and go."""

import asyncio
import random
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from ravenshelf import log_events
from ravenshelf.leadership import link as links
from ravenshelf.leadership.adapter import Adapter
from ravenshelf.leadership.decisions import LAPSED, NONE, OWNER, SECOND, LeaseConfiguration, Member
from ravenshelf.leadership.link import Link
from ravenshelf.net.connection_end import ConnectionEnd
from ravenshelf.net.datagrams import address
from ravenshelf.state.buffers import BufferPool
from ravenshelf.state.counters import Counters
from ravenshelf.store.committer import Committer
from ravenshelf.store.journal import Journal

DIAL_EVERY, DIAL_BY = 300_000, 1.0
MEET_BY = 2 * SECOND  # whoever has not said hello by then is shut out
MOST_UNMET = 32


def clock() -> int:
    """Microseconds, going on while the machine sleeps: a lease must not outlive a suspension."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


class Leadership:
    """`table` is the operator file's `[leadership]`, `folder` its `[store]`'s. `ended(why)` is called where this
    controller can't go on."""

    def __init__(
        self,
        table,
        folder: str,
        loop: asyncio.AbstractEventLoop,
        counters: Counters,
        chance: random.Random,
        ended: Callable[[str], None],
    ):
        self.table, self.loop, self.counters, self.ended = table, loop, counters, ended
        self.names = sorted(table.members)
        self.me = self.names.index(table.name)
        self.journal = Journal(Path(folder) / "leadership", {"cluster": table.cluster, "member": table.name})
        kept = {key: tuple(value) for key, value in self.journal.map.items() if isinstance(key, int)}
        self.incarnation = int(self.journal.map.get("incarnation", 0)) + 1
        recovers = len(self.names) > 1 and "votes" not in self.journal.map
        self.journal.append([("incarnation", self.incarnation)])
        self.committer = Committer(self.journal, self._back)
        ways = LeaseConfiguration(
            shards=table.shards,
            lease=round(table.lease_ms * 1000),
            renew_every=round(table.lease_ms * 200),
            ask_again=round(table.lease_ms * 100),
        )
        self.ways = ways
        self.member = Member(self.me, len(self.names), ways, kept, clock(), chance, recovers, table.capacity)
        self.adapter: Adapter | None = None
        self.buffers = BufferPool()
        self.links: dict[int, Link] = {}
        self.unmet: dict[Link, int] = {}
        self.dialing: dict[int, asyncio.Task] = {}
        self.incarnations: dict[int, int] = {}
        self.server: asyncio.Server | None = None
        self.admin: asyncio.Server | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.writes: list[tuple[int | str, Any]] = []
        self.sends: list[tuple[int, tuple]] = []
        self.committing = 0
        self.stepping = False
        self.queue: list[tuple[int, list]] = []  # messages to ourselves
        self.late = 0.0
        self.closed = False
        self.alone = False
        self.read_certificates()

    # --- what the machine decides ---

    def keep(self, shard: int, promised: int, term: int, seq: int, record: Any) -> None:
        self.writes.append((shard, (promised, term, seq, record)))

    def votes(self) -> None:
        self.writes.append(("votes", True))

    def send(self, member: int, message: tuple) -> None:
        self.sends.append((member, message))

    def changed(self, shard: int, state: str, term: int, record: Any) -> None:
        self.counters[f"shards_{state}"] += 1
        if state == OWNER:
            log_events.LEASE_ACQUIRED(shard=shard, term=term)
            self.adapter.took(shard, term, record)
        elif state == LAPSED:
            log_events.LEASE_EXPIRED(shard=shard, term=term)
        elif state == NONE and shard in self.adapter.owned:
            log_events.LEASE_LOST(shard=shard, term=term)
            self.adapter.lost(shard)

    def step(self, do: Callable[[], Any]) -> Any:
        """Runs the machine; what it kept goes to disk before anything that it sent with it or later leaves."""
        if self.stepping:  # called from within, by an order that needs a record: it is part of that step
            return do()
        self.stepping = True
        try:
            outcome = do()
            self._out()
            while self.queue:
                member, message = self.queue.pop(0)
                self.member.hear(clock(), member, tuple(message), self)
                self._out()
        finally:
            self.stepping = False
        return outcome

    def _out(self) -> None:
        writes, sends, self.writes, self.sends = self.writes, self.sends, [], []
        if not writes and not self.committing:
            self._carry(sends)
        elif writes or sends:
            self.committing += 1
            newest = dict(writes)  # of a shard only the last state counts
            self.committer.commit(list(newest.items()), lambda why: self._kept(sends, why))

    def _kept(self, sends: list, why: Exception | None) -> None:
        self.committing -= 1
        if why is not None:
            if not self.closed:
                log_events.STORE_FAILED(why=str(why))
                self.close()
                self.ended(f"the store has failed: {why}")
            return
        self._carry(sends)
        self.step(lambda: None)
        self.adapter.released()

    def _carry(self, sends: list) -> None:
        frames: dict[int, bytes] = {}
        for member, message in sends:
            if member == self.me:
                self.queue.append((member, message))
            elif member in self.links:
                octets = frames.get(id(message))
                if octets is None:
                    octets = frames[id(message)] = links.frame(message)
                self.links[member].send(octets)

    def put(self, shard: int, record: bytes) -> int | None:
        return self.step(lambda: self.member.write(clock(), shard, record, self))

    # --- time ---

    def turn(self) -> None:
        if self.closed:
            return
        now = clock()
        self.member.late = int(self.late)
        at = self.step(lambda: self.member.tick(now, self))
        for member, since in list(self.unmet.items()):
            if now - since > MEET_BY:
                member.close(ConnectionEnd.SILENT)
        alone = self.member.alone(now)
        if alone != self.alone:
            self.alone = alone
            (log_events.QUORUM_LOST if alone else log_events.QUORUM_REGAINED)(shards=len(self.adapter.owned))
        self.adapter.released()
        wait = max(0.001, min(0.1, (at - clock()) / SECOND))
        expected = self.loop.time() + wait
        self.timer = self.loop.call_at(expected, self._due, expected)

    def _due(self, expected: float) -> None:
        late = max(0.0, self.loop.time() - expected) * SECOND
        self.late += (late - self.late) * (0.5 if late > self.late else 0.05)
        self.turn()

    # --- links ---

    def read_certificates(self) -> None:
        """Also at SIGHUP: new connections use what the files hold then, open ones go on."""
        table = self.table
        self.dials = self.takes = None
        if table.certificate:
            self.dials, self.takes = links.contexts(table.certificate, table.key, table.authority)

    async def start(self) -> None:
        host, port = address(self.table.members[self.table.name])
        self.server = await self.loop.create_server(self._link, host, port, ssl=self.takes)
        if self.table.admin:
            from ravenshelf.leadership.admin import serve

            self.admin = await serve(self, self.table.admin)
        for member in range(self.me + 1, len(self.names)):
            self.dialing[member] = self.loop.create_task(self._keep_dialling(member))
        log_events.MEMBER_STARTED(
            name=self.table.name,
            incarnation=self.incarnation,
            members=len(self.names),
            state="recovers" if self.member.recovering else "votes",
        )
        self.turn()

    def _link(self) -> Link:
        link = Link(
            self.buffers,
            self,
            [
                "hello",
                links.VERSION,
                self.table.cluster,
                self.table.name,
                self.incarnation,
                [self.ways.shards, self.ways.lease, len(self.names)],
            ],
        )
        self.unmet[link] = clock()
        if len(self.unmet) > MOST_UNMET:
            next(iter(self.unmet)).close(ConnectionEnd.CROWDED)
        return link

    async def _keep_dialling(self, member: int) -> None:
        while not self.closed:
            if member not in self.links:
                try:
                    await links.dial(
                        self.loop,
                        address(self.table.members[self.names[member]]),
                        self._link,
                        self.dials,
                        DIAL_BY,
                    )
                except (TimeoutError, OSError, ValueError):
                    pass
            await asyncio.sleep(DIAL_EVERY / SECOND)

    def met(self, link: Link, hello: list) -> str | None:
        """Whether this is a member of ours; its words otherwise are the event's."""
        try:
            kind, version, cluster, name, incarnation, agreed = hello
            why = None
            if kind != "hello" or not links.OLDEST <= version <= links.VERSION:
                why = f"expected hello in version {links.OLDEST} to {links.VERSION}, not {str(hello)[:60]}"
            elif cluster != self.table.cluster:
                why = f"expected cluster {self.table.cluster}, not {cluster!r}"
            elif name not in self.names or name == self.table.name:
                why = f"expected another of {', '.join(self.names)}, not {name!r}"
            elif agreed != [self.ways.shards, self.ways.lease, len(self.names)]:
                why = f"expected shards, lease and members {[self.ways.shards, self.ways.lease, len(self.names)]}, not {agreed}"
            elif link.subject() not in (None, name):
                why = f"expected the certificate of {name!r}, not of {link.subject()!r}"
            elif incarnation < self.incarnations.get(self.names.index(name), 0):
                why = f"expected {name}'s incarnation {self.incarnations[self.names.index(name)]} or later, not {incarnation}"
        except (TypeError, ValueError):
            why = f"expected hello, not {str(hello)[:60]}"
        if why is not None:
            self.counters["members_refused"] += 1
            log_events.MEMBER_REJECTED(peer=str(link.transport.get_extra_info("peername")), why=why)
            return why
        link.member, link.incarnation = self.names.index(name), incarnation
        self.incarnations[link.member] = incarnation
        self.unmet.pop(link, None)
        old = self.links.get(link.member)
        self.links[link.member] = link
        if old is not None:
            old.close(ConnectionEnd.SUPERSEDED)
        log_events.MEMBER_CONNECTED(name=name, incarnation=incarnation)
        return None

    def said(self, link: Link, message: list) -> None:
        if self.links.get(link.member) is not link:
            return
        try:
            self.step(lambda: self.member.hear(clock(), link.member, tuple(message), self))
        except (AttributeError, IndexError, KeyError, TypeError, ValueError) as why:
            self.counters["member_messages_unreadable"] += 1
            log_events.MEMBER_REJECTED(
                peer=self.names[link.member], why=f"expected a message, not {str(message)[:60]} ({why})"
            )
            link.close(ConnectionEnd.UNREADABLE)
            return
        if message[0] == "written":
            self.adapter.released()

    def over(self, link: Link) -> None:
        self.unmet.pop(link, None)
        if link.member is not None and self.links.get(link.member) is link:
            del self.links[link.member]
            if not self.closed:
                log_events.MEMBER_DISCONNECTED(name=self.names[link.member], end=link.end.value)

    def _back(self, call: Callable[[], None]) -> None:
        try:
            self.loop.call_soon_threadsafe(call)
        except RuntimeError:
            pass  # the loop has ended

    # --- by hand, and the end ---

    def status(self) -> dict:
        now, member = clock(), self.member
        weights = member.there(now)
        return {
            "name": self.table.name,
            "incarnation": self.incarnation,
            "cluster": self.table.cluster,
            "recovering": member.recovering,
            "alone": member.alone(now),
            "draining": member.draining,
            "late_ms": round(self.late / 1000, 1),
            "proxies": len(self.adapter.present),
            "held_orders": sum(len(o.gate) for o in self.adapter.owned.values()),
            "members": [
                {
                    "name": name,
                    "met": n == self.me or n in self.links,
                    "incarnation": self.incarnation if n == self.me else self.incarnations.get(n, 0),
                    "weight": round(weights.get(n, 0.0), 2),
                    "shards": sum(member.holder(now, s) == n for s in range(self.ways.shards)),
                }
                for n, name in enumerate(self.names)
            ],
            "unowned": [
                {
                    "shard": s,
                    "promised": v.promised,
                    "granted": self.names[v.owner] if v.owner is not None else "",
                    "lease_ms": max(0, (v.until - now) // 1000),
                    "state": member.claims[s].state,
                    "heir": member.heirs.get(s, (None, 0)),
                }
                for s, v in enumerate(member.votes)
                if member.holder(now, s) is None
            ],
            "shards": [
                {
                    "shard": s,
                    "state": c.state,
                    "term": c.term,
                    "record": c.seq,
                    "lease_ms": max(0, (c.good - now) // 1000) if c.state == OWNER else 0,
                    "proxies": self.adapter.proxies([s]),
                }
                for s, c in enumerate(member.claims)
                if c.state != NONE
            ],
        }

    def drain(self, on: bool = True) -> int:
        """Counts for nothing from now on: shards go to the others at the pace of balancing."""
        self.member.draining = on
        return len(self.member.owned())

    def handover(self, shards: list[int], heir: str | None) -> list[int]:
        to = self.names.index(heir) if heir else None
        return self.step(lambda: self.member.give(clock(), shards, to, self))

    def close(self) -> None:
        """Gives up what it owns, so that nobody has to wait for its leases."""
        if self.closed:
            return
        if self.journal.failed is None:
            self.handover(self.member.owned(), None)
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
        for task in self.dialing.values():
            task.cancel()
        for server in (self.server, self.admin):
            if server is not None:
                server.close()
        for link in [*self.links.values(), *self.unmet]:
            link.close(ConnectionEnd.STOPPING)
        self.committer.close()
