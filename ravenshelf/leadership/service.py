"""A control-plane server among others, at the edge: connections, disk, timers, and the shards that it
holds.
"""

import asyncio
import random
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any, TypeVar

from ravenshelf import log_events
from ravenshelf.leadership import message_codec
from ravenshelf.leadership.cluster import (
    AgreedSettings,
    ClusterMembership,
    LeadershipSettings,
    LeaseListener,
    clock,
    lease_configuration,
)
from ravenshelf.leadership.decisions import SECOND, LeaseState, Member, Message, PackedRecord
from ravenshelf.leadership.decisions.messages import RecordWriteReply
from ravenshelf.leadership.peer_connections import PeerConnections
from ravenshelf.leadership.persistence import VOTING_KEY, DurableOutbox, OutgoingMessage, VoteStore
from ravenshelf.leadership.status import member_status
from ravenshelf.state.counters import Counters

SHORTEST_WAIT_S = 0.001
LONGEST_WAIT_S = 0.1
# the measured delay of the event loop rises quickly and falls slowly
DELAY_RISE = 0.5
DELAY_FALL = 0.05

Outcome = TypeVar("Outcome")


class Leadership:
    """Runs a `Member`. `stopped(reason)` is called where this control-plane server can't go on.

    `settings` is the operator file's `[leadership]`, `folder` that of its `[store]`. `lease_listener` must be
    set before `start`. It stands for the effects of the member (`LeaseOutput`).
    """

    lease_listener: LeaseListener

    def __init__(
        self,
        settings: LeadershipSettings,
        folder: str,
        loop: asyncio.AbstractEventLoop,
        counters: Counters,
        rng: random.Random,
        stopped: Callable[[str], None],
    ) -> None:
        self.settings = settings
        self.loop = loop
        self.counters = counters
        self.names = sorted(settings.members)
        self.configuration = lease_configuration(settings)
        self.store = VoteStore(Path(folder), settings.cluster, settings.name, self._call_in_loop)
        agreed = AgreedSettings(settings.shards, self.configuration.lease_us, len(self.names))
        self.membership = ClusterMembership(
            settings.name, settings.cluster, self.names, self.store.incarnation, agreed
        )
        self.member = self._new_member(rng)
        self.connections = PeerConnections(settings, self.membership, loop, counters, self)
        self._outbox = DurableOutbox(self.store.committer, self._deliver, self._commit_ended)
        self._to_self: deque[Message] = deque()
        self._stopped = stopped
        self._admin_server: asyncio.Server | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._is_in_step = False
        self._is_closed = False
        self._is_quorum_lost = False
        self._loop_delay_us = 0.0

    def _new_member(self, rng: random.Random) -> Member:
        """A member alone has nobody to recover from."""
        is_recovering = len(self.names) > 1 and not self.store.is_voting
        return Member(
            self.membership.local_member,
            len(self.names),
            self.configuration,
            self.store.votes,
            clock(),
            rng,
            is_recovering,
            self.settings.capacity,
        )

    @property
    def incarnation(self) -> int:
        """How often this member has started since its disk was empty."""
        return self.membership.incarnation

    # --- effects of the member ---

    def store_vote(self, shard: int, promised: int, term: int, seq: int, record: PackedRecord) -> None:
        """Stores a vote with this step."""
        self._outbox.store(shard, (promised, term, seq, record))

    def store_voting(self) -> None:
        """Stores that this member votes."""
        self._outbox.store(VOTING_KEY, True)

    def send(self, member: int, message: Message) -> None:
        """Sends a message once this step is on disk."""
        self._outbox.send(member, message)

    def lease_changed(self, shard: int, state: LeaseState, term: int, record: PackedRecord) -> None:
        """Counts and logs the change, and hands it to the lease listener."""
        self.counters[f"shards_{state.value}"] += 1
        if state is LeaseState.HELD:
            log_events.LEASE_ACQUIRED(shard=shard, term=term)
            self.lease_listener.lease_acquired(shard, term, record)
        elif state is LeaseState.EXPIRED:
            log_events.LEASE_EXPIRED(shard=shard, term=term)
        elif state is LeaseState.IDLE and shard in self.lease_listener.owned_shards:
            log_events.LEASE_LOST(shard=shard, term=term)
            self.lease_listener.lease_lost(shard)

    # --- steps ---

    def _step(self, act: Callable[[], Outcome]) -> Outcome:
        """Runs the member; what it stored goes to disk before anything that it sent with it or later
        leaves.
        """
        if self._is_in_step:  # an order that needs a record, from within: it is part of that step
            return act()
        self._is_in_step = True
        try:
            outcome = act()
            self._outbox.flush()
            while self._to_self:
                message = self._to_self.popleft()
                self.member.receive(clock(), self.membership.local_member, message, self)
                self._outbox.flush()
        finally:
            self._is_in_step = False
        return outcome

    def _deliver(self, messages: list[OutgoingMessage]) -> None:
        frames: dict[int, bytes] = {}  # a message to several members is encoded once
        for member, message in messages:
            if member == self.membership.local_member:
                self._to_self.append(message)
                continue
            link = self.connections.links.get(member)
            if link is None:
                continue
            frame = frames.get(id(message))
            if frame is None:
                frame = message_codec.encode(message)
                frames[id(message)] = frame
            link.send(frame)

    def _commit_ended(self, messages: list[OutgoingMessage], error: Exception | None) -> None:
        if error is not None:
            if not self._is_closed:
                log_events.STORE_FAILED(why=str(error))
                self.close()
                self._stopped(f"the store has failed: {error}")
            return
        self._deliver(messages)
        self._step(lambda: None)
        self.lease_listener.send_permitted()

    # --- messages of other members (`MessageReceiver`) ---

    def receive_message(self, member: int, message: list) -> None:
        """A message of another member, as it was on the wire. Raises MalformedMessageError."""
        self._step(lambda: self._receive_in_step(member, message))

    def message_handled(self, message: list) -> None:
        """A record that a quorum has now may permit orders."""
        if message[0] == message_codec.KIND_OF_TYPE[RecordWriteReply]:
            self.lease_listener.send_permitted()

    def _receive_in_step(self, member: int, message: list) -> None:
        now = clock()
        self.member.note_contact(now, member)
        if self.member.is_recovering and message[0] not in message_codec.KINDS_WHILE_RECOVERING:
            return
        self.member.receive(now, member, message_codec.decode(message), self)

    # --- records ---

    def write_record(self, shard: int, record: bytes) -> int | None:
        """Writes a shard's record; returns its number, or None without a valid lease."""
        return self._step(lambda: self.member.write_record(clock(), shard, record, self))

    def _call_in_loop(self, call: Callable[[], None]) -> None:
        with suppress(RuntimeError):  # the loop has ended
            self.loop.call_soon_threadsafe(call)

    # --- time ---

    def _tick(self) -> None:
        if self._is_closed:
            return
        now = clock()
        self.member.loop_delay_us = int(self._loop_delay_us)
        next_tick_at = self._step(lambda: self.member.tick(now, self))
        self.connections.close_silent(now)
        self._report_quorum(now)
        self.lease_listener.send_permitted()
        wait_s = max(SHORTEST_WAIT_S, min(LONGEST_WAIT_S, (next_tick_at - clock()) / SECOND))
        expected = self.loop.time() + wait_s
        self._timer = self.loop.call_at(expected, self._timer_fired, expected)

    def _report_quorum(self, now: int) -> None:
        is_lost = self.member.is_quorum_lost(now)
        if is_lost == self._is_quorum_lost:
            return
        self._is_quorum_lost = is_lost
        log_event = log_events.QUORUM_LOST if is_lost else log_events.QUORUM_REGAINED
        log_event(shards=len(self.lease_listener.owned_shards))

    def _timer_fired(self, expected: float) -> None:
        delay_us = max(0.0, self.loop.time() - expected) * SECOND
        weight = DELAY_RISE if delay_us > self._loop_delay_us else DELAY_FALL
        self._loop_delay_us += (delay_us - self._loop_delay_us) * weight
        self._tick()

    # --- start, administration, end ---

    async def start(self) -> None:
        """Listens, dials the others and begins to tick. Raises OSError."""
        await self.connections.listen()
        if self.settings.admin:
            from ravenshelf.leadership.admin import serve

            self._admin_server = await serve(self, self.settings.admin)
        self.connections.start_dialling()
        log_events.MEMBER_STARTED(
            name=self.settings.name,
            incarnation=self.incarnation,
            members=len(self.names),
            state="recovers" if self.member.is_recovering else "votes",
        )
        self._tick()

    def read_certificates(self) -> None:
        """Also at SIGHUP: new connections use what the files contain then. Raises OSError."""
        self.connections.read_certificates()

    def status(self) -> dict[str, Any]:
        """The state of this member, for operators."""
        return member_status(
            clock(),
            self.member,
            self.membership,
            self.lease_listener,
            self.connections.links,
            self.connections.incarnations,
            self._loop_delay_us,
        )

    def drain(self, is_enabled: bool = True) -> int:
        """Has no weight from now on: shards go to the others at the rate of rebalancing.

        Returns their count.
        """
        self.member.is_draining = is_enabled
        return len(self.member.held_shards())

    def hand_over(self, shards: list[int], successor: str | None) -> list[int]:
        """Releases shards to a member, by name, or to any; returns those that it held."""
        number = self.names.index(successor) if successor else None
        return self._step(lambda: self.member.release(clock(), shards, number, self))

    def close(self) -> None:
        """Releases what it holds, so that nobody has to wait for its leases to expire."""
        if self._is_closed:
            return
        if not self.store.has_failed():
            self.hand_over(self.member.held_shards(), None)
        self._is_closed = True
        if self._timer is not None:
            self._timer.cancel()
        self.connections.stop_listening()
        if self._admin_server is not None:
            self._admin_server.close()
        self.connections.close_links()
        self.store.committer.close()
