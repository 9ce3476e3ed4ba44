"""Decoder of lines of the simulator's protocol into the controller's events.

Times become whole microseconds, words become enumerations, and names of endpoints become small indices. The
words of the protocol occur in this module and in `encode` only.
"""

import base64
import binascii
import json
from collections.abc import Callable
from math import isfinite
from typing import Any, NamedTuple

from ravenshelf.errors import RavenshelfError
from ravenshelf.policy import events
from ravenshelf.time_units import MICROSECONDS_PER_MILLISECOND

NO_VALUE = "-"  # the word that stands for a missing value
STATES = {state.value: state for state in events.EndpointState}
LIST_KINDS = {kind.value: kind for kind in events.ListKind}
LIST_UNAVAILABLE = "unavailable"
SHOWN_LINE_LENGTH = 120  # an error message shows at most this many characters of a line
ENTRY_LENGTH = 8  # number of words of a list entry, including its first word
LIST_COUNT_POSITION = 4  # position of the number of entries among the words of the line, which may omit it
# The values of a list entry, by the names that the protocol has for them; error messages show this text.
ENTRY_SYNTAX = "'endpoint' name rack-zone family-type unit-group availability share last-start-ms"

EndpointIndex = Callable[[str], int]  # returns the index of an endpoint's name in one instance
# Returns the index function of an instance. The second argument is the line that names it, for errors.
IndexOfInstance = Callable[[int, str], EndpointIndex]


class Boot(NamedTuple):
    """The start of an instance, with the seed of its controller and its settings as a decoded JSON object."""

    seed: int
    settings: dict[str, Any]


class Exit(NamedTuple):
    """The end of an instance, whose controller is then discarded."""


class MalformedLineError(RavenshelfError):
    """A line that the protocol does not allow.

    Attributes:
        line: Text or bytes of the line, or of its start.
        expected: What the protocol allows in its place.
    """

    def __init__(self, line: str | bytes, expected: str):
        super().__init__(f"line {line!r}: expected {expected}")
        self.line = line
        self.expected = expected


def _parse_number(text: str) -> float:
    value = float(text)
    if not isfinite(value):
        raise ValueError("expected a finite number")
    return value


def decode_time(text: str) -> int:
    """Return a time in milliseconds as whole microseconds; a missing value is 0.

    Raises:
        ValueError: The text is not a finite number.
    """
    return 0 if text == NO_VALUE else round(_parse_number(text) * MICROSECONDS_PER_MILLISECOND)


def _parse_flag(text: str) -> bool:
    if text not in ("0", "1"):
        raise ValueError("expected 0 or 1")
    return text == "1"


def _parse_load(text: str) -> tuple[float, ...]:
    return () if text == NO_VALUE else tuple(_parse_number(value) for value in text.split(","))


def _parse_payload(text: str) -> bytes:
    try:
        return b"" if text == NO_VALUE else base64.b64decode(text, validate=True)
    except binascii.Error as error:
        raise ValueError("expected base64") from error


def _decode_proxy_joined(_: EndpointIndex, values: list[str]) -> events.ProxyJoined:
    nominal_rate = 0.0 if values[0] == NO_VALUE else _parse_number(values[0])
    return events.ProxyJoined(int(values[3]), int(values[2]), nominal_rate, _parse_flag(values[1]))


def _decode_proxy_left(_: EndpointIndex, values: list[str]) -> events.ProxyLeft:
    return events.ProxyLeft(int(values[0]))


def _decode_load_report(endpoint_index: EndpointIndex, values: list[str]) -> events.LoadReport:
    return events.LoadReport(
        zone=int(values[0]),
        endpoint=endpoint_index(values[2]),
        attempts=int(values[5]),
        failures=int(values[1]),
        mean_latency=decode_time(values[3]),
        window=decode_time(values[4]),
        load=_parse_load(values[6]),
    )


def _decode_demand_report(_: EndpointIndex, values: list[str]) -> events.DemandReport:
    return events.DemandReport(
        proxy=int(values[0]),
        group=int(values[1]),
        requests=int(values[2]),
        unanswered=int(values[3]),
        window=decode_time(values[4]),
    )


def _decode_batch_acknowledged(_: EndpointIndex, values: list[str]) -> events.BatchAcknowledged:
    return events.BatchAcknowledged(int(values[0]), int(values[1]), decode_time(values[2]))


def _decode_timer_expired(_: EndpointIndex, values: list[str]) -> events.TimerExpired:
    return events.TimerExpired(values[0])


def _decode_health_check_completed(
    endpoint_index: EndpointIndex, values: list[str]
) -> events.HealthCheckCompleted:
    return events.HealthCheckCompleted(
        endpoint_index(values[0]), values[1] == "OK", decode_time(values[2]), _parse_load(values[3])
    )


def _decode_peer_message_received(_: EndpointIndex, values: list[str]) -> events.PeerMessageReceived:
    return events.PeerMessageReceived(int(values[0]), _parse_payload(values[1]))


def _decode_slice_demand_report(_: EndpointIndex, values: list[str]) -> events.SliceDemandReport:
    return events.SliceDemandReport(
        slice=int(values[4]),
        group=int(values[3]),
        requests=int(values[2]),
        unanswered=int(values[1]),
        window=decode_time(values[0]),
    )


def _decode_slice_assigned(_: EndpointIndex, values: list[str]) -> events.SliceAssigned:
    return events.SliceAssigned(int(values[0]), _parse_flag(values[1]))


def _decode_slice_weight_stored(endpoint_index: EndpointIndex, values: list[str]) -> events.SliceWeightStored:
    return events.SliceWeightStored(int(values[1]), endpoint_index(values[0]), _parse_number(values[2]))


class EventDecoder(NamedTuple):
    """Decoder of one kind of line.

    Attributes:
        value_count: Number of values that follow the instance's number.
        decode: Function that returns the event of these values.
        syntax: Names of the values in the protocol's own terms, for errors.
    """

    value_count: int
    decode: Callable[[EndpointIndex, list[str]], events.Event]
    syntax: str


DECODERS = {
    "enrolled": EventDecoder(4, _decode_proxy_joined, "share on rack-zone proxy"),
    "detached": EventDecoder(1, _decode_proxy_left, "proxy"),
    "tally": EventDecoder(
        7, _decode_load_report, "rack-zone unanswered endpoint cost-time-ms window-ms number metrics"
    ),
    "proxy_stats": EventDecoder(5, _decode_demand_report, "proxy grade number unanswered window-ms"),
    "acked": EventDecoder(3, _decode_batch_acknowledged, "proxy version cost-time-ms"),
    "due": EventDecoder(1, _decode_timer_expired, "key-back"),
    "checked": EventDecoder(4, _decode_health_check_completed, "endpoint rc cost-time-ms metrics"),
    "neighbour_says": EventDecoder(2, _decode_peer_message_received, "neighbour octets"),
    "slice_load": EventDecoder(5, _decode_slice_demand_report, "window-ms unanswered number grade tbl"),
    "handed": EventDecoder(2, _decode_slice_assigned, "tbl on"),
    "in_store": EventDecoder(3, _decode_slice_weight_stored, "endpoint tbl share"),
}


def decode_line(
    text: str, index_of: IndexOfInstance, next_line: Callable[[], str]
) -> tuple[int, Boot | Exit | events.Event]:
    """Decode one line of a batch, and the lines of entries that follow an endpoint list.

    Args:
        text: The line.
        index_of: Function of an instance's number and the line; it returns the instance's index function.
        next_line: Function that returns the next line of the batch.

    Returns:
        The number of the instance, and its start, its end or the event for it.

    Raises:
        MalformedLineError: The line, or that of an entry, is malformed.
    """
    values = text.split(" ")
    name = values[0]
    if name == "boot":
        return _decode_boot(text)
    if name == "exit":
        return _decode_exit(text, values)
    if name == "topology":
        return _decode_list(text, values, index_of, next_line)
    decoder = DECODERS.get(name)
    if decoder is None:
        raise MalformedLineError(text[:SHOWN_LINE_LENGTH], "an event of the protocol, or eob")
    try:
        if len(values) < decoder.value_count + 2:
            raise ValueError("expected more values")
        instance = int(values[1])
        return instance, decoder.decode(index_of(instance, text), values[2:])
    except ValueError as error:
        raise MalformedLineError(text, f"{name} i {decoder.syntax}") from error


def _decode_boot(text: str) -> tuple[int, Boot]:
    try:
        _, instance, seed, environment = text.split(" ", 3)
        settings = json.loads(environment)
        if not isinstance(settings, dict):
            raise ValueError("expected a JSON object")
        return int(instance), Boot(int(seed), settings)
    except ValueError as error:
        raise MalformedLineError(text[:SHOWN_LINE_LENGTH], "boot i rng-seed env (a JSON object)") from error


def _decode_exit(text: str, values: list[str]) -> tuple[int, Exit]:
    try:
        return int(values[1]), Exit()
    except (ValueError, IndexError) as error:
        raise MalformedLineError(text, "exit i") from error


def _decode_list(
    text: str, values: list[str], index_of: IndexOfInstance, next_line: Callable[[], str]
) -> tuple[int, events.Event]:
    try:
        instance = int(values[1])
        kind = values[2]
        int(values[3])  # the version is checked but not used
        count = int(values[LIST_COUNT_POSITION]) if len(values) > LIST_COUNT_POSITION else 0
        if (kind not in LIST_KINDS and kind != LIST_UNAVAILABLE) or count < 0:
            raise ValueError("expected a known kind of list and a count of 0 or more")
    except (ValueError, IndexError) as error:
        raise MalformedLineError(text, "topology i kind version members-list") from error
    endpoint_index = index_of(instance, text)
    entries = tuple(_decode_entry(next_line(), endpoint_index) for _ in range(count))
    if kind == LIST_UNAVAILABLE:
        return instance, events.WatchFailed()
    return instance, events.EndpointsListed(LIST_KINDS[kind], entries)


def _decode_entry(text: str, endpoint_index: EndpointIndex) -> events.ListedEndpoint:
    values = text.split(" ")
    try:
        if values[0] != "endpoint" or len(values) < ENTRY_LENGTH or values[5] not in STATES:
            raise ValueError("expected a complete list entry with a known state")
        return events.ListedEndpoint(
            endpoint=endpoint_index(values[1]),
            zone=int(values[2]),
            machine_kind=int(values[3]),
            cell=int(values[4]),
            state=STATES[values[5]],
            weight=_parse_number(values[6]),
            started_at=decode_time(values[7]),
        )
    except ValueError as error:
        raise MalformedLineError(text, ENTRY_SYNTAX) from error
