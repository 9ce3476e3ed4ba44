"""Decisions of one control-plane server among several: shard leases that a quorum grants. No I/O, no clock.

Every member is a voter for every shard and may hold the leases of some. For each shard a voter stores the
term that it promised and the record that it accepted. In memory it keeps the member that it granted the
lease to, and the end of that grant. A lease holder needs grants of a quorum in one term. Holder and voters
each measure the length of the lease on their own clocks: the holder from the moment when it sent the
request, less the possible drift of the clocks, and the voters from the moment of their grant. So at most one
member holds a shard's lease at a time, even if messages are lost, duplicated or delayed, as long as clocks
drift apart by at most `LeaseConfiguration.clock_drift`.

Some commands must not be sent twice. Before a lease holder sends such a command, a quorum has accepted a
shard record that contains it (`Member.write_record`, `Member.permission`). A member that requests the lease
later reads the records of a quorum and continues from the newest one: it writes that record under its own
term before its first command. This is Paxos for one register per shard, with the term as ballot; it relies
on any two quorums having a voter in common. `tests/leadership` and `benchmarks.leases` run simulated members
under faults and check their histories.

Times are microseconds of a clock that also counts while the machine is suspended. Members are numbers from 0.
"""

from ravenshelf.leadership.decisions.claims import Claim, LeaseState, Permission
from ravenshelf.leadership.decisions.configuration import TERM_STRIDE, LeaseConfiguration
from ravenshelf.leadership.decisions.member import Member
from ravenshelf.leadership.decisions.messages import Message
from ravenshelf.leadership.decisions.output import LeaseOutput, PackedRecord
from ravenshelf.leadership.decisions.voter import Vote

__all__ = [
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
