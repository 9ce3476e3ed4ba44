"""The codec of the proxies' protocol: lines of streams and collectors into events, table updates into lines.

The words of the wire stand here alone.
"""

from collections.abc import Callable, Iterable, Sequence

from ravenshelf.errors import RavenshelfError
from ravenshelf.policy.events import BatchAcknowledged, DemandReport, LoadReport, ProxyJoined
from ravenshelf.settings import Settings
from ravenshelf.state.table_update import TableUpdate

# what load reports on streams call the columns of the settings' telemetry
LOAD_COLUMN_ALIASES = {
    "inflight": "active",
    "queue": "waiting",
    "util": "cpu",
    "latency_ms": "avg_ms",
    "qps": "rps",
    "eps": "err_rps",
}

LINE_LIMIT_BYTES = 1024 * 1024  # a message holds no more
UPDATES_LIMIT = 64
NUMBER_LIMIT = 2.0**32  # beyond any count or time that is meant
SPAN_LIMIT_MS = 600_000.0  # ms: beyond any window that a report is counted over
MEAN_TOLERANCE = 4  # a reported mean may lie so far over what is true
BEGINNING_BYTES = 12  # of a line: more than any kind of message has
PING = "PING"
PONG = b"PONG\r\n"
SUBSCRIBE = "SUBSCRIBE"  # a proxy joins
SOURCE = "SOURCE"  # a collector says which zone its load reports are of
LOAD = "LOAD"  # a load report
RATE = "RATE"  # a demand report
ACK = "ACK"  # an acknowledgement
KINDS = (SUBSCRIBE, SOURCE, LOAD, RATE, ACK, PING)


class MalformedMessageError(RavenshelfError):
    """A message of a known kind that is malformed; the text says what was expected."""


class UnreadableConnectionError(MalformedMessageError):
    """No message at all, or one that is not valid on its connection, which is of no further use."""


def split_line(line: bytes) -> tuple[str, list[str]]:
    """Return the kind of a message and its words; raises UnreadableConnectionError."""
    try:
        kind, *rest = line.decode("utf-8").split()
    except (UnicodeDecodeError, ValueError) as why:
        raise UnreadableConnectionError("expected a kind and words in UTF-8") from why
    if kind not in KINDS:
        raise UnreadableConnectionError("expected a kind of message that is known")
    return kind, rest


def parse_fields(words: list[str]) -> dict[str, str]:
    """Return the fields of a message by name; raises MalformedMessageError where a name comes twice."""
    fields = {}
    for word in words:
        name, equals, value = word.partition("=")
        if not equals or not name or name in fields:
            raise MalformedMessageError(f"expected name=value, each name once, not {word[:40]!r}")
        fields[name] = value
    return fields


def may_begin_message(rest: bytes | bytearray) -> bool:
    """Return whether a message may begin so; a guard against lines without end."""
    first, space, _ = bytes(rest[:BEGINNING_BYTES]).partition(b" ")
    word = first.rstrip(b"\r").decode("latin-1")
    return word in KINDS if space else any(kind.startswith(word) for kind in KINDS)


def parse_number(fields: dict[str, str], name: str, most: float = NUMBER_LIMIT) -> float:
    """Return a field that is a number from 0 to `most`; raises MalformedMessageError."""
    try:
        value = float(fields[name])
    except KeyError as why:
        raise MalformedMessageError(f"expected {name}=") from why
    except ValueError as why:
        raise MalformedMessageError(f"expected a number as {name}, not {fields[name][:40]!r}") from why
    if not 0 <= value <= most:
        raise MalformedMessageError(f"expected {name} from 0 to {most:g}, not {fields[name][:40]!r}")
    return value


def parse_whole_number(fields: dict[str, str], name: str, beyond: int | None = None) -> int:
    """Return a field that is a whole number, below `beyond` where that is given."""
    value = parse_number(fields, name)
    if value != int(value) or (beyond is not None and value >= beyond):
        raise MalformedMessageError(
            f"expected a whole number{f' below {beyond}' if beyond else ''} as {name}, not {value:g}"
        )
    return int(value)


def parse_microseconds(fields: dict[str, str], name: str, most: float = SPAN_LIMIT_MS) -> int:
    """Return a field that is in milliseconds, as microseconds."""
    return round(parse_number(fields, name, most) * 1000)


def parse_attempt_counts(fields: dict[str, str]) -> tuple[int, int, int]:
    """Return attempts, how many of them failed, and the window that they were counted over (us)."""
    attempts = parse_whole_number(fields, "tries")
    failed = parse_whole_number(fields, "failed")
    window_us = parse_microseconds(fields, "span_ms")
    if not window_us:
        raise MalformedMessageError("expected span_ms above 0")
    return attempts, failed, window_us


def parse_flag(fields: dict[str, str], name: str) -> bool:
    """Return a field that is 0 or 1."""
    if fields.get(name) not in ("0", "1"):
        raise MalformedMessageError(f"expected 0 or 1 as {name}")
    return fields[name] == "1"


def decode_load_columns(values: Iterable[tuple[str, str]], columns: Sequence[str]) -> tuple[float, ...]:
    """Return the load columns in the settings' order; () where one is missing or malformed."""
    reported = {}
    for name, text in values:
        try:
            value = float(text)
        except ValueError:
            return ()
        if not 0 <= value <= NUMBER_LIMIT:
            return ()
        reported[LOAD_COLUMN_ALIASES.get(name, name)] = value
    load = []
    for column in columns:
        wanted = reported.get(LOAD_COLUMN_ALIASES.get(column, column))
        if wanted is None:
            return ()
        load.append(wanted)
    return tuple(load)


def has_term_check(fields: dict[str, str]) -> bool:
    """Return whether a proxy that joins rejects orders of an older term."""
    return fields.get("term") == "1"


def parse_named_values(text: str, between: str) -> list[tuple[str, str]]:
    """Return the names and values of a list with commas, such as "a=1,b=2"."""
    if not text:
        return []
    found = []
    for item in text.split(","):
        name, _, value = item.partition(between)
        found.append((name, value))
    return found


class StreamDecoder:
    """Turns the fields of a message into an event; raises MalformedMessageError.

    `endpoint` gives the index of an endpoint's name, or None where it was never listed.
    """

    def __init__(self, settings: Settings, endpoint: Callable[[str], int | None]):
        self.zones = {name: n for n, name in enumerate(settings.zones)}
        self.groups = {group.name: n for n, group in enumerate(settings.traffic_groups)}
        self.proxies = settings.service.proxy_count or 65536
        longest = max([group.deadline_us for group in settings.traffic_groups], default=0)
        self.longest = (
            MEAN_TOLERANCE * longest / 1000 or SPAN_LIMIT_MS
        )  # no attempt outlasts the longest deadline
        self.columns = settings.telemetry.columns
        self.endpoint = endpoint

    def decode_zone(self, fields: dict[str, str]) -> int:
        """Return the index of the zone that a message names."""
        return self._named(fields, "zone", self.zones)

    @staticmethod
    def _named(fields: dict[str, str], name: str, known: dict[str, int]) -> int:
        if fields.get(name) not in known:
            raise MalformedMessageError(
                f"expected a {name} of the settings, not {fields.get(name, '')[:40]!r}"
            )
        return known[fields[name]]

    def decode_proxy(self, fields: dict[str, str]) -> int:
        """Return the number of the proxy that a message names."""
        return parse_whole_number(fields, "proxy", self.proxies)

    def decode_join(self, fields: dict[str, str]) -> ProxyJoined:
        """Decode a SUBSCRIBE; a proxy whose usual rate is not known may leave it out."""
        return ProxyJoined(
            self.decode_proxy(fields),
            self.decode_zone(fields),
            parse_number({"weight": "0"} | fields, "weight"),
            parse_flag(fields, "fresh"),
        )

    def decode_acknowledgement(self, fields: dict[str, str]) -> BatchAcknowledged:
        """Decode an ACK."""
        return BatchAcknowledged(
            self.decode_proxy(fields),
            parse_whole_number(fields, "mark", 65536),
            parse_microseconds(fields, "took_ms"),
        )

    def decode_demand_report(self, fields: dict[str, str]) -> DemandReport:
        """Decode a RATE."""
        return DemandReport(
            self.decode_proxy(fields),
            self._named(fields, "class", self.groups),
            *parse_attempt_counts(fields),
        )

    def decode_load_report(self, fields: dict[str, str]) -> LoadReport | None:
        """Decode a LOAD; None where the endpoint was never listed, which says nothing against the line."""
        zone = self.decode_zone(fields)
        attempts, failed, window_us = parse_attempt_counts(fields)
        if failed > attempts:  # of RATE it may be so: what failed may have come in the window before
            raise MalformedMessageError(f"expected failed up to tries={attempts}, not {failed}")
        mean_us = parse_microseconds(
            {"mean_ms": "0"} | fields if failed == attempts else fields, "mean_ms", self.longest
        )
        if failed < attempts and not mean_us:
            raise MalformedMessageError("expected mean_ms above 0")
        if not fields.get("server"):
            raise MalformedMessageError("expected server=")
        index = self.endpoint(fields["server"])
        load = decode_load_columns(parse_named_values(fields.get("load", ""), ":"), self.columns)
        return None if index is None else LoadReport(zone, index, attempts, failed, mean_us, window_us, load)


def format_decimal(value: float) -> str:
    """Return a number in plain decimals, above 0 where it is above 0."""
    text = f"{value:.6f}".rstrip("0").rstrip(".")
    return text if float(text) or not value else f"{max(value, 1e-12):.12f}".rstrip("0")


def encode_message(updates: list[TableUpdate], names: list[str], groups: list[str]) -> bytes:
    """Encode one message: its updates as lines, all but the last saying that more follow.

    `names` are those of the endpoints and `groups` those of the traffic groups, each by index. Raises
    ValueError where the message has too many updates or bytes.
    """
    if len(updates) > UPDATES_LIMIT:
        raise ValueError(f"a message of {len(updates)} parts")
    last = len(updates) - 1
    lines = [_update_line(update, number < last, names, groups) for number, update in enumerate(updates)]
    message = ("\r\n".join(lines) + "\r\n").encode()
    if len(message) > LINE_LIMIT_BYTES:
        raise ValueError(f"a message of {len(message)} bytes")
    return message


def _update_line(update: TableUpdate, has_more: bool, names: list[str], groups: list[str]) -> str:
    words = ["CONFIG"]
    if update.groups:
        words.append("classes=" + "+".join(groups[group] for group in update.groups))
    if update.is_complete:
        words.append("whole=1")
    if update.weights:
        words.append(
            "lines=" + ",".join(f"{names[e]}:{format_decimal(weight)}" for e, weight in update.weights)
        )
    if update.admission_level is not None:
        level = update.admission_level
        words.append(f"level={format_decimal(level.level)} retry={level.retry_mode}")
    if update.ejected_endpoints:
        words.append("out=" + ",".join(names[endpoint] for endpoint in update.ejected_endpoints))
    if update.readmitted_endpoints:
        words.append("back=" + ",".join(names[endpoint] for endpoint in update.readmitted_endpoints))
    if update.marker is not None:
        words.append(f"ticket={update.marker}")
    if has_more:
        words.append("more=1")
    return " ".join(words)
