"""Lines of the wire into calls. Times become whole microseconds, words become ours, ids small indices."""

import base64
import binascii
import json
from typing import Any, NamedTuple

from ravenshelf.errors import RavenshelfError
from ravenshelf.policy import events

STATES = {state.value: state for state in events.EndpointState}
LIST_KINDS = {kind.value: kind for kind in events.ListKind}
UNAVAILABLE = "unavailable"


class Boot(NamedTuple):
    """An instance starts; its settings are still the JSON object."""

    seed: int
    settings: dict[str, Any]


class Exit(NamedTuple):
    """An instance ends."""


class MalformedLineError(RavenshelfError):
    """What the wire must not say; the text names the line and what was expected."""


def number(text):
    value = float(text)
    if value != value or value in (float("inf"), float("-inf")):
        raise ValueError("not finite")
    return value


def micros(text):
    return 0 if text == "-" else round(number(text) * 1000)


def flag(text):
    if text not in ("0", "1"):
        raise ValueError("not a bool")
    return text == "1"


def report(text):
    return () if text == "-" else tuple(number(part) for part in text.split(","))


def octets(text):
    try:
        return b"" if text == "-" else base64.b64decode(text, validate=True)
    except binascii.Error as why:
        raise ValueError("not base64") from why


def heard(ids, v):
    return events.LoadReport(
        int(v[0]), ids(v[2]), int(v[5]), int(v[1]), micros(v[3]), micros(v[4]), report(v[6])
    )


def joined(ids, v):
    return events.ProxyJoined(int(v[3]), int(v[2]), 0.0 if v[0] == "-" else number(v[0]), flag(v[1]))


def asked(ids, v):
    return events.DemandReport(int(v[0]), int(v[1]), int(v[2]), int(v[3]), micros(v[4]))


def probed(ids, v):
    return events.HealthCheckCompleted(ids(v[0]), v[1] == "OK", micros(v[2]), report(v[3]))


def slice_asked(ids, v):
    return events.SliceDemandReport(int(v[4]), int(v[3]), int(v[2]), int(v[1]), micros(v[0]))


# event: (values it must have after the instance, how they become a call, the form named in a complaint)
EVENTS = {
    "enrolled": (4, joined, "share on rack-zone proxy"),
    "detached": (1, lambda ids, v: events.ProxyLeft(int(v[0])), "proxy"),
    "tally": (7, heard, "rack-zone unanswered endpoint cost-time-ms window-ms number metrics"),
    "proxy_stats": (5, asked, "proxy grade number unanswered window-ms"),
    "acked": (
        3,
        lambda ids, v: events.BatchAcknowledged(int(v[0]), int(v[1]), micros(v[2])),
        "proxy version cost-time-ms",
    ),
    "due": (1, lambda ids, v: events.TimerExpired(v[0]), "key-back"),
    "checked": (4, probed, "endpoint rc cost-time-ms metrics"),
    "neighbour_says": (
        2,
        lambda ids, v: events.PeerMessageReceived(int(v[0]), octets(v[1])),
        "neighbour octets",
    ),
    "slice_load": (5, slice_asked, "window-ms unanswered number grade tbl"),
    "handed": (2, lambda ids, v: events.SliceAssigned(int(v[0]), flag(v[1])), "tbl on"),
    "in_store": (
        3,
        lambda ids, v: events.SliceWeightStored(int(v[1]), ids(v[0]), number(v[2])),
        "endpoint tbl share",
    ),
}


def entry(ids, text):
    v = text.split(" ")
    try:
        if v[0] != "endpoint" or len(v) < 8 or v[5] not in STATES:
            raise ValueError("no entry")
        return events.ListedEndpoint(
            ids(v[1]), int(v[2]), int(v[3]), int(v[4]), STATES[v[5]], number(v[6]), micros(v[7])
        )
    except ValueError as why:
        raise MalformedLineError(
            f"line {text!r}: expected 'endpoint' name rack-zone family-type unit-group "
            "availability share last-start-ms"
        ) from why


def _boot(text: str) -> tuple[int, Boot]:
    try:
        _, i, seed, env = text.split(" ", 3)
        settings = json.loads(env)
        if not isinstance(settings, dict):
            raise ValueError("no map")
        return int(i), Boot(int(seed), settings)
    except ValueError as why:
        raise MalformedLineError(
            f"line {text[:120]!r}: expected boot i rng-seed env (a JSON object)"
        ) from why


def event(text, ids_of, following):
    """One line of a batch: the instance, and `Boot`, `Exit` or an event of the policy.

    `following` gives the next line, for the list entries that belong to an event.
    """
    v = text.split(" ")
    name = v[0]
    if name == "boot":
        return _boot(text)
    if name == "exit":
        try:
            return int(v[1]), Exit()
        except (ValueError, IndexError) as why:
            raise MalformedLineError(f"line {text!r}: expected exit i") from why
    if name == "topology":
        try:
            i, how, _, count = int(v[1]), v[2], int(v[3]), int(v[4]) if len(v) > 4 else 0
            if (how not in LIST_KINDS and how != UNAVAILABLE) or count < 0:
                raise ValueError("no such list")
        except (ValueError, IndexError) as why:
            raise MalformedLineError(f"line {text!r}: expected topology i kind version members-list") from why
        ids = ids_of(i, text)
        entries = tuple(entry(ids, following()) for _ in range(count))
        if how == UNAVAILABLE:
            return i, events.WatchFailed()
        return i, events.EndpointsListed(LIST_KINDS[how], entries)
    if name not in EVENTS:
        raise MalformedLineError(f"line {text[:120]!r}: expected an event of the wire, or eob")
    width, make, form = EVENTS[name]
    try:
        if len(v) < width + 2:
            raise ValueError("too short")
        i = int(v[1])
        return i, make(ids_of(i, text), v[2:])
    except ValueError as why:
        raise MalformedLineError(f"line {text!r}: expected {name} i {form}") from why
