"""Decisions of one control-plane server among several: shard leases that a quorum grants. No I/O, no clock.

Every member is a voter for every shard and may hold the leases of some. For each shard a voter stores the
term that it promised and the record that it accepted; in memory it has to whom and until when it granted a
lease. A lease holder needs grants of a quorum in one term. A grant names the length of the lease, which
each side counts on its own clock: the holder from when it sent the request, less the drift of clocks, the
voters from when they granted. So at most one member holds a shard's lease at a time, however messages are
lost, duplicated or delayed, while clocks drift apart by `LeaseConfiguration.clock_drift` at most.

Before a lease holder sends an order that must not be sent twice, the order is on the shard's record with a
quorum (`Member.write_record`, `Member.permission`). A member that requests the lease later reads a quorum,
so it begins from that record: it writes what it read under its own term before its first order. This is
Paxos for one register a shard, with the term as ballot; it rests on any two quorums having a voter in
common. `tests/leadership` and `benchmarks.leases` compare it with a checker.

Times are microseconds of a clock that also counts while the machine is suspended. Members are numbers from 0.
"""

from ravenshelf.leadership.decisions.claims import Claim, LeaseState, Permission
from ravenshelf.leadership.decisions.configuration import SECOND, TERM_STRIDE, LeaseConfiguration
from ravenshelf.leadership.decisions.member import Member
from ravenshelf.leadership.decisions.messages import Message
from ravenshelf.leadership.decisions.output import LeaseOutput, PackedRecord
from ravenshelf.leadership.decisions.voter import Vote

__all__ = [
    "SECOND",
    "TERM_STRIDE",
    "Claim",
    "LeaseConfiguration",
    "LeaseOutput",
    "LeaseState",
    "Member",
    "Message",
    "PackedRecord",
    "Permission",
    "Vote",
]
