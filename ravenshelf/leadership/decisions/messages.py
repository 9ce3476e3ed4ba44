"""Messages between members, one type for each; `leadership.message_codec` encodes them.

The fields and their order are those of the wire. A shard, a member and a term are numbers.
"""

from typing import NamedTuple, TypeAlias


class RecordedVote(NamedTuple):
    """What a voter stores of one shard: its promise, and the record that it accepted."""

    shard: int
    promised: int
    term: int
    seq: int
    record: bytes | None


class ShardTerm(NamedTuple):
    """A shard and the term that a member requests or holds its lease in."""

    shard: int
    term: int


class PromisedTerm(NamedTuple):
    """A rejected lease request: the term that the voter has promised, or promised to another member."""

    shard: int
    promised: int


class SupersededTerm(NamedTuple):
    """A rejected renewal or record: the voter has promised a later term than that of the sender."""

    shard: int
    term: int
    promised: int


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
    """A record that a voter has accepted."""

    shard: int
    term: int
    seq: int


class ReleasedLease(NamedTuple):
    """A lease that its holder gives up, and the member that is to take it over (None: any)."""

    shard: int
    term: int
    successor: int | None


class MemberLoad(NamedTuple):
    """What the share of a member depends on."""

    capacity: float
    is_draining: bool
    loop_delay_us: int


class StateRequest(NamedTuple):
    """A member whose disk was empty requests the votes of another."""


class StateReply(NamedTuple):
    """All votes of a voter; None from one that is recovering itself."""

    votes: list[RecordedVote] | None


class RenewalRequest(NamedTuple):
    """Heartbeat: renews the leases held, and reports the member's load."""

    number: int
    terms: list[ShardTerm]
    load: MemberLoad


class RenewalReply(NamedTuple):
    """Shards whose lease the voter has renewed, and those where it promised a later term."""

    number: int
    renewed: list[int]
    rejected: list[SupersededTerm]


class ProbeRequest(NamedTuple):
    """Asks whether a voter would grant leases; nobody promises anything."""

    shards: list[int]


class ProbeReply(NamedTuple):
    """The shards whose lease the voter would grant."""

    available: list[int]


class LeaseRequest(NamedTuple):
    """Requests leases, each in a new term."""

    terms: list[ShardTerm]


class LeaseReply(NamedTuple):
    """Leases that the voter has granted, and those that it has not."""

    granted: list[Grant]
    rejected: list[PromisedTerm]


class RecordWrite(NamedTuple):
    """A lease holder writes records."""

    records: list[ShardRecord]


class RecordWriteReply(NamedTuple):
    """Records that the voter has accepted, and those where it promised a later term."""

    written: list[WrittenRecord]
    rejected: list[SupersededTerm]


class LeaseRelease(NamedTuple):
    """A holder has given up leases."""

    released: list[ReleasedLease]


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
