"""A member's own part of one shard: the state of the lease that it holds or requests."""

from dataclasses import dataclass, field
from enum import Enum

from ravenshelf.leadership.decisions.messages import Grant
from ravenshelf.leadership.decisions.output import PackedRecord


class LeaseState(Enum):
    """Where a member stands with a shard's lease. The values are those of the status and of counters."""

    IDLE = "none"
    PROBING = "probing"  # asks whether a quorum would grant
    REQUESTING = "asking"  # has asked for grants in a new term
    ESTABLISHING = "settling"  # granted; the record is written under the new term
    HELD = "owner"
    EXPIRED = "lapsed"  # was held; no quorum renewed it


class Permission(Enum):
    """Which orders may be sent for a shard."""

    FULL = "granting"
    REPEAT_ONLY = "keeping"  # only what repeats known tables


PENDING_STATES = (LeaseState.PROBING, LeaseState.REQUESTING, LeaseState.ESTABLISHING)
GRANTED_STATES = (LeaseState.HELD, LeaseState.ESTABLISHING)
TERM_STATES = (LeaseState.HELD, LeaseState.ESTABLISHING, LeaseState.EXPIRED)


@dataclass(slots=True)
class Claim:
    """Times are microseconds by the member's own clock; voters are member numbers."""

    state: LeaseState = LeaseState.IDLE
    term: int = 0
    requested_at: int = 0  # when the lease was requested in this term: it counts from here
    valid_until: int = 0
    retry_at: int = 0
    available_at: set[int] = field(default_factory=set)  # voters that would grant
    grants: dict[int, Grant] = field(default_factory=dict)  # voter: its grant
    renewed_by: dict[int, set[int]] = field(default_factory=dict)  # number of a renewal: voters that took it
    seq: int = 0  # of the newest record
    committed_seq: int = 0  # of the newest record that a quorum has
    record: PackedRecord = None
    written_seq: dict[int, int] = field(default_factory=dict)  # voter: newest record that it has
    written_at: int = 0  # when the newest record was last sent
    highest_promised: int = 0  # the latest term that a voter reported to have promised
    advance_term_at: int = 0  # when to request a later term, for voters that promised one (0: no need)

    def reset_replies(self) -> None:
        """Forgets what voters replied in the term before."""
        self.grants = {}
        self.renewed_by = {}
        self.written_seq = {}
        self.advance_term_at = 0
