"""Messages between members, one type per message; `leadership.message_codec` encodes them.

The fields are sent in the order in which they are declared. Shards, members and terms are numbers.
"""

from typing import NamedTuple, TypeAlias


class RecordedVote(NamedTuple):
    """What a voter stores for one shard: its promise, and the record that it accepted."""

    shard: int
    promised_term: int
    accepted_term: int
    accepted_seq: int
    record: bytes | None


class ShardTerm(NamedTuple):
    """A shard, and the term in which a member requests or holds its lease."""

    shard: int
    term: int


class PromisedTerm(NamedTuple):
    """A rejected lease request, and the term that the voter has promised for the shard."""

    shard: int
    promised_term: int


class SupersededTerm(NamedTuple):
    """A rejected renewal or record: the voter has promised a later term than that of the sender."""

    shard: int
    term: int
    promised_term: int


class Grant(NamedTuple):
    """A granted lease, with the record that the voter had accepted."""

    shard: int
    term: int
    accepted_term: int
    seq: int
    record: bytes | None


class ShardRecord(NamedTuple):
    """A record that a lease holder writes."""

    shard: int
    term: int
    seq: int
    record: bytes | None


class WrittenRecord(NamedTuple):
    """The identity of a record that a voter has accepted."""

    shard: int
    term: int
    seq: int


class ReleasedLease(NamedTuple):
    """A lease that its holder released, and the member that is to acquire it (None: any)."""

    shard: int
    term: int
    successor: int | None


class MemberLoad(NamedTuple):
    """The load of a member, from which its weight is computed."""

    capacity: float
    is_draining: bool
    loop_delay_us: int


class StateRequest(NamedTuple):
    """A request for all votes, sent by a member whose disk was empty."""


class StateReply(NamedTuple):
    """All votes of a voter, or None while the voter is recovering itself."""

    votes: list[RecordedVote] | None


class RenewalRequest(NamedTuple):
    """A heartbeat, which renews the sender's leases and reports its load."""

    number: int
    terms: list[ShardTerm]
    load: MemberLoad


class RenewalReply(NamedTuple):
    """The shards whose lease the voter has renewed, and those for which it promised a later term."""

    number: int
    renewed_shards: list[int]
    rejected_terms: list[SupersededTerm]


class ProbeRequest(NamedTuple):
    """A question whether a voter would grant leases; the voter promises nothing."""

    shards: list[int]


class ProbeReply(NamedTuple):
    """The shards whose lease the voter would grant."""

    available_shards: list[int]


class LeaseRequest(NamedTuple):
    """A request for leases, each in a new term."""

    terms: list[ShardTerm]


class LeaseReply(NamedTuple):
    """The leases that the voter has granted, and the requests that it has rejected."""

    granted_leases: list[Grant]
    rejected_terms: list[PromisedTerm]


class RecordWrite(NamedTuple):
    """Records that a lease holder writes."""

    records: list[ShardRecord]


class RecordWriteReply(NamedTuple):
    """The records that the voter has accepted, and those for which it promised a later term."""

    written_records: list[WrittenRecord]
    rejected_terms: list[SupersededTerm]


class LeaseRelease(NamedTuple):
    """The leases that their holder has released."""

    released_leases: list[ReleasedLease]


Message: TypeAlias = (
    StateRequest
    | StateReply
    | RenewalRequest
    | RenewalReply
    | ProbeRequest
    | ProbeReply
    | LeaseRequest
    | LeaseReply
    | RecordWrite
    | RecordWriteReply
    | LeaseRelease
)
