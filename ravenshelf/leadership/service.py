"""The leadership service of a control-plane server: connections, storage and timers of a `Member`."""

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
from ravenshelf.leadership.decisions import LeaseState, Member, Message, PackedRecord
from ravenshelf.leadership.decisions.messages import RecordWriteReply
from ravenshelf.leadership.peer_connections import PeerConnections
from ravenshelf.leadership.persistence import VOTING_KEY, DurableOutbox, OutgoingMessage, VoteStore
from ravenshelf.leadership.status import member_status
from ravenshelf.state.counters import Counters
from ravenshelf.time_units import SECOND

SHORTEST_WAIT_S = 0.001
LONGEST_WAIT_S = 0.1
# Weights of a new measurement in the smoothed delay of the event loop, which rises quickly and falls slowly.
DELAY_RISE_WEIGHT = 0.5
DELAY_FALL_WEIGHT = 0.05

Result = TypeVar("Result")


class Leadership:
    """Runs a `Member`.

    It is the `LeaseOutput` of the member, and the `MessageReceiver` of the member's connections.
    `lease_listener` must be set before `start` is called.

    Args:
        settings: The table `[leadership]` of the operator file.
        folder: The folder that the table `[store]` of the operator file names.
        loop: The event loop.
        counters: The server's counters.
        rng: Draws the retry delays.
        on_failed: Called with the reason if this control-plane server can't continue.
    """

    lease_listener: LeaseListener

    def __init__(
        self,
        settings: LeadershipSettings,
        folder: str,
        loop: asyncio.AbstractEventLoop,
        counters: Counters,
        rng: random.Random,
        on_failed: Callable[[str], None],
    ) -> None:
        self.settings = settings
        self.loop = loop
        self.counters = counters
        self.names = sorted(settings.members)
        self.configuration = lease_configuration(settings)
        self.store = VoteStore(Path(folder), settings.cluster, settings.name, self._call_in_loop)
        agreed_settings = AgreedSettings(settings.shards, self.configuration.lease_us, len(self.names))
        self.membership = ClusterMembership(
            settings.name, settings.cluster, self.names, self.store.incarnation, agreed_settings
        )
        self.member = self._new_member(rng)
        self.connections = PeerConnections(settings, self.membership, loop, counters, self)
        self._outbox = DurableOutbox(self.store.committer, self._deliver, self._commit_ended)
        self._local_messages: deque[Message] = deque()
        self._on_failed = on_failed
        self._admin_server: asyncio.Server | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._is_in_step = False
        self._is_closed = False
        self._is_quorum_lost = False
        self._loop_delay_us = 0.0

    def _new_member(self, rng: random.Random) -> Member:
        """Return the member; the only member of a cluster has no other members to recover its votes from."""
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
        """The number of starts of this member since its disk was empty."""
        return self.membership.incarnation

    def store_vote(self, shard: int, promised: int, term: int, seq: int, record: PackedRecord) -> None:
        """Store a vote on disk as part of the present step."""
        self._outbox.store(shard, (promised, term, seq, record))

    def store_voting(self) -> None:
        """Store on disk, as part of the present step, that the member votes."""
        self._outbox.store(VOTING_KEY, True)

    def send(self, member: int, message: Message) -> None:
        """Send a message once the changes of the present step are on disk."""
        self._outbox.send(member, message)

    def lease_changed(self, shard: int, state: LeaseState, term: int, record: PackedRecord) -> None:
        """Count and log the change, and report it to the lease listener."""
        self.counters[f"shards_{state.value}"] += 1
        if state is LeaseState.HELD:
            log_events.LEASE_ACQUIRED(shard=shard, term=term)
            self.lease_listener.lease_acquired(shard, term, record)
        elif state is LeaseState.EXPIRED:
            log_events.LEASE_EXPIRED(shard=shard, term=term)
        elif state is LeaseState.IDLE and shard in self.lease_listener.owned_shards:
            log_events.LEASE_LOST(shard=shard, term=term)
            self.lease_listener.lease_lost(shard)

    def _run_step(self, action: Callable[[], Result]) -> Result:
        """Run an action of the member as one step, and return its result.

        What the step stores is on disk before any message of this step or a later one is sent.
        """
        if self._is_in_step:
            # The action was called from within a step, for a record that a command requires. It belongs to
            # that step.
            return action()
        self._is_in_step = True
        try:
            result = action()
            self._outbox.flush()
            while self._local_messages:
                message = self._local_messages.popleft()
                self.member.receive(clock(), self.membership.local_member, message, self)
                self._outbox.flush()
        finally:
            self._is_in_step = False
        return result

    def _deliver(self, messages: list[OutgoingMessage]) -> None:
        # The keys are ids of message objects, so that a message to several members is encoded once.
        frames: dict[int, bytes] = {}
        for member, message in messages:
            if member == self.membership.local_member:
                self._local_messages.append(message)
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
                self._on_failed(f"the store has failed: {error}")
            return
        self._deliver(messages)
        self._run_step(lambda: None)
        self.lease_listener.send_permitted()

    def receive_message(self, member: int, message: list) -> None:
        """Handle a message of another member, given as the list that was on the wire.

        Raises:
            MalformedMessageError: The list is not a message of the protocol.
        """
        self._run_step(lambda: self._receive_in_step(member, message))

    def message_handled(self, message: list) -> None:
        """Send the commands whose record a quorum may have accepted with this message."""
        if message[0] == message_codec.KIND_OF_TYPE[RecordWriteReply]:
            self.lease_listener.send_permitted()

    def _receive_in_step(self, member: int, message: list) -> None:
        now = clock()
        self.member.note_contact(now, member)
        if self.member.is_recovering and message[0] not in message_codec.KINDS_WHILE_RECOVERING:
            return
        self.member.receive(now, member, message_codec.decode(message), self)

    def write_record(self, shard: int, record: bytes) -> int | None:
        """Send a shard's record to the voters, and return its number, or None without a valid lease."""
        return self._run_step(lambda: self.member.write_record(clock(), shard, record, self))

    def _call_in_loop(self, callback: Callable[[], None]) -> None:
        with suppress(RuntimeError):  # the event loop raises this error once it is closed
            self.loop.call_soon_threadsafe(callback)

    def _tick(self) -> None:
        if self._is_closed:
            return
        now = clock()
        self.member.loop_delay_us = int(self._loop_delay_us)
        next_tick_at = self._run_step(lambda: self.member.tick(now, self))
        self.connections.close_silent(now)
        self._report_quorum(now)
        self.lease_listener.send_permitted()
        wait_s = max(SHORTEST_WAIT_S, min(LONGEST_WAIT_S, (next_tick_at - clock()) / SECOND))
        expected_at = self.loop.time() + wait_s
        self._timer = self.loop.call_at(expected_at, self._timer_fired, expected_at)

    def _report_quorum(self, now: int) -> None:
        is_lost = self.member.is_quorum_lost(now)
        if is_lost == self._is_quorum_lost:
            return
        self._is_quorum_lost = is_lost
        log_event = log_events.QUORUM_LOST if is_lost else log_events.QUORUM_REGAINED
        log_event(shards=len(self.lease_listener.owned_shards))

    def _timer_fired(self, expected_at: float) -> None:
        delay_us = max(0.0, self.loop.time() - expected_at) * SECOND
        weight = DELAY_RISE_WEIGHT if delay_us > self._loop_delay_us else DELAY_FALL_WEIGHT
        self._loop_delay_us += (delay_us - self._loop_delay_us) * weight
        self._tick()

    async def start(self) -> None:
        """Listen, dial the other members, and start to tick.

        Raises:
            OSError: The address or the admin socket can't be opened.
        """
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
        """Read the certificate files again for new connections; called at SIGHUP.

        Raises:
            OSError: A file can't be read or used.
        """
        self.connections.read_certificates()

    def status(self) -> dict[str, Any]:
        """Return the state of this member for operators."""
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
        """Begin to drain this member, or stop draining it if `is_enabled` is False.

        A draining member has weight 0, so that its shards go to the others at the rate of rebalancing.

        Returns:
            The number of shards that it holds now.
        """
        self.member.is_draining = is_enabled
        return len(self.member.held_shards())

    def hand_over(self, shards: list[int], successor: str | None) -> list[int]:
        """Release shards to the member with the name `successor`, or to any if it is None.

        Returns:
            The released shards. Shards without a claim are left out.
        """
        successor_number = self.names.index(successor) if successor else None
        return self._run_step(lambda: self.member.release(clock(), shards, successor_number, self))

    def close(self) -> None:
        """Release all leases, so that other members needn't wait for their expiry, and close everything."""
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
