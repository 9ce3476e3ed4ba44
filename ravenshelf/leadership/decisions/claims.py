"""The state of the lease that a member holds or requests for one shard."""

from dataclasses import dataclass, field
from enum import Enum

from ravenshelf.leadership.decisions.messages import Grant
from ravenshelf.leadership.decisions.output import PackedRecord


class LeaseState(Enum):
    """The state of a member's lease of a shard. The values appear in the status and in counter names."""

    IDLE = "none"
    # voters were asked whether they would grant the lease
    PROBING = "probing"
    # grants were requested in a new term
    REQUESTING = "asking"
    # a quorum has granted the lease, and the record is being written under the new term
    ESTABLISHING = "settling"
    HELD = "owner"
    # the lease was held, but no quorum renewed it in time
    EXPIRED = "lapsed"


class Permission(Enum):
    """Which commands may be sent for a shard."""

    FULL = "granting"
    # only commands that repeat previous tables may be sent
    REPEAT_ONLY = "keeping"


PENDING_STATES = (LeaseState.PROBING, LeaseState.REQUESTING, LeaseState.ESTABLISHING)
GRANTED_STATES = (LeaseState.HELD, LeaseState.ESTABLISHING)
# In these states the lease was granted in the claim's term, and the local voter has promised no later term.
TERM_STATES = (LeaseState.HELD, LeaseState.ESTABLISHING, LeaseState.EXPIRED)


@dataclass(slots=True)
class Claim:
    """The lease of one shard as its holder sees it. Times are microseconds of the member's own clock.

    Attributes:
        state: The state of the lease.
        term: The term of the latest request.
        requested_at: When the lease was requested in this term. The length of the lease counts from
            this time.
        valid_until: When the lease expires.
        retry_at: In a pending state, the time at which the request is abandoned; otherwise the earliest time
            of the next request.
        available_voters: Voters that replied to the probe that they would grant the lease.
        grants: The grants in this term, by voter.
        renewed_by: The voters that accepted a renewal, by the renewal's number.
        seq: The number of the newest record in this term; 0 if there is none.
        committed_seq: The number of the newest record that a quorum has accepted.
        record: The newest record.
        accepted_seqs: The number of the newest record that each voter has accepted.
        record_sent_at: When the newest record was last sent.
        highest_promised_term: The latest term that a voter reported as promised.
        advance_term_at: When to request the lease in a later term, because a voter has promised one; 0 if
            this is not necessary.
    """

    state: LeaseState = LeaseState.IDLE
    term: int = 0
    requested_at: int = 0
    valid_until: int = 0
    retry_at: int = 0
    available_voters: set[int] = field(default_factory=set)
    grants: dict[int, Grant] = field(default_factory=dict)
    renewed_by: dict[int, set[int]] = field(default_factory=dict)
    seq: int = 0
    committed_seq: int = 0
    record: PackedRecord = None
    accepted_seqs: dict[int, int] = field(default_factory=dict)
    record_sent_at: int = 0
    highest_promised_term: int = 0
    advance_term_at: int = 0

    def reset_replies(self) -> None:
        """Discard what voters replied in the previous term."""
        self.grants = {}
        self.renewed_by = {}
        self.accepted_seqs = {}
        self.advance_term_at = 0
