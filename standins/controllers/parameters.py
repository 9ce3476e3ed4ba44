"""Times of a simulated day, its faults, and the defects that a checker has to find. Microseconds."""

from enum import Enum

from ravenshelf.leadership.decisions import LeaseConfiguration

MILLISECOND = 1000
SECOND = 1_000_000
FAULTS_BEGIN_US = 2 * SECOND
HEALED_AT_US = 14 * SECOND  # from here on there is no fault any more
LAST_FAULT_US = HEALED_AT_US - SECOND
END_US = 21 * SECOND

SHED_LEVEL = 50.0  # the admission level that the decisions want once they have learnt the load
SYNC_LIMIT_US = 4 * MILLISECOND
SLOW_SYNC_LIMIT_US = 400 * MILLISECOND
MESSAGE_LOSS = 0.01
ROUGH_MESSAGE_LOSS = 0.25


class Defect(Enum):
    """A deliberate defect of a member or of its surroundings."""

    NO_FENCE_AT_PROXIES = "no fence at proxies"
    LEASE_CHECKED_BEFORE_ENCODING = "lease checked before encoding"
    RECORD_AFTER_SENDING = "record after sending"
    DRIFT_IGNORED = "drift ignored"
    NO_QUIET_PERIOD = "no quiet period after a start"
    EMPTY_DISK_VOTES = "empty disk votes at once"
    REPLY_BEFORE_SYNC = "reply before the disk"
    RECORD_IGNORED = "own view instead of the record"
    QUORUM_OF_ONE = "quorum of one voter"


class Fault(Enum):
    """What happens to a member, in the order in which a schedule draws from them."""

    KILL = "kill"
    KILL_AT_WRITE = "kill at a write"
    KILL_AND_PARTITION = "kill and partition"
    PAUSE = "pause"
    PAUSE_AT_COMMAND = "pause at a command"
    PAUSE_IN_BUFFER = "pause in a buffer"
    PARTITION = "partition"
    ONE_WAY_PARTITION = "one-way partition"
    ISOLATION = "isolation"
    MESSAGE_LOSS = "message loss"
    SLOW_DISK = "slow disk"
    DRAIN = "drain"
    LATE_LOOP = "late event loop"
    EMPTY_DISK = "empty disk"


class FaultMoment(Enum):
    """The moment for which a fault waits."""

    WRITE = "write"
    COMMAND = "command"
    BUFFER = "buffer"


class DriftIgnored(LeaseConfiguration):
    """A deliberate defect: a lease holder relies on the whole lease, whatever the clocks do."""

    def usable_lease_us(self) -> int:
        """All of the lease."""
        return self.lease_us
