"""The voter of a member: it promises terms, grants leases and accepts records, for every shard."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import TypeAlias

from ravenshelf.leadership.decisions.configuration import LeaseConfiguration
from ravenshelf.leadership.decisions.messages import (
    Grant,
    LeaseReply,
    LeaseRequest,
    ProbeReply,
    ProbeRequest,
    PromisedTerm,
    RecordedVote,
    RecordWrite,
    RecordWriteReply,
    RenewalReply,
    RenewalRequest,
    SupersededTerm,
    WrittenRecord,
)
from ravenshelf.leadership.decisions.output import LeaseOutput, PackedRecord

# The promised term, the term and the number of the accepted record, and that record, by shard.
StoredVotes: TypeAlias = Mapping[int, tuple[int, int, int, PackedRecord]]


@dataclass(slots=True)
class Vote:
    """The state of a voter for one shard. `holder` and `granted_until` are in memory only.

    Attributes:
        promised_term: The latest promised term. Renewals and records of earlier terms are rejected, and so
            are lease requests in this term or an earlier one.
        accepted_term: The term of the accepted record.
        accepted_seq: The number of the accepted record in that term.
        record: The accepted record.
        holder: The member with the latest grant, or None.
        granted_until: When that grant expires, microseconds of this member's clock.
    """

    promised_term: int = 0
    accepted_term: int = 0
    accepted_seq: int = 0
    record: PackedRecord = None
    holder: int | None = None
    granted_until: int = 0

    def is_available_to(self, now: int, member: int) -> bool:
        """Return whether no member other than `member` has an unexpired grant."""
        return self.holder in (None, member) or now >= self.granted_until


class Voter:
    """The votes of one member, by shard.

    Args:
        configuration: Durations and the number of shards.
        stored: The votes that were read from disk, by shard.
        now: The present time, microseconds.
        on_promise: Called with the shard and the output after each promise, because a promise may end a
            lease of this member.
    """

    def __init__(
        self,
        configuration: LeaseConfiguration,
        stored: StoredVotes,
        now: int,
        on_promise: Callable[[int, LeaseOutput], None],
    ) -> None:
        self.configuration = configuration
        self.votes = [Vote() for _ in range(configuration.shards)]
        for shard, (promised_term, term, seq, record) in stored.items():
            self.votes[shard] = Vote(promised_term, term, seq, record)
        self.quiet_until = 0
        self.begin_quiet_period(now)
        self._on_promise = on_promise

    def begin_quiet_period(self, now: int) -> None:
        """Grant nothing until every lease that this voter may have granted before its start has expired."""
        self.quiet_until = now + self.configuration.quiet_period_us()

    def store(self, shard: int, output: LeaseOutput) -> None:
        """Store the shard's vote on disk."""
        vote = self.votes[shard]
        output.store_vote(shard, vote.promised_term, vote.accepted_term, vote.accepted_seq, vote.record)

    def recorded_votes(self) -> list[RecordedVote]:
        """Return the votes of all shards with a promise or an accepted record."""
        return [
            RecordedVote(shard, vote.promised_term, vote.accepted_term, vote.accepted_seq, vote.record)
            for shard, vote in enumerate(self.votes)
            if vote.promised_term or vote.accepted_seq
        ]

    def merge(self, recorded_vote: RecordedVote) -> None:
        """Adopt a promise or a record of another voter if it is later than the local one."""
        vote = self.votes[recorded_vote.shard]
        vote.promised_term = max(vote.promised_term, recorded_vote.promised_term)
        if (recorded_vote.accepted_term, recorded_vote.accepted_seq) > (
            vote.accepted_term,
            vote.accepted_seq,
        ):
            vote.accepted_term = recorded_vote.accepted_term
            vote.accepted_seq = recorded_vote.accepted_seq
            vote.record = recorded_vote.record

    def on_probe(self, now: int, member: int, request: ProbeRequest, output: LeaseOutput) -> None:
        """Reply with the leases that this voter would grant now, without promising a term."""
        available_shards = [
            shard
            for shard in request.shards
            if now >= self.quiet_until and self.votes[shard].is_available_to(now, member)
        ]
        output.send(member, ProbeReply(available_shards))

    def on_lease_request(self, now: int, member: int, request: LeaseRequest, output: LeaseOutput) -> None:
        """Grant each lease whose term is later than the promised one, unless another member holds a grant."""
        granted_leases: list[Grant] = []
        rejected_terms: list[PromisedTerm] = []
        for shard, term in request.terms:
            vote = self.votes[shard]
            is_available = vote.is_available_to(now, member)
            if term <= vote.promised_term or not is_available or now < self.quiet_until:
                rejected_terms.append(PromisedTerm(shard, vote.promised_term))
                continue
            vote.promised_term = term
            vote.holder = member
            vote.granted_until = now + self.configuration.lease_us
            self.store(shard, output)
            granted_leases.append(Grant(shard, term, vote.accepted_term, vote.accepted_seq, vote.record))
            self._on_promise(shard, output)
        output.send(member, LeaseReply(granted_leases, rejected_terms))

    def on_record_write(self, now: int, member: int, request: RecordWrite, output: LeaseOutput) -> None:
        """Accept records of the promised term or a later one."""
        written_records: list[WrittenRecord] = []
        rejected_terms: list[SupersededTerm] = []
        for shard, term, seq, record in request.records:
            vote = self.votes[shard]
            if term < vote.promised_term:
                rejected_terms.append(SupersededTerm(shard, term, vote.promised_term))
                continue
            if (term, seq) > (vote.accepted_term, vote.accepted_seq):
                vote.promised_term = term
                vote.accepted_term = term
                vote.accepted_seq = seq
                vote.record = record
                if vote.holder != member:
                    # this voter missed the request that a quorum granted, and acts as if it had granted it
                    vote.holder = member
                    vote.granted_until = max(vote.granted_until, now + self.configuration.lease_us)
                self.store(shard, output)
                self._on_promise(shard, output)
            written_records.append(WrittenRecord(shard, term, seq))
        output.send(member, RecordWriteReply(written_records, rejected_terms))

    def on_renewal(self, now: int, member: int, request: RenewalRequest, output: LeaseOutput) -> None:
        """Renew grants of the promised term or a later one."""
        renewed_shards: list[int] = []
        rejected_terms: list[SupersededTerm] = []
        for shard, term in request.terms:
            vote = self.votes[shard]
            if term > vote.promised_term and vote.is_available_to(now, member):
                # A quorum granted this term while this voter was unreachable. The lease request is not sent
                # again, so the voter has to adopt the term from the renewal.
                vote.promised_term = term
                self.store(shard, output)
                self._on_promise(shard, output)
            if term == vote.promised_term and vote.is_available_to(now, member):
                vote.holder = member
                vote.granted_until = now + self.configuration.lease_us
                renewed_shards.append(shard)
            elif term < vote.promised_term:
                rejected_terms.append(SupersededTerm(shard, term, vote.promised_term))
        output.send(member, RenewalReply(request.number, renewed_shards, rejected_terms))

    def end_grant(self, member: int, shard: int, term: int) -> bool:
        """End the grant of a lease that its holder has released.

        Returns:
            True if this voter had granted the lease to that member in that term.
        """
        vote = self.votes[shard]
        if vote.promised_term != term or vote.holder != member:
            return False
        vote.holder = None
        vote.granted_until = 0
        return True
