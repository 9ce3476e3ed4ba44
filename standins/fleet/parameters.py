"""What a world of requests is made of. Defaults are the middle of the ranges of a deployment that runs the pilot."""

from dataclasses import dataclass, replace

from ravenshelf.settings import Settings, decode_settings

MILLISECOND = 1000
SECOND = 1_000_000
Span = tuple[int, int]  # least and most, drawn evenly


@dataclass(frozen=True)
class RequestClass:
    """A traffic group of the proxies."""

    name: str
    share: float
    work_s: float  # mean seconds of work of a request on one core
    work_cv: float
    aim: int
    deadline: int
    effect: str  # the settings' word for what may be repeated
    worth: float


VIEW = RequestClass("view", 0.65, 0.25, 0.65, 1_500 * MILLISECOND, 4 * SECOND, "pure", 1.0)
POST = RequestClass("post", 0.35, 0.10, 0.6, 600 * MILLISECOND, 2 * SECOND, "token", 5.0)


@dataclass(frozen=True)
class Parameters:
    """Sizes, network, clients and rules of a world.

    What the figures rest on: network, channel, list, reports, shunning, clients, rules and capacities on the ranges that
    the operators of a deployment with two zones state for it (small ones in the middle, spreads where a range is given);
    places on its slots and queue for each core; sizes on fleets of 1 to 50 proxies a pilot, up to 320 at full size.
    """

    pilots: int = 5
    zones: int = 2
    servers: int = 7  # of a zone
    proxies: int = 33  # of a pilot
    load: float = 0.8  # work that requests ask for over all capacity
    load_cv: float = 1.0  # of rates among proxies: the deployment says 0.8 to 1.5
    capacity_cv: float = 0.3  # of endpoints' speeds: 0.15 to 0.35
    weights: str = "none"  # what listed weights say of capacity: "none" or "rough"
    classes: tuple[RequestClass, ...] = (VIEW, POST)

    cores: int = 2
    places_per_core: tuple[int, int] = (7, 26)  # slots (1.5 to 5) and queue (5 to 23)
    cold_from: tuple[float, float] = (0.17, 0.48)
    warm_after: Span = (6 * SECOND, 18 * SECOND)

    pick: str = "random"
    outlier_after: int = 5
    shun: Span = (2_500 * MILLISECOND, 6_400 * MILLISECOND)
    standing: int = 10  # endpoints of a standing table
    base_mode: int = 0  # how proxies try again where no level says it
    first_wait: float = 1.0  # a try that may be followed is given up after so many times the aim
    level_kind: str = "fraction"
    client_repeats: int = 1  # a client comes again so often (0 to 1.5)
    client_comes_again: float = 0.7  # share of its failed requests for which it does (0.4 to 1)
    client_backoff: Span = (25 * MILLISECOND, 200 * MILLISECOND)

    lines_per_s: float = 2500.0
    envelope: int = 3
    channel_delay: Span = (110 * MILLISECOND, 430 * MILLISECOND)
    report_period: int = 2 * SECOND
    report_delay: Span = (510 * MILLISECOND, 1300 * MILLISECOND)
    intake_per_s: int = 500
    noise: float = 0.15  # of reported latencies
    list_notice: Span = (740 * MILLISECOND, 3_800 * MILLISECOND)
    start_notice: Span = (650 * MILLISECOND, 2_400 * MILLISECOND)
    redial: Span = (460 * MILLISECOND, 2_400 * MILLISECOND)
    rehome: Span | None = (3 * SECOND, 12 * SECOND)  # until a proxy returns to its first pilot; None: never
    calls_a_second: float = 30.0

    fall_multiple: float = 2.5
    overload_for: int = 3 * SECOND
    drain_grace: int = 1_500 * MILLISECOND

    def but(self, **changes) -> "Parameters":
        return replace(self, **changes)

    def all_proxies(self) -> int:
        return self.pilots * self.proxies

    def settings(self) -> Settings:
        """The settings that pilots of such a fleet are given."""
        return decode_settings(
            {
                "azs": [f"z{n}" for n in range(self.zones)],
                "balancers": self.pilots,
                "discovery": "on_request",
                "weights": self.weights,
                "classes": [self._class_settings(group) for group in self.classes],
                "family-info": self._service_settings(),
                "telemetry": {"how": "probe", "columns": ["cpu", "active", "avg_ms"]},
                "rules": {
                    "cold-share": self.cold_from[0],
                    "fall-multiple": self.fall_multiple,
                    "overload-for-ms": self.overload_for / MILLISECOND,
                    "drain-grace-ms": self.drain_grace / MILLISECOND,
                    "warm-after-ms": self.warm_after[1] / MILLISECOND,
                },
            }
        )

    @staticmethod
    def _class_settings(group: RequestClass) -> dict:
        return {
            "name": group.name,
            "importance": group.worth,
            "objective-ms": group.aim / MILLISECOND,
            "deadline-ms": group.deadline / MILLISECOND,
            "idempotency": group.effect,
        }

    def _service_settings(self) -> dict:
        return {
            "lines-per-s": self.lines_per_s,
            "most-waiting": round(1.5 * self.lines_per_s),
            "envelope": self.envelope,
            "proxy-count": self.all_proxies(),
            "by-zone": False,
            "level-kind": self.level_kind,
            "late-most-ms": 1.6 * self.channel_delay[1] / MILLISECOND,
            "messages-most": 0,
            "counted-over-ms": 10_000.0,
            "outlier-after": self.outlier_after,
            "pick": self.pick,
            "default-size": self.standing,
            "base-mode": self.base_mode,
            "first-wait": self.first_wait,
            "hears-per-s": self.intake_per_s,
        }
