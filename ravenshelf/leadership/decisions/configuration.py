"""Durations and rates of the leases, which all members of a cluster share."""

from dataclasses import dataclass

SECOND = 1_000_000  # microseconds
TERM_STRIDE = 4096  # a term is a ballot round times this, plus the member: no two members share one


@dataclass(frozen=True)
class LeaseConfiguration:
    """What all members of a cluster agree on (checked when they connect), and rates.

    Times in microseconds.
    """

    shards: int = 64
    lease_us: int = 1_500_000
    clock_drift: float = 0.05  # share by which a clock may run too fast or too slow
    renewal_interval_us: int = 300_000
    retry_delay_us: int = (
        150_000  # after a rejection or a reply that did not come; up to as much again is drawn
    )
    handovers_per_second: float = 24.0  # shards handed over to rebalance
    takeovers_per_second: float = 400.0  # shards of a lost member that one member requests
    stability_period_us: int = 3_000_000  # a member gets shards of others once it is reachable for so long
    loop_delay_limit_us: int = 150_000  # an event loop that is later counts as overloaded

    def usable_lease_us(self) -> int:
        """How long a lease holder may rely on its lease, by its own clock."""
        return int(self.lease_us * (1 - self.clock_drift) / (1 + self.clock_drift))

    def quiet_period_us(self) -> int:
        """How long a voter grants nothing after its start: it does not know what it granted before."""
        return int(self.lease_us * (1 + self.clock_drift) / (1 - self.clock_drift)) + 1
