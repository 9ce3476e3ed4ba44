"""The spill solver (KurmaCost): the share of each zone's demand that other zones serve.

The solver greedily moves small shares of demand (quanta) between zones. It moves only as much as is needed
for the miss share of every zone to meet the target. Where that is impossible, it makes the moves that reduce
the misses of all zones most. No zone both sends and receives demand. A zone without observations
neither sends nor receives, except that the demand of zones without capacity always moves to the least loaded
zones with capacity, observed or not.
"""

from collections.abc import Sequence

from ravenshelf.policy.miss_curves import Point, read_curve

# The target: at most this share of a zone's requests may miss.
TARGET_MISS_SHARE = 0.05
# One move takes this share of the sending zone's demand.
QUANTUM = 0.01
# Quanta are coarser with more zones than this, because the work grows with the third power of the number of
# zones.
ZONES_WITH_FINE_QUANTA = 8
# The demand may grow by this factor before the tables are in use.
DEMAND_MARGIN = 1.2
# Smaller gains, in misses per request of the sending zone's demand, are rounding errors.
MINIMUM_GAIN = 1e-9

Pair = tuple[int, int]  # sending zone, receiving zone


def solve_spill(
    demand: Sequence[float],
    capacity: Sequence[float],
    curves: Sequence[list[Point] | None],
    load_factors: Sequence[Sequence[float]],
) -> list[list[float]]:
    """Compute the spill shares.

    Args:
        demand: The requests per second of each zone.
        capacity: The present capacity of each zone: the listed weight of its endpoints, reduced by slow start
            and by the health score.
        curves: The fitted miss curve of each zone; None or empty without observations.
        load_factors: `load_factors[sender][receiver]` is a factor on the load of the receiving zone, which
            accounts for the latency between the zones.

    Returns:
        One row for each sending zone with one column for each serving zone. Each row adds up to 1.
    """
    return KurmaCostSolver(demand, capacity, curves, load_factors).solve()


class KurmaCostSolver:
    """One search for spill shares; `solve_spill` describes the arguments."""

    def __init__(
        self,
        demand: Sequence[float],
        capacity: Sequence[float],
        curves: Sequence[list[Point] | None],
        load_factors: Sequence[Sequence[float]],
    ):
        self._demand = demand
        self._capacity = capacity
        self._curves = curves
        self._load_factors = load_factors
        self._zones = range(len(demand))
        self._zones_with_capacity = [zone for zone in self._zones if capacity[zone] > 0]
        self._load = list(demand)  # requests per second that each zone serves
        self._shares = [[float(sender == zone) for zone in self._zones] for sender in self._zones]
        self._senders: set[int] = set()
        self._receivers: set[int] = set()
        self._quantum = 1 / round(1 / QUANTUM / max(1, len(demand) / ZONES_WITH_FINE_QUANTA))

    def solve(self) -> list[list[float]]:
        """Run the search and return the spill shares."""
        if self._zones_with_capacity:
            self._move_demand_of_zones_without_capacity()
        self._reach_target()
        self._reduce_misses()
        return self._shares

    def _move_demand_of_zones_without_capacity(self) -> None:
        """Move the whole demand of zones without capacity, each quantum to the least loaded zone."""
        for sender in self._zones:
            if self._capacity[sender] > 0:
                continue
            for _ in range(round(1 / self._quantum)):
                self._move(sender, self._least_loaded_receiver(sender))
            self._shares[sender][sender] = 0.0

    def _least_loaded_receiver(self, sender: int) -> int:
        added_requests = self._quantum * self._demand[sender]
        load_factors = self._load_factors[sender]
        return min(
            self._zones_with_capacity,
            key=lambda zone: (self._load[zone] + added_requests) / self._capacity[zone] * load_factors[zone],
        )

    def _reach_target(self) -> None:
        """Move quanta away from zones over the target, as long as the target is met at the receiving zone."""
        while True:
            senders = [
                zone for zone in self._zones_with_capacity if self._zone_misses(zone) > TARGET_MISS_SHARE
            ]
            candidates = [
                (self._worst_miss_share_after(sender, receiver), sender, receiver)
                for sender, receiver in self._possible_moves(senders)
            ]
            if not candidates:
                return
            worst_miss_share, sender, receiver = min(candidates)
            if worst_miss_share > TARGET_MISS_SHARE:
                return
            self._move(sender, receiver)

    def _worst_miss_share_after(self, sender: int, receiver: int) -> float:
        """Return the higher of two miss shares at the receiver after one more move.

        The two are the miss share of the sender's requests at the receiver, and that of the receiver's own
        requests.
        """
        added_requests = self._quantum * self._demand[sender]
        return max(
            self._miss_share(sender, receiver, added_requests),
            self._miss_share(receiver, receiver, added_requests),
        )

    def _reduce_misses(self) -> None:
        """Make the moves that reduce the misses of all zones most, while any zone exceeds the target."""
        gains: dict[Pair, float] = {}
        while self._any_zone_over_target():
            pairs = self._possible_moves(self._zones_with_capacity)
            for pair in pairs:
                if pair not in gains:
                    gains[pair] = self._gain(*pair)
            if not pairs:
                return
            best_gain, sender, receiver = max((gains[pair], *pair) for pair in pairs)
            if best_gain <= MINIMUM_GAIN:
                return
            self._move(sender, receiver)
            # The gains of pairs with another sender and another receiver are unchanged: the load of their
            # zones is the same as before.
            gains = {pair: gain for pair, gain in gains.items() if pair[0] != sender and pair[1] != receiver}

    def _any_zone_over_target(self) -> bool:
        return any(self._zone_misses(zone) > TARGET_MISS_SHARE for zone in self._zones if self._demand[zone])

    def _gain(self, sender: int, receiver: int) -> float:
        """Return the misses that one move avoids, per request of the sending zone's demand."""
        quantum = self._quantum
        return (
            self._misses_at(sender, sender, 0)
            - self._misses_at(sender, sender, -quantum)
            + self._misses_at(receiver, sender, 0)
            - self._misses_at(receiver, sender, quantum)
        ) / self._demand[sender]

    def _misses_at(self, zone: int, sender: int, moved_share: float) -> float:
        """Return the misses per second at a zone if it served `moved_share` more of a sender's demand."""
        demand = self._demand
        shares = self._shares
        added_requests = moved_share * demand[sender]
        return sum(
            demand[other]
            * (shares[other][zone] + moved_share * (other == sender))
            * self._miss_share(other, zone, added_requests)
            for other in self._zones
            if shares[other][zone] or other == sender
        )

    def _zone_misses(self, sender: int) -> float:
        """Return the share of a zone's requests that miss, in whatever zone they are served."""
        shares = self._shares[sender]
        return sum(
            shares[zone] * self._miss_share(sender, zone)
            for zone in self._zones_with_capacity
            if shares[zone]
        )

    def _miss_share(self, sender: int, zone: int, added_requests: float = 0.0) -> float:
        """Return the miss share of a sender's requests at a zone if `added_requests` per second are added."""
        curve = self._curves[zone]
        if not curve:
            return 0.0
        load = (
            DEMAND_MARGIN
            * (self._load[zone] + added_requests)
            / self._capacity[zone]
            * self._load_factors[sender][zone]
        )
        return read_curve(curve, load)

    def _possible_moves(self, senders: Sequence[int]) -> list[Pair]:
        """Return the pairs of zones between which a quantum may move, for the given senders."""
        receivers = [
            zone for zone in self._zones_with_capacity if self._curves[zone] and zone not in self._senders
        ]
        allowed_senders = [zone for zone in senders if self._may_send(zone)]
        return [
            (sender, receiver) for sender in allowed_senders for receiver in receivers if receiver != sender
        ]

    def _may_send(self, zone: int) -> bool:
        return bool(
            self._curves[zone]
            and zone not in self._receivers
            and self._demand[zone]
            and self._shares[zone][zone] >= self._quantum
        )

    def _move(self, sender: int, receiver: int) -> None:
        quantum = self._quantum
        requests = quantum * self._demand[sender]
        self._shares[sender][sender] -= quantum
        self._shares[sender][receiver] += quantum
        self._load[sender] -= requests
        self._load[receiver] += requests
        self._senders.add(sender)
        self._receivers.add(receiver)
