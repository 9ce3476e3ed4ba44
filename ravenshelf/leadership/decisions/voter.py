"""A voter: promises, grants of leases, and accepted records. It decides for every shard."""

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

StoredVotes: TypeAlias = Mapping[
    int, tuple[int, int, int, PackedRecord]
]  # shard: (promised, term, seq, record)


@dataclass(slots=True)
class Vote:
    """A voter's part of one shard. `holder` and `granted_until` are in memory only."""

    promised: int = 0
    term: int = 0  # of the accepted record
    seq: int = 0  # of the accepted record
    record: PackedRecord = None
    holder: int | None = None
    granted_until: int = 0  # by this member's clock

    def is_available_to(self, now: int, member: int) -> bool:
        """Whether no other member has an unexpired grant."""
        return self.holder in (None, member) or now >= self.granted_until


class Voter:
    """`superseded(shard, output)` is called after each promise that may end a lease of this member."""

    def __init__(
        self,
        configuration: LeaseConfiguration,
        stored: StoredVotes,
        now: int,
        superseded: Callable[[int, LeaseOutput], None],
    ) -> None:
        self.configuration = configuration
        self.votes = [Vote() for _ in range(configuration.shards)]
        for shard, (promised, term, seq, record) in stored.items():
            self.votes[shard] = Vote(promised, term, seq, record)
        self.quiet_until = 0
        self.begin_quiet_period(now)
        self._superseded = superseded

    def begin_quiet_period(self, now: int) -> None:
        """Grants nothing until any lease that it may have granted before has expired."""
        self.quiet_until = now + self.configuration.quiet_period_us()

    def store(self, shard: int, output: LeaseOutput) -> None:
        """Stores the shard's vote."""
        vote = self.votes[shard]
        output.store_vote(shard, vote.promised, vote.term, vote.seq, vote.record)

    def recorded_votes(self) -> list[RecordedVote]:
        """All votes with a promise or a record."""
        return [
            RecordedVote(shard, vote.promised, vote.term, vote.seq, vote.record)
            for shard, vote in enumerate(self.votes)
            if vote.promised or vote.seq
        ]

    def merge(self, recorded: RecordedVote) -> None:
        """Takes over a promise or record of another voter where it is later."""
        vote = self.votes[recorded.shard]
        vote.promised = max(vote.promised, recorded.promised)
        if (recorded.term, recorded.seq) > (vote.term, vote.seq):
            vote.term = recorded.term
            vote.seq = recorded.seq
            vote.record = recorded.record

    # --- requests ---

    def on_probe(self, now: int, member: int, request: ProbeRequest, output: LeaseOutput) -> None:
        """Replies which leases it would grant."""
        available = [
            shard
            for shard in request.shards
            if now >= self.quiet_until and self.votes[shard].is_available_to(now, member)
        ]
        output.send(member, ProbeReply(available))

    def on_lease_request(self, now: int, member: int, request: LeaseRequest, output: LeaseOutput) -> None:
        """Grants leases in terms later than any that it promised, unless another's grant is unexpired."""
        granted: list[Grant] = []
        rejected: list[PromisedTerm] = []
        for shard, term in request.terms:
            vote = self.votes[shard]
            is_available = vote.is_available_to(now, member)
            if term <= vote.promised or not is_available or now < self.quiet_until:
                rejected.append(PromisedTerm(shard, vote.promised))
                continue
            vote.promised = term
            vote.holder = member
            vote.granted_until = now + self.configuration.lease_us
            self.store(shard, output)
            granted.append(Grant(shard, term, vote.term, vote.seq, vote.record))
            self._superseded(shard, output)
        output.send(member, LeaseReply(granted, rejected))

    def on_record_write(self, now: int, member: int, request: RecordWrite, output: LeaseOutput) -> None:
        """Accepts records of the promised term or a later one."""
        written: list[WrittenRecord] = []
        rejected: list[SupersededTerm] = []
        for shard, term, seq, record in request.records:
            vote = self.votes[shard]
            if term < vote.promised:
                rejected.append(SupersededTerm(shard, term, vote.promised))
                continue
            if (term, seq) > (vote.term, vote.seq):
                vote.promised = term
                vote.term = term
                vote.seq = seq
                vote.record = record
                if (
                    vote.holder != member
                ):  # it missed the request that others granted: as if it had received it
                    vote.holder = member
                    vote.granted_until = max(vote.granted_until, now + self.configuration.lease_us)
                self.store(shard, output)
                self._superseded(shard, output)
            written.append(WrittenRecord(shard, term, seq))
        output.send(member, RecordWriteReply(written, rejected))

    def on_renewal(self, now: int, member: int, request: RenewalRequest, output: LeaseOutput) -> None:
        """Renews grants of the promised term or a later one."""
        renewed: list[int] = []
        rejected: list[SupersededTerm] = []
        for shard, term in request.terms:
            vote = self.votes[shard]
            if term > vote.promised and vote.is_available_to(now, member):
                # a quorum granted it while this voter was unreachable: it would never learn of it otherwise
                vote.promised = term
                self.store(shard, output)
                self._superseded(shard, output)
            if term == vote.promised and vote.is_available_to(now, member):
                vote.holder = member
                vote.granted_until = now + self.configuration.lease_us
                renewed.append(shard)
            elif term < vote.promised:
                rejected.append(SupersededTerm(shard, term, vote.promised))
        output.send(member, RenewalReply(request.number, renewed, rejected))

    def end_grant(self, member: int, shard: int, term: int) -> bool:
        """The holder has released the lease. True: this voter had granted it in that term."""
        vote = self.votes[shard]
        if vote.promised != term or vote.holder != member:
            return False
        vote.holder = None
        vote.granted_until = 0
        return True
