"""Codec of the protocol on the connections of proxies and collectors.

It decodes lines into events, and encodes table updates as lines. The words of this protocol occur in this
module only.
"""

from collections.abc import Callable, Iterable, Sequence

from ravenshelf.errors import RavenshelfError
from ravenshelf.policy.events import BatchAcknowledged, DemandReport, LoadReport, ProxyJoined
from ravenshelf.settings import Settings
from ravenshelf.state.table_update import TableUpdate

# Columns of the settings' telemetry, by the names that load reports may use for them instead.
LOAD_COLUMN_ALIASES = {
    "inflight": "active",
    "queue": "waiting",
    "util": "cpu",
    "latency_ms": "avg_ms",
    "qps": "rps",
    "eps": "err_rps",
}

LINE_LIMIT_BYTES = 1024 * 1024  # maximum length of a message
# Maximum number of fields of a message, and of values of a load report. A message of the longest permitted
# length can hold hundreds of thousands of short ones, whose texts take many times its memory.
FIELDS_LIMIT = 256
LOAD_VALUES_LIMIT = 64
UPDATES_LIMIT = 64  # maximum number of table updates in a message
NUMBER_LIMIT = 2.0**32  # larger than any valid count or time
WINDOW_LIMIT_MS = 600_000.0  # longer than any window that a report covers
# A reported mean latency may exceed the longest possible one by this factor.
MEAN_LATENCY_TOLERANCE = 4
# The first bytes of a line, up to this number, are compared with the message kinds, all of which are shorter.
KIND_PREFIX_BYTES = 12
PING = "PING"
PONG = b"PONG\r\n"
SUBSCRIBE = "SUBSCRIBE"  # the message with which a proxy joins
SOURCE = "SOURCE"  # the message in which a collector states the zone of its load reports
LOAD = "LOAD"  # a load report
RATE = "RATE"  # a demand report
ACK = "ACK"  # an acknowledgement
KINDS = (SUBSCRIBE, SOURCE, LOAD, RATE, ACK, PING)


class MalformedMessageError(RavenshelfError):
    """A malformed message of a known kind; the error's text says what was expected."""


class UnreadableConnectionError(MalformedMessageError):
    """A line that is not a message, or a message that is not valid on its connection.

    The connection is of no further use and must be closed.
    """


def split_line(line: bytes) -> tuple[str, list[str]]:
    """Return the kind of a message and the words that follow it.

    Of a message with too many words, only the first ones are split; `parse_fields` rejects it.

    Raises:
        UnreadableConnectionError: The line is empty or not UTF-8, or its first word is not a message kind.
    """
    try:
        kind, *words = line.decode("utf-8").split(maxsplit=FIELDS_LIMIT + 1)
    except (UnicodeDecodeError, ValueError) as error:
        raise UnreadableConnectionError("expected a message kind and fields in UTF-8") from error
    if kind not in KINDS:
        raise UnreadableConnectionError("expected a known message kind")
    return kind, words


def parse_fields(words: list[str]) -> dict[str, str]:
    """Return the fields of a message by name.

    Args:
        words: The message's words after its kind, each "name=value".

    Raises:
        MalformedMessageError: A word has another form, a name occurs twice, or there are over `FIELDS_LIMIT`.
    """
    if len(words) > FIELDS_LIMIT:
        raise MalformedMessageError(f"expected at most {FIELDS_LIMIT} fields, found more")
    fields = {}
    for word in words:
        name, equals, value = word.partition("=")
        if not equals or not name or name in fields:
            raise MalformedMessageError(f"expected name=value, each name once, not {word[:40]!r}")
        fields[name] = value
    return fields


def may_begin_message(data: bytes | bytearray) -> bool:
    """Return whether an incomplete line may become a message of a known kind.

    With this check, a peer that sends other data without a line end is rejected before the data fills the
    memory.
    """
    first_bytes, space, _ = bytes(data[:KIND_PREFIX_BYTES]).partition(b" ")
    word = first_bytes.rstrip(b"\r").decode("latin-1")
    return word in KINDS if space else any(kind.startswith(word) for kind in KINDS)


def parse_number(fields: dict[str, str], name: str, maximum: float = NUMBER_LIMIT) -> float:
    """Return the value of a field that is a number.

    Args:
        fields: Fields of the message.
        name: Name of the field.
        maximum: Largest valid value; the smallest is 0.

    Raises:
        MalformedMessageError: The field is missing, is not a number or is out of range.
    """
    try:
        value = float(fields[name])
    except KeyError as error:
        raise MalformedMessageError(f"expected {name}=") from error
    except ValueError as error:
        raise MalformedMessageError(f"expected a number as {name}, not {fields[name][:40]!r}") from error
    if not 0 <= value <= maximum:
        raise MalformedMessageError(f"expected {name} from 0 to {maximum:g}, not {fields[name][:40]!r}")
    return value


def parse_whole_number(fields: dict[str, str], name: str, limit: int | None = None) -> int:
    """Return the value of a field that is a whole number.

    Args:
        fields: Fields of the message.
        name: Name of the field.
        limit: Number that the value must be below, or None.

    Raises:
        MalformedMessageError: The field is missing, is not a whole number or is out of range.
    """
    value = parse_number(fields, name)
    if value != int(value) or (limit is not None and value >= limit):
        raise MalformedMessageError(
            f"expected a whole number{f' below {limit}' if limit else ''} as {name}, not {value:g}"
        )
    return int(value)


def parse_microseconds(fields: dict[str, str], name: str, maximum: float = WINDOW_LIMIT_MS) -> int:
    """Return the value of a field that is a time in milliseconds, as microseconds.

    Args:
        fields: Fields of the message.
        name: Name of the field.
        maximum: Largest valid value in milliseconds.

    Raises:
        MalformedMessageError: The field is missing, is not a number or is out of range.
    """
    return round(parse_number(fields, name, maximum) * 1000)


def parse_attempt_counts(fields: dict[str, str]) -> tuple[int, int, int]:
    """Return the number of attempts, how many of them failed, and the length of their window.

    Returns:
        The two counts, and the window in microseconds.

    Raises:
        MalformedMessageError: A field is missing or invalid, or the window is 0.
    """
    attempts = parse_whole_number(fields, "tries")
    failed_attempts = parse_whole_number(fields, "failed")
    window_us = parse_microseconds(fields, "span_ms")
    if not window_us:
        raise MalformedMessageError("expected span_ms above 0")
    return attempts, failed_attempts, window_us


def parse_flag(fields: dict[str, str], name: str) -> bool:
    """Return the value of a field that is 0 or 1.

    Raises:
        MalformedMessageError: The field is missing or has another value.
    """
    if fields.get(name) not in ("0", "1"):
        raise MalformedMessageError(f"expected 0 or 1 as {name}")
    return fields[name] == "1"


def decode_load_columns(values: Iterable[tuple[str, str]], columns: Sequence[str]) -> tuple[float, ...]:
    """Return the values of the load columns.

    Args:
        values: Names and values of a load report, in any order.
        columns: Names of the columns, as in the settings.

    Returns:
        The values in the order of `columns`; empty if a column is missing or any value is invalid.
    """
    value_by_column = {}
    for name, text in values:
        try:
            value = float(text)
        except ValueError:
            return ()
        if not 0 <= value <= NUMBER_LIMIT:
            return ()
        value_by_column[LOAD_COLUMN_ALIASES.get(name, name)] = value
    load = []
    for column in columns:
        column_value = value_by_column.get(LOAD_COLUMN_ALIASES.get(column, column))
        if column_value is None:
            return ()
        load.append(column_value)
    return tuple(load)


def has_term_check(fields: dict[str, str]) -> bool:
    """Return whether a proxy that joins rejects commands of an older term."""
    return fields.get("term") == "1"


def parse_named_values(text: str, separator: str) -> list[tuple[str, str]]:
    """Return the names and values of a comma-separated list.

    Args:
        text: The list, such as "a=1,b=2"; may be empty.
        separator: Text between a name and its value.

    Returns:
        Pairs of name and value; the value is empty if an item has no separator.
    """
    if not text:
        return []
    named_values = []
    for item in text.split(",", LOAD_VALUES_LIMIT):
        name, _, value = item.partition(separator)
        named_values.append((name, value))
    return named_values


class StreamDecoder:
    """Decoder of the fields of messages into events.

    Its methods raise MalformedMessageError if a field is missing or invalid.

    Args:
        settings: Settings of the deployment: zones, traffic groups, load columns and the number of proxies.
        find_endpoint: Function that returns the index of an endpoint's name, or None if the endpoint was
            never listed.
    """

    def __init__(self, settings: Settings, find_endpoint: Callable[[str], int | None]):
        self.zones = {name: number for number, name in enumerate(settings.zones)}
        self.groups = {group.name: number for number, group in enumerate(settings.traffic_groups)}
        self.proxy_limit = settings.service.proxy_count or 65536
        # An attempt can't take longer than the longest deadline.
        longest_deadline_us = max([group.deadline_us for group in settings.traffic_groups], default=0)
        self.mean_latency_limit_ms = MEAN_LATENCY_TOLERANCE * longest_deadline_us / 1000 or WINDOW_LIMIT_MS
        self.columns = settings.telemetry.columns
        self.find_endpoint = find_endpoint

    def decode_zone(self, fields: dict[str, str]) -> int:
        """Return the index of the zone that a message names."""
        return self._index_of_name(fields, "zone", self.zones)

    @staticmethod
    def _index_of_name(fields: dict[str, str], name: str, indices: dict[str, int]) -> int:
        if fields.get(name) not in indices:
            raise MalformedMessageError(
                f"expected a {name} of the settings, not {fields.get(name, '')[:40]!r}"
            )
        return indices[fields[name]]

    def decode_proxy(self, fields: dict[str, str]) -> int:
        """Return the index of the proxy that a message names."""
        return parse_whole_number(fields, "proxy", self.proxy_limit)

    def decode_join(self, fields: dict[str, str]) -> ProxyJoined:
        """Decode a SUBSCRIBE message, in which a proxy without a known nominal rate may omit `weight`."""
        return ProxyJoined(
            self.decode_proxy(fields),
            self.decode_zone(fields),
            parse_number({"weight": "0"} | fields, "weight"),
            parse_flag(fields, "fresh"),
        )

    def decode_acknowledgement(self, fields: dict[str, str]) -> BatchAcknowledged:
        """Decode an ACK message."""
        return BatchAcknowledged(
            self.decode_proxy(fields),
            parse_whole_number(fields, "mark", 65536),
            parse_microseconds(fields, "took_ms"),
        )

    def decode_demand_report(self, fields: dict[str, str]) -> DemandReport:
        """Decode a RATE message."""
        return DemandReport(
            self.decode_proxy(fields),
            self._index_of_name(fields, "class", self.groups),
            *parse_attempt_counts(fields),
        )

    def decode_load_report(self, fields: dict[str, str]) -> LoadReport | None:
        """Decode a LOAD message.

        Returns:
            The event, or None if the endpoint was never listed. The message counts as well-formed in that
            case too.
        """
        zone = self.decode_zone(fields)
        attempts, failed_attempts, window_us = parse_attempt_counts(fields)
        # A demand report may count more failures than requests, because a request that fails in this window
        # may have arrived in the window before. A load report may not.
        if failed_attempts > attempts:
            raise MalformedMessageError(f"expected failed up to tries={attempts}, not {failed_attempts}")
        mean_us = parse_microseconds(
            {"mean_ms": "0"} | fields if failed_attempts == attempts else fields,
            "mean_ms",
            self.mean_latency_limit_ms,
        )
        if failed_attempts < attempts and not mean_us:
            raise MalformedMessageError("expected mean_ms above 0")
        if not fields.get("server"):
            raise MalformedMessageError("expected server=")
        index = self.find_endpoint(fields["server"])
        load = decode_load_columns(parse_named_values(fields.get("load", ""), ":"), self.columns)
        return (
            None
            if index is None
            else LoadReport(zone, index, attempts, failed_attempts, mean_us, window_us, load)
        )


def format_decimal(value: float) -> str:
    """Return a number of 0 or more in decimal notation, without an exponent.

    A value above 0 never becomes "0": the smallest is 0.000000000001.
    """
    text = f"{value:.6f}".rstrip("0").rstrip(".")
    return text if float(text) or not value else f"{max(value, 1e-12):.12f}".rstrip("0")


def encode_message(updates: list[TableUpdate], names: list[str], groups: list[str]) -> bytes:
    """Encode a message: one line for each table update, of which all but the last say that more follow.

    Args:
        updates: The table updates.
        names: Names of the endpoints, by index.
        groups: Names of the traffic groups, by index.

    Raises:
        ValueError: The message has more than `UPDATES_LIMIT` updates or `LINE_LIMIT_BYTES` bytes.
    """
    if len(updates) > UPDATES_LIMIT:
        raise ValueError(f"a message exceeds UPDATES_LIMIT with {len(updates)} parts")
    last_number = len(updates) - 1
    lines = [
        _encode_update(update, number < last_number, names, groups) for number, update in enumerate(updates)
    ]
    message = ("\r\n".join(lines) + "\r\n").encode()
    if len(message) > LINE_LIMIT_BYTES:
        raise ValueError(f"a message exceeds LINE_LIMIT_BYTES with {len(message)} bytes")
    return message


def _encode_update(update: TableUpdate, has_more: bool, names: list[str], groups: list[str]) -> str:
    words = ["CONFIG"]
    if update.groups:
        words.append("classes=" + "+".join(groups[group] for group in update.groups))
    if update.is_complete:
        words.append("whole=1")
    if update.weights:
        words.append(
            "lines="
            + ",".join(f"{names[index]}:{format_decimal(weight)}" for index, weight in update.weights)
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
