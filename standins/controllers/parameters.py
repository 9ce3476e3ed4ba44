"""The times of a simulated day in microseconds, the faults, and the defects that a checker has to detect."""

from enum import Enum

from ravenshelf.leadership.decisions import LeaseConfiguration

MILLISECOND = 1000
SECOND = 1_000_000
FAULTS_BEGIN_US = 2 * SECOND
HEALED_AT_US = 14 * SECOND  # all faults have ended at this time
LAST_FAULT_US = HEALED_AT_US - SECOND
END_US = 21 * SECOND

SHED_LEVEL = 50.0  # the admission level that the decisions choose once they know the load
MAX_SYNC_US = 4 * MILLISECOND
MAX_SLOW_SYNC_US = 400 * MILLISECOND
MESSAGE_LOSS_PROBABILITY = 0.01
HIGH_MESSAGE_LOSS_PROBABILITY = 0.25


class Defect(Enum):
    """A deliberate defect of a member or of its environment."""

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
    """A kind of fault. The order of the members decides which one a seed draws."""

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
    """A step of a member at which a pending fault begins.

    The steps are a write to disk, the encoding of a command, and the time when a sent command is still in the
    buffer of its stream.
    """

    WRITE = "write"
    COMMAND = "command"
    BUFFER = "buffer"


class DriftIgnored(LeaseConfiguration):
    """A configuration with a deliberate defect: a lease holder ignores that clocks may drift."""

    def usable_lease_us(self) -> int:
        """Return the whole lease in microseconds, without a margin for drift."""
        return self.lease_us
