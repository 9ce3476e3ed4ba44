"""Acquisition, renewal, release and expiry of shard leases, and the writing of shard records."""

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
    """The leases that one member holds or requests, one claim for each shard.

    Args:
        local_member: The number of the member that holds or requests the leases.
        member_count: The size of the cluster.
        quorum: How many voters have to grant or renew a lease, or accept a record.
        configuration: Durations and the number of shards.
        voter: The voter of the same member.
        rng: Draws the retry delays, so that members don't retry at the same time.
    """

    def __init__(
        self,
        local_member: int,
        member_count: int,
        quorum: int,
        configuration: LeaseConfiguration,
        voter: Voter,
        rng: random.Random,
    ) -> None:
        self.local_member = local_member
        self.member_count = member_count
        self.quorum = quorum
        self.configuration = configuration
        self.claims = [Claim() for _ in range(configuration.shards)]
        self._voter = voter
        self._rng = rng
        self._renewals = RenewalLog()

    def held_shards(self) -> list[int]:
        """Return the shards whose lease this member holds."""
        return [shard for shard, claim in enumerate(self.claims) if claim.state is LeaseState.HELD]

    def is_valid(self, now: int, shard: int, seq: int) -> bool:
        """Return whether the lease is valid and a quorum has accepted the shard's record number `seq`."""
        claim = self.claims[shard]
        return claim.state is LeaseState.HELD and now < claim.valid_until and claim.committed_seq >= seq

    def has_latest_term(self, shard: int) -> bool:
        """Return whether, as far as this member can tell, it holds the lease or was the last to hold it.

        False as soon as this member's own voter, or a reply of another one, shows a promise of a later term.
        """
        claim = self.claims[shard]
        if claim.state not in (LeaseState.HELD, LeaseState.EXPIRED):
            return False
        return max(self._voter.votes[shard].promised_term, claim.highest_promised_term) <= claim.term

    def write_record(self, now: int, shard: int, record: PackedRecord, output: LeaseOutput) -> int | None:
        """Send a shard's new record to all voters.

        Returns:
            The number of the record, which counts up from 1 in each term; None without a valid lease.
        """
        claim = self.claims[shard]
        if claim.state is not LeaseState.HELD or now >= claim.valid_until:
            return None
        claim.seq += 1
        claim.record = record
        self._send_record(now, shard, claim, output, range(self.member_count))
        return claim.seq

    def _send_record(
        self, now: int, shard: int, claim: Claim, output: LeaseOutput, voters: Iterable[int]
    ) -> None:
        claim.record_sent_at = now
        for member in voters:
            output.send(member, RecordWrite([ShardRecord(shard, claim.term, claim.seq, claim.record)]))

    def on_record_write_reply(
        self, now: int, member: int, reply: RecordWriteReply, output: LeaseOutput
    ) -> None:
        """Count the records that a voter has accepted.

        The lease is held from the moment when a quorum has accepted the first record of its term.
        """
        for shard, term, seq in reply.written_records:
            claim = self.claims[shard]
            if claim.term != term or claim.state not in GRANTED_STATES:
                continue
            claim.accepted_seqs[member] = max(seq, claim.accepted_seqs.get(member, 0))
            descending_seqs = sorted(claim.accepted_seqs.values(), reverse=True)
            if len(descending_seqs) >= self.quorum:
                claim.committed_seq = max(claim.committed_seq, descending_seqs[self.quorum - 1])
            is_established = claim.state is LeaseState.ESTABLISHING and claim.committed_seq >= 1
            if is_established and now < claim.valid_until:
                self._set_state(shard, LeaseState.HELD, output)
        self._on_superseded_terms(now, reply.rejected_terms)

    def probe(self, now: int, shards: Sequence[int], output: LeaseOutput) -> None:
        """Ask all voters whether they would grant leases, before any voter promises a term.

        Without this question a member that doesn't know the present holders, for example after a network
        partition, would make its own voter promise terms that lock the present holder out.
        """
        for shard in shards:
            claim = self.claims[shard]
            claim.state = LeaseState.PROBING
            claim.available_voters = set()
            claim.retry_at = now + self._retry_delay()
        if shards:
            self._broadcast(ProbeRequest(list(shards)), output)

    def on_probe_reply(self, now: int, member: int, reply: ProbeReply, output: LeaseOutput) -> None:
        """Request the leases that a quorum of voters would grant."""
        requestable_shards: list[int] = []
        for shard in reply.available_shards:
            claim = self.claims[shard]
            if claim.state is LeaseState.PROBING:
                claim.available_voters.add(member)
                if len(claim.available_voters) >= self.quorum:
                    requestable_shards.append(shard)
        if requestable_shards:
            self._request(now, requestable_shards, output)

    def _request(self, now: int, shards: Sequence[int], output: LeaseOutput) -> None:
        """Request leases, each in a term later than any that this member has seen for the shard."""
        terms: list[ShardTerm] = []
        for shard in shards:
            claim = self.claims[shard]
            latest_term = max(claim.term, claim.highest_promised_term, self._voter.votes[shard].promised_term)
            claim.term = (latest_term // TERM_STRIDE + 1) * TERM_STRIDE + self.local_member
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
        """Count the grants of a voter, and note the promised terms that its rejections contain.

        The next request for a rejected shard uses a later term than the promised one.
        """
        for grant in reply.granted_leases:
            claim = self.claims[grant.shard]
            if claim.state is not LeaseState.REQUESTING or claim.term != grant.term:
                continue
            claim.grants[member] = grant
            if len(claim.grants) >= self.quorum:
                self._establish(now, grant.shard, claim, output)
        for shard, promised_term in reply.rejected_terms:
            claim = self.claims[shard]
            claim.highest_promised_term = max(claim.highest_promised_term, promised_term)

    def _establish(self, now: int, shard: int, claim: Claim, output: LeaseOutput) -> None:
        """Write the newest record of the granting quorum under the new term, before any command is sent."""
        newest_grant = max(claim.grants.values(), key=lambda grant: (grant.accepted_term, grant.seq))
        claim.valid_until = claim.requested_at + self.configuration.usable_lease_us()
        claim.record = newest_grant.record
        claim.seq = 1
        claim.committed_seq = 0
        claim.state = LeaseState.ESTABLISHING
        claim.retry_at = claim.valid_until
        self._send_record(now, shard, claim, output, range(self.member_count))

    def renew(self, now: int, load: MemberLoad, output: LeaseOutput) -> None:
        """Send a heartbeat to all members, which renews all granted leases and reports the load."""
        terms = {
            shard: claim.term for shard, claim in enumerate(self.claims) if claim.state in GRANTED_STATES
        }
        renewal = self._renewals.add(now, terms)
        shard_terms = [ShardTerm(shard, term) for shard, term in terms.items()]
        self._broadcast(RenewalRequest(renewal.number, shard_terms, load), output)

    def on_renewal_reply(self, now: int, member: int, reply: RenewalReply, _output: LeaseOutput) -> None:
        """Count the renewals of a voter, and extend each lease that a quorum has renewed."""
        renewal = self._renewals.find(reply.number)
        if renewal is not None:
            usable_lease_us = self.configuration.usable_lease_us()
            for shard in reply.renewed_shards:
                claim = self.claims[shard]
                if renewal.terms.get(shard) == claim.term and claim.state in TERM_STATES:
                    count_renewal(claim, renewal, member, self.quorum, usable_lease_us)
        self._on_superseded_terms(now, reply.rejected_terms)

    def expire(self, now: int, quorum_last_contact: int, output: LeaseOutput) -> None:
        """Mark leases that were not renewed in time as expired.

        The claim of an expired lease becomes idle once a quorum has been reachable after the expiry; the
        lease can then be requested again, in a later term.

        Args:
            now: The present time, microseconds of this member's clock.
            quorum_last_contact: The latest time since which messages of a whole quorum have arrived.
            output: Receives the changes of state.
        """
        # the states are looked up once, because this loop runs over every shard at every tick
        held_state = LeaseState.HELD
        expired_state = LeaseState.EXPIRED
        for shard, claim in enumerate(self.claims):
            state = claim.state
            if state is held_state:
                if now >= claim.valid_until:
                    self._set_state(shard, expired_state, output)
            elif state is expired_state and quorum_last_contact > claim.valid_until:
                self._set_state(shard, LeaseState.IDLE, output)

    def release(
        self, now: int, shards: Iterable[int], successor: int | None, output: LeaseOutput
    ) -> list[int]:
        """Release leases: sending of commands ends at once, and the voters are notified.

        Args:
            now: Microseconds of this member's clock.
            shards: Shards whose lease is released; those without a claim are skipped.
            successor: The member that is to acquire the leases, or None for any.
            output: Receives the messages and the changes of state.

        Returns:
            The released shards. Shards without a claim are left out.
        """
        released_leases: list[ReleasedLease] = []
        for shard in shards:
            claim = self.claims[shard]
            if claim.state is LeaseState.IDLE:
                continue
            released_leases.append(ReleasedLease(shard, claim.term, successor))
            self._set_state(shard, LeaseState.IDLE, output)
            claim.retry_at = now + self.configuration.renewal_interval_us
        if released_leases:
            self._broadcast(LeaseRelease(released_leases), output)
        return [lease.shard for lease in released_leases]

    def tick(self, now: int, output: LeaseOutput) -> list[int]:
        """Abandon requests that were not granted in time, and resend records that are not committed.

        Returns:
            The times in microseconds at which claims need the next tick. Idle and expired claims have none.
        """
        # the states are looked up once, because this loop runs over every shard at every tick
        idle_state = LeaseState.IDLE
        held_state = LeaseState.HELD
        due_times = []
        for shard, claim in enumerate(self.claims):
            state = claim.state
            if state is idle_state:
                continue
            is_committed = claim.committed_seq >= claim.seq
            if state is held_state and is_committed and not claim.advance_term_at:
                due_times.append(claim.valid_until)  # the most frequent case: this claim needs no action
                continue
            next_due_at = self._tick_claim(now, shard, claim, output)
            if next_due_at is not None:
                due_times.append(next_due_at)
        return due_times

    def _tick_claim(self, now: int, shard: int, claim: Claim, output: LeaseOutput) -> int | None:
        if claim.state in PENDING_STATES and now >= claim.retry_at:
            self._set_state(shard, LeaseState.IDLE, output)
            claim.retry_at = now + self._rng.randrange(self.configuration.retry_delay_us)
        if claim.state is LeaseState.HELD and claim.advance_term_at and now >= claim.advance_term_at:
            self._request(now, [shard], output)
        is_uncommitted = claim.state in GRANTED_STATES and claim.committed_seq < claim.seq
        if is_uncommitted and now - claim.record_sent_at >= self.configuration.retry_delay_us:
            lagging_voters = [
                voter for voter in range(self.member_count) if claim.accepted_seqs.get(voter, 0) < claim.seq
            ]
            self._send_record(now, shard, claim, output, lagging_voters)
        if claim.state in PENDING_STATES:
            return claim.retry_at
        return claim.valid_until if claim.state is LeaseState.HELD else None

    def _on_superseded_terms(self, now: int, rejected_terms: Iterable[SupersededTerm]) -> None:
        """Schedule new lease requests after a voter has rejected the terms of held leases.

        The voter has promised a later term, so it no longer renews the lease. This doesn't end the lease,
        because a quorum of the other voters can still renew it. After one to two lease lengths, the lease is
        requested in a term later than the promised one, so that this voter grants and renews it again.
        """
        for shard, term, promised_term in rejected_terms:
            claim = self.claims[shard]
            claim.highest_promised_term = max(claim.highest_promised_term, promised_term)
            if claim.state is LeaseState.HELD and claim.term == term and not claim.advance_term_at:
                lease_us = self.configuration.lease_us
                claim.advance_term_at = now + lease_us + self._rng.randrange(lease_us)

    def end_superseded_lease(self, shard: int, output: LeaseOutput) -> None:
        """End the lease if this member's own voter has promised a later term."""
        claim = self.claims[shard]
        if claim.state in TERM_STATES and self._voter.votes[shard].promised_term > claim.term:
            self._set_state(shard, LeaseState.IDLE, output)

    def _set_state(self, shard: int, state: LeaseState, output: LeaseOutput) -> None:
        claim = self.claims[shard]
        if claim.state is state:
            return
        claim.state = state
        if state is LeaseState.IDLE:
            claim.reset_replies()
            claim.available_voters = set()
        output.lease_changed(shard, state, claim.term, claim.record)

    def _retry_delay(self) -> int:
        delay = self.configuration.retry_delay_us
        return delay + self._rng.randrange(delay)

    def _broadcast(self, message: Message, output: LeaseOutput) -> None:
        for member in range(self.member_count):
            output.send(member, message)
