"""Lines of the wire into calls. Times become whole microseconds, words become ours, ids small indices."""

import base64
import binascii
import json

from ravenshelf.provisioning import provisioning

STATES = ("ready", "draining", "gone")
LISTS = ("update", "replace", "restored", "unavailable")


class Malformed(Exception):
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
    return "heard", (int(v[0]), ids(v[2]), int(v[5]), int(v[1]), micros(v[3]), micros(v[4]), report(v[6]))


def joined(ids, v):
    return "joined", (int(v[3]), int(v[2]), 0.0 if v[0] == "-" else number(v[0]), flag(v[1]))


def asked(ids, v):
    return "asked", (int(v[0]), int(v[1]), int(v[2]), int(v[3]), micros(v[4]))


def probed(ids, v):
    return "probed", (ids(v[0]), v[1] == "OK", micros(v[2]), report(v[3]))


def slice_asked(ids, v):
    return "slice_asked", (int(v[4]), int(v[3]), int(v[2]), int(v[1]), micros(v[0]))


# event: (values it must have after the instance, how they become a call, the form named in a complaint)
EVENTS = {
    "enrolled": (4, joined, "share on rack-zone proxy"),
    "detached": (1, lambda ids, v: ("left", (int(v[0]),)), "proxy"),
    "tally": (7, heard, "rack-zone unanswered endpoint cost-time-ms window-ms number metrics"),
    "proxy_stats": (5, asked, "proxy grade number unanswered window-ms"),
    "acked": (
        3,
        lambda ids, v: ("applied", (int(v[0]), int(v[1]), micros(v[2]))),
        "proxy version cost-time-ms",
    ),
    "due": (1, lambda ids, v: ("woken", (v[0],)), "key-back"),
    "checked": (4, probed, "endpoint rc cost-time-ms metrics"),
    "neighbour_says": (2, lambda ids, v: ("told", (int(v[0]), octets(v[1]))), "neighbour octets"),
    "slice_load": (5, slice_asked, "window-ms unanswered number grade tbl"),
    "handed": (2, lambda ids, v: ("granted", (int(v[0]), flag(v[1]))), "tbl on"),
    "in_store": (3, lambda ids, v: ("stored", (int(v[1]), ids(v[0]), number(v[2]))), "endpoint tbl share"),
}


def entry(ids, text):
    v = text.split(" ")
    try:
        if v[0] != "endpoint" or len(v) < 8 or v[5] not in STATES:
            raise ValueError("no entry")
        return (ids(v[1]), int(v[2]), int(v[3]), int(v[4]), v[5], number(v[6]), micros(v[7]))
    except ValueError as why:
        raise Malformed(
            f"line {text!r}: expected 'endpoint' name rack-zone family-type unit-group "
            "availability share last-start-ms"
        ) from why


def event(text, ids_of, following):
    """One event: (instance, call name, values). `following` gives the list entries that belong to it."""
    v = text.split(" ")
    name = v[0]
    if name == "boot":
        try:
            _, i, seed, env = text.split(" ", 3)
            settings = json.loads(env)
            if not isinstance(settings, dict):
                raise ValueError("no map")
            return int(i), "boot", (int(seed), provisioning(settings))
        except ValueError as why:
            raise Malformed(f"line {text[:120]!r}: expected boot i rng-seed env (a JSON object)") from why
    if name == "exit":
        try:
            return int(v[1]), "exit", ()
        except (ValueError, IndexError) as why:
            raise Malformed(f"line {text!r}: expected exit i") from why
    if name == "topology":
        try:
            i, how, _, count = int(v[1]), v[2], int(v[3]), int(v[4]) if len(v) > 4 else 0
            if how not in LISTS or count < 0:
                raise ValueError("no such list")
        except (ValueError, IndexError) as why:
            raise Malformed(f"line {text!r}: expected topology i kind version members-list") from why
        ids = ids_of(i, text)
        entries = tuple(entry(ids, following()) for _ in range(count))
        return (i, "list_failed", ()) if how == "unavailable" else (i, "listed", (how, entries))
    if name not in EVENTS:
        raise Malformed(f"line {text[:120]!r}: expected an event of the wire, or eob")
    width, make, form = EVENTS[name]
    try:
        if len(v) < width + 2:
            raise ValueError("too short")
        i = int(v[1])
        return i, *make(ids_of(i, text), v[2:])
    except ValueError as why:
        raise Malformed(f"line {text!r}: expected {name} i {form}") from why
