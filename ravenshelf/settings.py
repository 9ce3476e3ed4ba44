"""The settings of a deployment as typed values, and the only module that knows their JSON keys.

The JSON object comes from the simulator's first message or from a server's configuration file. Keys may be
written with hyphens or underscores. An unknown key is ignored; a key that is absent or null has its default.
"""

from collections.abc import Mapping
from enum import Enum
from typing import Any, NamedTuple

from ravenshelf.errors import RavenshelfError
from ravenshelf.time_units import MICROSECONDS_PER_MILLISECOND, SECOND


class SettingsError(RavenshelfError):
    """A value of the settings that cannot be used.

    Attributes:
        path: The path of the key, such as "classes[1].objective-ms".
        expected: A description of the valid values.
        value: The invalid value.
    """

    def __init__(self, path: str, expected: str, value: object):
        super().__init__(f"{path}: expected {expected}, found {str(value)[:60]!r}")
        self.path, self.expected, self.value = path, expected, value


class Idempotency(Enum):
    """Whether a request may be attempted more than once."""

    IDEMPOTENT = "pure"
    IDEMPOTENT_WITH_KEY = "token"
    NON_IDEMPOTENT = "side_effect"


class TrafficGroup(NamedTuple):
    """A class of requests (an entry of `classes`).

    Attributes:
        name: The name of the traffic group.
        priority_weight: The priority weight; load of groups with a lower weight is shed first.
        latency_objective_us: The latency objective in microseconds; None: not stated.
        deadline_us: The deadline in microseconds; 0: not stated.
        idempotency: Whether its requests may be attempted more than once.
    """

    name: str = ""
    priority_weight: float = 1.0
    latency_objective_us: int | None = None
    deadline_us: int = 0
    idempotency: Idempotency = Idempotency.NON_IDEMPOTENT


class ServiceSettings(NamedTuple):
    """The proxies and the control channel of a deployment (`family-info`).

    Attributes:
        proxy_count: The number of proxies across all control-plane servers.
        proxies_join_by_zone: Whether all proxies of a zone join the same control-plane server.
        lines_per_second: The nominal rate of the control channel; None: unlimited.
        message_overhead_lines: The lines that the control channel counts for each message, in addition to the
            lines in it; None: not stated.
        queue_limit_lines: The queue limit of the control channel in lines; None: unlimited.
        messages_per_proxy_limit: The messages that a proxy may get within `message_count_window_us`; 0:
            unlimited.
        message_count_window_us: The window over which messages are counted, in microseconds.
        longest_delivery_us: The longest time in microseconds that the delivery of a message takes, in
            addition to its time in the queue.
        admission_level_kind: The unit of admission levels: "fraction", "per_second" or "none".
        outlier_after_failures: The consecutive failures after which a proxy ejects an endpoint as an outlier
            by itself; 0: never.
    """

    proxy_count: int = 0
    proxies_join_by_zone: bool = False
    lines_per_second: float | None = None
    message_overhead_lines: float | None = None
    queue_limit_lines: float | None = None
    messages_per_proxy_limit: int = 0
    message_count_window_us: int = 10 * SECOND
    longest_delivery_us: int = SECOND
    admission_level_kind: str | None = None
    outlier_after_failures: int = 0


class WarmUpSettings(NamedTuple):
    """The properties of endpoints that have just started, and of those that leave (`rules`).

    Attributes:
        cold_capacity_share: The share of its full capacity that an endpoint starts with.
        warm_after_us: The microseconds after which an endpoint has its full capacity; None: not stated.
        overload_multiple: The load, relative to its present capacity, at which an endpoint that is warming up
            fails.
        removal_is_not_binding: Whether endpoints that are no longer listed may still be used for some time.
        drain_grace_us: The microseconds within which proxies must stop sending to an endpoint that has left
            or is draining; None: not stated.
    """

    cold_capacity_share: float = 0.2
    warm_after_us: int | None = None
    overload_multiple: float = 4.0
    removal_is_not_binding: bool = False
    drain_grace_us: int | None = None


class TelemetrySettings(NamedTuple):
    """The load that endpoints report (`telemetry`).

    Attributes:
        source: Where the load comes from: "answers", "probe" or "none".
        columns: The names of the reported values; `LoadReport.load` contains the values in this order.
    """

    source: str = "none"
    columns: tuple[str, ...] = ()


class LimitSettings(NamedTuple):
    """The actions that the deployment allows (`limits`).

    Attributes:
        health_checks_allowed: Whether control-plane servers may send health checks.
        dial_timeout_us: The timeout for opening a connection in microseconds; None: not stated.
        peer_messages_allowed: Whether control-plane servers may send each other messages.
    """

    health_checks_allowed: bool = False
    dial_timeout_us: int | None = None
    peer_messages_allowed: bool = False


class Settings(NamedTuple):
    """All settings of a deployment.

    Attributes:
        zones: The names of the zones.
        machine_kinds: The names of the machine kinds.
        traffic_groups: The traffic groups.
        server_count: The number of control-plane servers.
        discovery: How endpoint lists arrive: "pushed" or "on_request".
        weight_kind: What listed weights express; "none" if they do not express the size of endpoints.
        tick_us: The interval between control cycles in microseconds; None: not stated.
        service: The proxies and the control channel.
        warm_up: The properties of endpoints that have just started.
        telemetry: The load that endpoints report.
        limits: The actions that are allowed.
    """

    zones: tuple[str, ...] = ()
    machine_kinds: tuple[str, ...] = ()
    traffic_groups: tuple[TrafficGroup, ...] = ()
    server_count: int = 1
    discovery: str = ""
    weight_kind: str = ""
    tick_us: int | None = None
    service: ServiceSettings = ServiceSettings()
    warm_up: WarmUpSettings = WarmUpSettings()
    telemetry: TelemetrySettings = TelemetrySettings()
    limits: LimitSettings = LimitSettings()


class _Section:
    """One JSON object of the settings, whose keys are read one by one.

    Every method raises `SettingsError` if the value of the key has the wrong type.
    """

    def __init__(self, path: str, value: object):
        if not isinstance(value, Mapping):
            raise SettingsError(path or "settings", "an object", value)
        self._path = path
        self._values = {str(key).replace("-", "_"): item for key, item in value.items()}

    def _path_of(self, key: str) -> str:
        return f"{self._path}.{key}" if self._path else key

    def _value(self, key: str) -> Any:
        return self._values.get(key.replace("-", "_"))

    def number(self, key: str, default: float | None) -> float | None:
        """Return a number, or the default if the key is absent or null."""
        value = self._value(key)
        if value is None:
            return default
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise SettingsError(self._path_of(key), "a number", value)
        return value

    def integer(self, key: str, default: int) -> int:
        """Return a number without its fraction, or the default if the key is absent or null."""
        return int(self.number(key, default) or 0)

    def microseconds(self, key: str, default: int | None) -> int | None:
        """Return a value in milliseconds as whole microseconds, or the default."""
        value = self.number(key, None)
        return default if value is None else round(value * MICROSECONDS_PER_MILLISECOND)

    def flag(self, key: str) -> bool:
        """Return whether the value is true; an absent key is false."""
        return bool(self._value(key))

    def text(self, key: str, default: str) -> str:
        """Return a text, or the default if the key is absent or null."""
        value = self._value(key)
        if value is None:
            return default
        if not isinstance(value, str):
            raise SettingsError(self._path_of(key), "text", value)
        return value

    def items(self, key: str) -> list[tuple[str, Any]]:
        """Return the items of a list, each with its path; an absent list is empty."""
        value = self._value(key)
        if value is None:
            return []
        if not isinstance(value, list):
            raise SettingsError(self._path_of(key), "a list", value)
        return [(f"{self._path_of(key)}[{index}]", item) for index, item in enumerate(value)]

    def texts(self, key: str) -> tuple[str, ...]:
        """Return the items of a list as texts."""
        return tuple(str(item) for _, item in self.items(key))

    def section(self, key: str) -> "_Section":
        """Return the object under a key, or an empty one if the key is absent or null."""
        value = self._value(key)
        return _Section(self._path_of(key), {} if value is None else value)


def decode_settings(raw: object) -> Settings:
    """Decode the JSON object of the settings.

    Raises:
        SettingsError: A value cannot be used; this is the first such value.
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
    matches = [member for member in Idempotency if member.value == word]
    return TrafficGroup(
        name=section.text("name", ""),
        priority_weight=section.number("importance", 1.0) or 0.0,
        latency_objective_us=section.microseconds("objective-ms", None),
        deadline_us=section.microseconds("deadline-ms", 0) or 0,
        idempotency=matches[0] if matches else Idempotency.NON_IDEMPOTENT,
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
        drain_grace_us=section.microseconds("drain-grace-ms", None),
    )


def _decode_telemetry(section: _Section) -> TelemetrySettings:
    return TelemetrySettings(source=section.text("how", "none"), columns=section.texts("columns"))


def _decode_limits(section: _Section) -> LimitSettings:
    return LimitSettings(
        health_checks_allowed=section.flag("probing"),
        dial_timeout_us=section.microseconds("dial-timeout-ms", None),
        peer_messages_allowed=section.flag("peer-messages"),
    )
