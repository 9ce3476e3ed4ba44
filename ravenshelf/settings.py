"""The settings of a deployment as typed values: the one place where their JSON keys are known.

The JSON object comes from the simulator's first message or from a server's configuration file. Keys may be
written with hyphens or underscores; a key that is not known is ignored, and one that is absent or null has
its default.
"""

from collections.abc import Mapping
from enum import Enum
from typing import Any, NamedTuple

from ravenshelf.errors import RavenshelfError

MICROSECONDS_PER_MILLISECOND = 1000
SECOND = 1_000_000  # in microseconds


class SettingsError(RavenshelfError):
    """A value of the settings cannot be used.

    `path` names the key ("classes[1].objective-ms"), `expected` says what may stand there, `found` is the
    value.
    """

    def __init__(self, path: str, expected: str, found: object):
        super().__init__(f"{path}: expected {expected}, not {str(found)[:60]!r}")
        self.path, self.expected, self.found = path, expected, found


class Idempotency(Enum):
    """Whether a request may be attempted more than once."""

    IDEMPOTENT = "pure"
    IDEMPOTENT_WITH_KEY = "token"
    NON_IDEMPOTENT = "side_effect"


class TrafficGroup(NamedTuple):
    """A class of requests (`classes`)."""

    name: str = ""
    priority_weight: float = 1.0
    latency_objective_us: int | None = None
    deadline_us: int = 0
    idempotency: Idempotency = Idempotency.NON_IDEMPOTENT


class ServiceSettings(NamedTuple):
    """Facts about the proxies and the control channel of a deployment (`family-info`)."""

    proxy_count: int = 0  # across all control-plane servers
    proxies_join_by_zone: bool = False
    lines_per_second: float | None = None  # the channel's usual pace; None: unlimited
    message_overhead_lines: float | None = None  # None: not said
    queue_limit_lines: float | None = None  # None: unlimited
    messages_per_proxy_limit: int = 0  # within `message_count_window_us`; 0: unlimited
    message_count_window_us: int = 10 * SECOND
    longest_delivery_us: int = SECOND
    admission_level_kind: str | None = None  # "fraction", "per_second" or "none"
    outlier_after_failures: int = 0  # consecutive failures after which a proxy avoids an endpoint; 0: never


class WarmUpSettings(NamedTuple):
    """What is promised of endpoints that have just started, and of those that leave (`rules`)."""

    cold_capacity_share: float = 0.2
    warm_after_us: int | None = None
    overload_multiple: float = 4.0  # load over present capacity that fells an endpoint that warms up
    removal_is_not_binding: bool = False


class TelemetrySettings(NamedTuple):
    """Load reports (`telemetry`)."""

    source: str = "none"  # "answers", "probe" or "none"
    columns: tuple[str, ...] = ()


class LimitSettings(NamedTuple):
    """What the deployment allows (`limits`)."""

    health_checks_allowed: bool = False
    dial_timeout_us: int | None = None
    peer_messages_allowed: bool = False


class Settings(NamedTuple):
    """All settings of a deployment."""

    zones: tuple[str, ...] = ()
    machine_kinds: tuple[str, ...] = ()
    traffic_groups: tuple[TrafficGroup, ...] = ()
    server_count: int = 1  # control-plane servers
    discovery: str = ""  # "pushed" or "on_request"
    weight_kind: str = ""  # what listed weights mean; "none": nothing
    tick_us: int | None = None
    service: ServiceSettings = ServiceSettings()
    warm_up: WarmUpSettings = WarmUpSettings()
    telemetry: TelemetrySettings = TelemetrySettings()
    limits: LimitSettings = LimitSettings()


class _Section:
    """One JSON object of the settings, read key by key."""

    def __init__(self, path: str, value: object):
        if not isinstance(value, Mapping):
            raise SettingsError(path or "settings", "an object", value)
        self._path = path
        self._values = {str(key).replace("-", "_"): found for key, found in value.items()}

    def _path_of(self, key: str) -> str:
        return f"{self._path}.{key}" if self._path else key

    def _value(self, key: str) -> Any:
        return self._values.get(key.replace("-", "_"))

    def number(self, key: str, default: float | None) -> float | None:
        """A number, or `default` where the key is absent or null."""
        value = self._value(key)
        if value is None:
            return default
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise SettingsError(self._path_of(key), "a number", value)
        return value

    def integer(self, key: str, default: int) -> int:
        """A number without its fraction."""
        return int(self.number(key, default) or 0)

    def microseconds(self, key: str, default: int | None) -> int | None:
        """A key in milliseconds, as whole microseconds."""
        value = self.number(key, None)
        return default if value is None else round(value * MICROSECONDS_PER_MILLISECOND)

    def flag(self, key: str) -> bool:
        """Whether the value is true; false where the key is absent."""
        return bool(self._value(key))

    def text(self, key: str, default: str) -> str:
        """A text, or `default` where the key is absent or null."""
        value = self._value(key)
        if value is None:
            return default
        if not isinstance(value, str):
            raise SettingsError(self._path_of(key), "text", value)
        return value

    def items(self, key: str) -> list[tuple[str, Any]]:
        """The items of a list, each with its path."""
        value = self._value(key)
        if value is None:
            return []
        if not isinstance(value, list):
            raise SettingsError(self._path_of(key), "a list", value)
        return [(f"{self._path_of(key)}[{number}]", item) for number, item in enumerate(value)]

    def texts(self, key: str) -> tuple[str, ...]:
        """The items of a list as texts."""
        return tuple(str(item) for _, item in self.items(key))

    def section(self, key: str) -> "_Section":
        """The object under a key; an empty one where the key is absent or null."""
        value = self._value(key)
        return _Section(self._path_of(key), {} if value is None else value)


def decode_settings(raw: object) -> Settings:
    """Read the settings' JSON object.

    Raises `SettingsError` for the first value that cannot be used.
    """
    root = _Section("", raw)
    return Settings(
        zones=root.texts("azs"),
        machine_kinds=root.texts("kinds"),
        traffic_groups=tuple(_decode_group(_Section(*item)) for item in root.items("classes")),
        server_count=root.integer("balancers", 1),
        discovery=root.text("discovery", ""),
        weight_kind=root.text("weights", ""),
        tick_us=root.microseconds("tick-ms", None),
        service=_decode_service(root.section("family-info")),
        warm_up=_decode_warm_up(root.section("rules")),
        telemetry=_decode_telemetry(root.section("telemetry")),
        limits=_decode_limits(root.section("limits")),
    )


def _decode_group(section: _Section) -> TrafficGroup:
    word = section.text("idempotency", "")
    known = [one for one in Idempotency if one.value == word]
    return TrafficGroup(
        name=section.text("name", ""),
        priority_weight=section.number("importance", 1.0) or 0.0,
        latency_objective_us=section.microseconds("objective-ms", None),
        deadline_us=section.microseconds("deadline-ms", 0) or 0,
        idempotency=known[0] if known else Idempotency.NON_IDEMPOTENT,
    )


def _decode_service(section: _Section) -> ServiceSettings:
    defaults = ServiceSettings()
    window = section.microseconds("counted-over-ms", defaults.message_count_window_us)
    longest_delivery = section.microseconds("late-most-ms", defaults.longest_delivery_us)
    return ServiceSettings(
        proxy_count=section.integer("proxy-count", 0),
        proxies_join_by_zone=section.flag("by-zone"),
        lines_per_second=section.number("lines-per-s", None),
        message_overhead_lines=section.number("envelope", None),
        queue_limit_lines=section.number("most-waiting", None),
        messages_per_proxy_limit=section.integer("messages-most", 0),
        message_count_window_us=window if window is not None else defaults.message_count_window_us,
        longest_delivery_us=(
            longest_delivery if longest_delivery is not None else defaults.longest_delivery_us
        ),
        admission_level_kind=section.text("level-kind", "") or None,
        outlier_after_failures=section.integer("outlier-after", 0),
    )


def _decode_warm_up(section: _Section) -> WarmUpSettings:
    defaults = WarmUpSettings()
    share = section.number("cold-share", defaults.cold_capacity_share)
    multiple = section.number("fall-multiple", defaults.overload_multiple)
    return WarmUpSettings(
        cold_capacity_share=share if share is not None else defaults.cold_capacity_share,
        warm_after_us=section.microseconds("warm-after-ms", None),
        overload_multiple=multiple if multiple is not None else defaults.overload_multiple,
        removal_is_not_binding=section.flag("removal-not-binding"),
    )


def _decode_telemetry(section: _Section) -> TelemetrySettings:
    return TelemetrySettings(source=section.text("how", "none"), columns=section.texts("columns"))


def _decode_limits(section: _Section) -> LimitSettings:
    return LimitSettings(
        health_checks_allowed=section.flag("probing"),
        dial_timeout_us=section.microseconds("dial-timeout-ms", None),
        peer_messages_allowed=section.flag("peer-messages"),
    )
