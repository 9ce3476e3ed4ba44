"""Acquires, renews, releases and loses leases of shards, and writes their records."""

import random
from collections.abc import Iterable, Sequence

from ravenshelf.leadership.decisions.claims import (
    GRANTED_STATES,
    PENDING_STATES,
    TERM_STATES,
    Claim,
    LeaseState,
)
from ravenshelf.leadership.decisions.configuration import TERM_STRIDE, LeaseConfiguration
from ravenshelf.leadership.decisions.messages import (
    LeaseRelease,
    LeaseReply,
    LeaseRequest,
    MemberLoad,
    Message,
    ProbeReply,
    ProbeRequest,
    RecordWrite,
    RecordWriteReply,
    ReleasedLease,
    RenewalReply,
    RenewalRequest,
    ShardRecord,
    ShardTerm,
    SupersededTerm,
)
from ravenshelf.leadership.decisions.output import LeaseOutput, PackedRecord
from ravenshelf.leadership.decisions.renewals import RenewalLog, count_renewal
from ravenshelf.leadership.decisions.voter import Voter


class LeaseHolder:
    """The claims of one member, by shard. `rng` spreads retries."""

    def __init__(
        self,
        local_member: int,
        members: int,
        quorum: int,
        configuration: LeaseConfiguration,
        voter: Voter,
        rng: random.Random,
    ) -> None:
        self.local_member = local_member
        self.members = members
        self.quorum = quorum
        self.configuration = configuration
        self.claims = [Claim() for _ in range(configuration.shards)]
        self._voter = voter
        self._rng = rng
        self._renewals = RenewalLog()

    # --- what it holds ---

    def held_shards(self) -> list[int]:
        """Shards whose lease it holds."""
        return [shard for shard, claim in enumerate(self.claims) if claim.state is LeaseState.HELD]

    def is_valid(self, now: int, shard: int, seq: int) -> bool:
        """Whether the lease is valid and a quorum has the shard's record up to `seq`."""
        claim = self.claims[shard]
        return claim.state is LeaseState.HELD and now < claim.valid_until and claim.committed_seq >= seq

    def has_latest_known_term(self, shard: int) -> bool:
        """Whether it holds or held the lease and knows of no promise of a later term."""
        claim = self.claims[shard]
        if claim.state not in (LeaseState.HELD, LeaseState.EXPIRED):
            return False
        return max(self._voter.votes[shard].promised, claim.highest_promised) <= claim.term

    # --- records ---

    def write_record(self, now: int, shard: int, record: PackedRecord, output: LeaseOutput) -> int | None:
        """Sends a shard's new record to the voters; returns its number, or None without a valid lease."""
        claim = self.claims[shard]
        if claim.state is not LeaseState.HELD or now >= claim.valid_until:
            return None
        claim.seq += 1
        claim.record = record
        self._send_record(now, shard, claim, output, range(self.members))
        return claim.seq

    def _send_record(
        self, now: int, shard: int, claim: Claim, output: LeaseOutput, voters: Iterable[int]
    ) -> None:
        claim.written_at = now
        for member in voters:
            output.send(member, RecordWrite([ShardRecord(shard, claim.term, claim.seq, claim.record)]))

    def on_record_write_reply(
        self, now: int, member: int, reply: RecordWriteReply, output: LeaseOutput
    ) -> None:
        """A voter has accepted or rejected records: the first one that a quorum has establishes the lease."""
        for shard, term, seq in reply.written:
            claim = self.claims[shard]
            if claim.term != term or claim.state not in GRANTED_STATES:
                continue
            claim.written_seq[member] = max(seq, claim.written_seq.get(member, 0))
            newest = sorted(claim.written_seq.values(), reverse=True)
            if len(newest) >= self.quorum:
                claim.committed_seq = max(claim.committed_seq, newest[self.quorum - 1])
            is_established = claim.state is LeaseState.ESTABLISHING and claim.committed_seq >= 1
            if is_established and now < claim.valid_until:
                self._set_state(shard, LeaseState.HELD, output)
        self._on_superseded_terms(now, reply.rejected)

    # --- acquire ---

    def probe(self, now: int, shards: Sequence[int], output: LeaseOutput) -> None:
        """Asks whether a quorum would grant, before anyone promises.

        A member that knows too little of who holds what, as after a partition, would otherwise have its own
        voter promise terms that lock the present holder out.
        """
        for shard in shards:
            claim = self.claims[shard]
            claim.state = LeaseState.PROBING
            claim.available_at = set()
            claim.retry_at = now + self._retry_delay()
        if shards:
            self._broadcast(ProbeRequest(list(shards)), output)

    def on_probe_reply(self, now: int, member: int, reply: ProbeReply, output: LeaseOutput) -> None:
        """Requests the leases that a quorum would grant."""
        ready: list[int] = []
        for shard in reply.available:
            claim = self.claims[shard]
            if claim.state is LeaseState.PROBING:
                claim.available_at.add(member)
                if len(claim.available_at) >= self.quorum:
                    ready.append(shard)
        if ready:
            self._request(now, ready, output)

    def _request(self, now: int, shards: Sequence[int], output: LeaseOutput) -> None:
        """Requests leases, each in a term later than any that it knows of."""
        terms: list[ShardTerm] = []
        for shard in shards:
            claim = self.claims[shard]
            latest = max(claim.term, claim.highest_promised, self._voter.votes[shard].promised)
            claim.term = (latest // TERM_STRIDE + 1) * TERM_STRIDE + self.local_member
            claim.requested_at = now
            claim.valid_until = 0
            claim.retry_at = now + self._retry_delay()
            claim.reset_replies()
            claim.seq = 0
            claim.committed_seq = 0
            self._set_state(shard, LeaseState.REQUESTING, output)
            terms.append(ShardTerm(shard, claim.term))
        self._broadcast(LeaseRequest(terms), output)

    def on_lease_reply(self, now: int, member: int, reply: LeaseReply, output: LeaseOutput) -> None:
        """Counts grants; a rejection says which term the next request has to exceed."""
        for grant in reply.granted:
            claim = self.claims[grant.shard]
            if claim.state is not LeaseState.REQUESTING or claim.term != grant.term:
                continue
            claim.grants[member] = grant
            if len(claim.grants) >= self.quorum:
                self._establish(now, grant.shard, claim, output)
        for shard, promised in reply.rejected:
            claim = self.claims[shard]
            claim.highest_promised = max(claim.highest_promised, promised)

    def _establish(self, now: int, shard: int, claim: Claim, output: LeaseOutput) -> None:
        """A quorum has granted: its newest record is written under the new term, before any order."""
        newest = max(claim.grants.values(), key=lambda grant: (grant.accepted_term, grant.seq))
        claim.valid_until = claim.requested_at + self.configuration.usable_lease_us()
        claim.record = newest.record
        claim.seq = 1
        claim.committed_seq = 0
        claim.state = LeaseState.ESTABLISHING
        claim.retry_at = claim.valid_until
        self._send_record(now, shard, claim, output, range(self.members))

    # --- renew, expire, release ---

    def renew(self, now: int, load: MemberLoad, output: LeaseOutput) -> None:
        """Sends a heartbeat: renews all leases, and reports the load."""
        terms = {
            shard: claim.term for shard, claim in enumerate(self.claims) if claim.state in GRANTED_STATES
        }
        renewal = self._renewals.add(now, terms)
        shard_terms = [ShardTerm(shard, term) for shard, term in terms.items()]
        self._broadcast(RenewalRequest(renewal.number, shard_terms, load), output)

    def on_renewal_reply(self, now: int, member: int, reply: RenewalReply, _output: LeaseOutput) -> None:
        """A lease is valid for longer once a quorum has renewed it."""
        renewal = self._renewals.find(reply.number)
        if renewal is not None:
            usable_lease_us = self.configuration.usable_lease_us()
            for shard in reply.renewed:
                claim = self.claims[shard]
                if renewal.terms.get(shard) == claim.term and claim.state in TERM_STATES:
                    count_renewal(claim, renewal, member, self.quorum, usable_lease_us)
        self._on_superseded_terms(now, reply.rejected)

    def expire(self, now: int, quorum_last_contact: int, output: LeaseOutput) -> None:
        """Ends leases that nobody renewed; once a quorum is back they are requested in a later term."""
        held = LeaseState.HELD  # bound once: this runs for every shard at every tick
        expired = LeaseState.EXPIRED
        for shard, claim in enumerate(self.claims):
            state = claim.state
            if state is held:
                if now >= claim.valid_until:
                    self._set_state(shard, expired, output)
            elif state is expired and quorum_last_contact > claim.valid_until:
                self._set_state(shard, LeaseState.IDLE, output)

    def release(
        self, now: int, shards: Iterable[int], successor: int | None, output: LeaseOutput
    ) -> list[int]:
        """Gives leases up: orders end at once, then the voters are notified. Returns the shards."""
        released: list[ReleasedLease] = []
        for shard in shards:
            claim = self.claims[shard]
            if claim.state is LeaseState.IDLE:
                continue
            released.append(ReleasedLease(shard, claim.term, successor))
            self._set_state(shard, LeaseState.IDLE, output)
            claim.retry_at = now + self.configuration.renewal_interval_us
        if released:
            self._broadcast(LeaseRelease(released), output)
        return [lease.shard for lease in released]

    # --- time ---

    def tick(self, now: int, output: LeaseOutput) -> list[int]:
        """Gives up requests without an answer, sends records again; returns when each claim is due next."""
        idle = LeaseState.IDLE  # bound once: this runs for every shard at every tick
        held = LeaseState.HELD
        due = []
        for shard, claim in enumerate(self.claims):
            state = claim.state
            if state is idle:
                continue
            is_committed = claim.committed_seq >= claim.seq
            if state is held and is_committed and not claim.advance_term_at:
                due.append(claim.valid_until)  # the usual case: there is nothing to do
                continue
            next_due = self._tick_claim(now, shard, claim, output)
            if next_due is not None:
                due.append(next_due)
        return due

    def _tick_claim(self, now: int, shard: int, claim: Claim, output: LeaseOutput) -> int | None:
        if claim.state in PENDING_STATES and now >= claim.retry_at:
            self._set_state(shard, LeaseState.IDLE, output)
            claim.retry_at = now + self._rng.randrange(self.configuration.retry_delay_us)
        if claim.state is LeaseState.HELD and claim.advance_term_at and now >= claim.advance_term_at:
            self._request(now, [shard], output)
        is_uncommitted = claim.state in GRANTED_STATES and claim.committed_seq < claim.seq
        if is_uncommitted and now - claim.written_at >= self.configuration.retry_delay_us:
            behind = [m for m in range(self.members) if claim.written_seq.get(m, 0) < claim.seq]
            self._send_record(now, shard, claim, output, behind)
        if claim.state in PENDING_STATES:
            return claim.retry_at
        return claim.valid_until if claim.state is LeaseState.HELD else None

    # --- later terms ---

    def _on_superseded_terms(self, now: int, rejected: Iterable[SupersededTerm]) -> None:
        """A voter has promised a later term than ours.

        Alone it can't end the lease, a quorum decides that; but its renewals no longer count, so after a
        while the lease is requested in a still later term.
        """
        for shard, term, promised in rejected:
            claim = self.claims[shard]
            claim.highest_promised = max(claim.highest_promised, promised)
            if claim.state is LeaseState.HELD and claim.term == term and not claim.advance_term_at:
                lease_us = self.configuration.lease_us
                claim.advance_term_at = now + lease_us + self._rng.randrange(lease_us)

    def end_superseded_lease(self, shard: int, output: LeaseOutput) -> None:
        """Ends the lease where this member's own voter has promised a later term."""
        claim = self.claims[shard]
        if claim.state in TERM_STATES and self._voter.votes[shard].promised > claim.term:
            self._set_state(shard, LeaseState.IDLE, output)

    # --- common ---

    def _set_state(self, shard: int, state: LeaseState, output: LeaseOutput) -> None:
        claim = self.claims[shard]
        if claim.state is state:
            return
        claim.state = state
        if state is LeaseState.IDLE:
            claim.reset_replies()
            claim.available_at = set()
        output.lease_changed(shard, state, claim.term, claim.record)

    def _retry_delay(self) -> int:
        delay = self.configuration.retry_delay_us
        return delay + self._rng.randrange(delay)

    def _broadcast(self, message: Message, output: LeaseOutput) -> None:
        for member in range(self.members):
            output.send(member, message)
