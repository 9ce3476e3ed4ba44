"""KurmaCost: how much of each zone's demand other zones serve.

The solver moves small shares of demand (quanta) between zones, greedily: as little as brings every zone's
misses under the target, or, where that cannot be done, whatever lowers the misses of all zones most. No zone
sends and receives at once, and no zone without observations spills.
"""

from collections.abc import Sequence

from ravenshelf.policy.miss_curves import Point, read_curve

TARGET_MISS_SHARE = 0.05  # of a zone's requests
QUANTUM = 0.01  # of a zone's demand
ZONES_WITH_FINE_QUANTA = 8  # with more zones quanta are coarser, as the work grows with their third power
DEMAND_MARGIN = 1.2  # demand may rise so far until the tables are in force
MINIMUM_GAIN = 1e-9  # misses per request moved; less is rounding

Pair = tuple[int, int]  # sending zone, receiving zone


def solve_spill(
    demand: Sequence[float],
    capacity: Sequence[float],
    curves: Sequence[list[Point] | None],
    load_factors: Sequence[Sequence[float]],
) -> list[list[float]]:
    """Spill shares: row by sending zone, column by serving zone; each row sums to 1.

    `demand` is requests per second by zone, `capacity` weight of endpoints by zone, `curves` the fitted miss
    curve by zone (None or empty: nothing observed), `stretch[sender][receiver]` a factor on the load that a
    sender sees, for the latency between the zones.
    """
    return KurmaCostSolver(demand, capacity, curves, load_factors).solve()


class KurmaCostSolver:
    """One search for spill shares; see `solve_spill` for the arguments."""

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
        self._live_zones = [zone for zone in self._zones if capacity[zone] > 0]
        self._load = list(demand)  # requests per second that each zone serves
        self._shares = [[float(sender == zone) for zone in self._zones] for sender in self._zones]
        self._senders: set[int] = set()
        self._receivers: set[int] = set()
        self._quantum = 1 / round(1 / QUANTUM / max(1, len(demand) / ZONES_WITH_FINE_QUANTA))

    def solve(self) -> list[list[float]]:
        """Search, and return the spill shares."""
        if self._live_zones:
            self._empty_dead_zones()
        self._reach_target()
        self._reduce_misses()
        return self._shares

    def _empty_dead_zones(self) -> None:
        """A zone without capacity sends all it has, each quantum to the zone that is loaded least."""
        for sender in self._zones:
            if self._capacity[sender] > 0:
                continue
            for _ in range(round(1 / self._quantum)):
                self._move(sender, self._least_loaded_for(sender))
            self._shares[sender][sender] = 0.0

    def _least_loaded_for(self, sender: int) -> int:
        more = self._quantum * self._demand[sender]
        load_factors = self._load_factors[sender]
        return min(
            self._live_zones,
            key=lambda zone: (self._load[zone] + more) / self._capacity[zone] * load_factors[zone],
        )

    def _reach_target(self) -> None:
        """Move as little as brings every zone under the target, while any receiver stays under it."""
        while True:
            senders = [zone for zone in self._live_zones if self._zone_misses(zone) > TARGET_MISS_SHARE]
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
        """The greater of what the sender's and the receiver's requests would miss at the receiver."""
        more = self._quantum * self._demand[sender]
        return max(self._miss_share(sender, receiver, more), self._miss_share(receiver, receiver, more))

    def _reduce_misses(self) -> None:
        """Move what lowers the misses of all zones most, while any zone is over the target."""
        gains: dict[Pair, float] = {}
        while self._any_zone_over_target():
            pairs = self._possible_moves(self._live_zones)
            for pair in pairs:
                if pair not in gains:
                    gains[pair] = self._gain(*pair)
            if not pairs:
                return
            best_gain, sender, receiver = max((gains[pair], *pair) for pair in pairs)
            if best_gain <= MINIMUM_GAIN:
                return
            self._move(sender, receiver)
            # other pairs' gains are as before: nothing has moved between them
            gains = {pair: gain for pair, gain in gains.items() if pair[0] != sender and pair[1] != receiver}

    def _any_zone_over_target(self) -> bool:
        return any(self._zone_misses(zone) > TARGET_MISS_SHARE for zone in self._zones if self._demand[zone])

    def _gain(self, sender: int, receiver: int) -> float:
        """Misses avoided for each request that moves."""
        quantum = self._quantum
        return (
            self._misses_at(sender, sender, 0)
            - self._misses_at(sender, sender, -quantum)
            + self._misses_at(receiver, sender, 0)
            - self._misses_at(receiver, sender, quantum)
        ) / self._demand[sender]

    def _misses_at(self, zone: int, sender: int, moved: float) -> float:
        """Misses per second at a zone, were a sender to send so much more of its demand there."""
        demand = self._demand
        shares = self._shares
        more = moved * demand[sender]
        return sum(
            demand[other]
            * (shares[other][zone] + moved * (other == sender))
            * self._miss_share(other, zone, more)
            for other in self._zones
            if shares[other][zone] or other == sender
        )

    def _zone_misses(self, sender: int) -> float:
        """The share of a zone's requests that miss, wherever they are served."""
        shares = self._shares[sender]
        return sum(shares[zone] * self._miss_share(sender, zone) for zone in self._live_zones if shares[zone])

    def _miss_share(self, sender: int, zone: int, more: float = 0.0) -> float:
        """The miss share that a sender sees at a zone with so many more requests per second."""
        curve = self._curves[zone]
        if not curve:
            return 0.0
        load = (
            DEMAND_MARGIN
            * (self._load[zone] + more)
            / self._capacity[zone]
            * self._load_factors[sender][zone]
        )
        return read_curve(curve, load)

    def _possible_moves(self, senders: Sequence[int]) -> list[Pair]:
        """The pairs of zones between which a quantum may move."""
        receivers = [zone for zone in self._live_zones if self._curves[zone] and zone not in self._senders]
        able = [zone for zone in senders if self._may_send(zone)]
        return [(sender, receiver) for sender in able for receiver in receivers if receiver != sender]

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
