"""Durations and rates of leases, equal at all members of a cluster."""

from dataclasses import dataclass

# a term is a ballot round multiplied by this, plus the member's number, so that no two members use one term
TERM_STRIDE = 4096


@dataclass(frozen=True)
class LeaseConfiguration:
    """Settings that all members of a cluster share. Members compare some of them when they connect.

    Times are microseconds.

    Attributes:
        shards: The number of shards.
        lease_us: The length of a lease.
        clock_drift: The share by which a clock may run too fast or too slow.
        renewal_interval_us: The interval between renewals.
        retry_delay_us: The delay after a rejected or unanswered request; a random addition of up to the
            same length is drawn.
        handovers_per_second: How many shards a second a member hands over to rebalance.
        takeovers_per_second: How many shards without a holder one member requests in a second.
        stability_period_us: How long a member has to be reachable before others hand shards over to it.
        loop_delay_limit_us: A member whose event loop is delayed by more than this counts as overloaded.
    """

    shards: int = 64
    lease_us: int = 1_500_000
    clock_drift: float = 0.05
    renewal_interval_us: int = 300_000
    retry_delay_us: int = 150_000
    handovers_per_second: float = 24.0
    takeovers_per_second: float = 400.0
    stability_period_us: int = 3_000_000
    loop_delay_limit_us: int = 150_000

    def usable_lease_us(self) -> int:
        """Return how long a holder may use its lease, in microseconds of its own clock after the request.

        This is shorter than `lease_us`, so that the lease ends before the grant of any voter even if the
        clocks of the holder and the voter drift.
        """
        return int(self.lease_us * (1 - self.clock_drift) / (1 + self.clock_drift))

    def quiet_period_us(self) -> int:
        """Return how long a voter grants nothing after its start, in microseconds of its own clock.

        Grants are not stored, so any that the voter made before its start have to expire first.
        """
        return int(self.lease_us * (1 + self.clock_drift) / (1 - self.clock_drift)) + 1
