"""The operator file's tables: every key, its type, bounds and default, in this one place. All is off by default."""

from typing import Annotated, Literal

from msgspec import Meta, Struct, field

Whole = Annotated[int, Meta(ge=0)]


def said(kind, expected: str, **bounds):
    """A key's type; `expected` is how the check names it."""
    return Annotated[kind, Meta(description=expected, **bounds)]


class Log(Struct, forbid_unknown_fields=True, frozen=True):
    """What the log looks like."""

    format: said(Literal["text", "json"], '"text" or "json"') = "text"


class Background(Struct, forbid_unknown_fields=True, frozen=True):
    """Loop time for work that is not table lines."""

    jobs: said(int, "a whole number from 8 to 100000", ge=8, le=100_000) = 256
    turn_ms: said(float, "a number from 0.1 to 20", ge=0.1, le=20) = 2.0
    a_second_ms: said(float, "a number from 1 to 900", ge=1, le=900) = 100.0
    ageing_s: said(float, "a number from 0.1 to 600", ge=0.1, le=600) = 5.0


class Graphite(Struct, forbid_unknown_fields=True, frozen=True):
    """Figures to carbon receivers; off without receivers."""

    receivers: said(list[str], 'a list of "host:port"') = field(default_factory=list)
    protocol: said(Literal["plaintext", "pickle"], '"plaintext" or "pickle"') = "plaintext"
    prefix: said(
        str,
        "words parted by dots, of letters, digits, _ and -",
        pattern=r"^[A-Za-z0-9_\-]+(\.[A-Za-z0-9_\-]+)*$",
        max_length=120,
    ) = "ravenshelf"
    every_s: said(int, "a whole number from 1 to 3600", ge=1, le=3600) = 10
    route: said(Literal["all", "hash"], '"all" or "hash"') = "all"
    buffer_points: said(int, "a whole number from 1000 to 10000000", ge=1000, le=10_000_000) = 20_000
    backfill_points_s: said(int, "a whole number from 10 to 1000000", ge=10, le=1_000_000) = 2_000
    spool_mb: said(float, "a number from 0 (no spool) to 100000", ge=0, le=100_000) = 0.0
    spool_dir: said(str, "the path of a folder, given with spool_mb") = ""


class Collectd(Struct, forbid_unknown_fields=True, frozen=True):
    """Values from collectd as a signal; off without an address to listen at."""

    listen: said(str, '"host:port", or "" for off') = ""
    security: said(Literal["none", "sign", "encrypt"], '"none", "sign" or "encrypt"') = "none"
    users: said(str, "the path of a file of `user: password` lines") = ""
    plugins: said(list[Literal["cpu", "load"]], 'a list of "cpu" and "load"') = field(
        default_factory=lambda: ["cpu"]
    )
    hosts: said(dict[str, list[str]], "a table of host = [endpoints]") = field(default_factory=dict)
    types: said(str, "the path of a types.db") = ""


class Leadership(Struct, forbid_unknown_fields=True, frozen=True):
    """Several controllers on one fleet; off without a name. What changes here waits for a restart, but for the
    certificates' files, which SIGHUP reads again."""

    name: said(str, 'one of members, or "" for off') = ""
    cluster: said(str, "a name that all members share") = ""
    members: said(dict[str, str], 'a table of name = "host:port", the same at all members') = field(
        default_factory=dict
    )
    shards: said(int, "a whole number from 1 to 4096, the same at all members", ge=1, le=4096) = 64
    lease_ms: said(float, "a number from 200 to 60000, the same at all members", ge=200, le=60_000) = 1500.0
    capacity: said(float, "a number from 0.01 to 1000", ge=0.01, le=1000) = 1.0
    certificate: said(str, "the path of a PEM file whose common name is this member's") = ""
    key: said(str, "the path of its key") = ""
    authority: said(str, "the path of the cluster's own authority") = ""
    admin: said(str, "the path of a Unix socket") = ""


class Distribution(Struct, forbid_unknown_fields=True, frozen=True):
    """Tables decided once a service; off without a name. With `service` a pilot subscribes to its tables; with `listen` the
    file is a relay's or, with `services` too, a controller's, processes of their own: `ravenshelf distribution`."""

    name: said(str, 'this process\'s name, its own in the cluster, or "" for off') = ""
    service: said(str, 'the service that this pilot\'s proxies call, or "" for none') = ""
    cluster: said(str, "a name that all relays and controllers share") = ""
    listen: said(str, '"host:port" for subscribers') = ""
    services: said(str, "the path of a controller's file of services") = ""
    parents: said(dict[str, str], 'a table of name = "host:port", the preferred parent first') = field(
        default_factory=dict
    )
    owners: said(bool, "true where the parents are the controllers that publish") = False
    subscribers: said(int, "a whole number from 1 to 65536", ge=1, le=65_536) = 128
    snapshot_mb_s: said(float, "a number from 0.01 to 10000", ge=0.01, le=10_000) = 4.0
    admin: said(str, "the path of a Unix socket") = ""


class Store(Struct, forbid_unknown_fields=True, frozen=True):
    """State that survives a crash."""

    folder: said(str, "the path of a folder of this pilot's own") = ""


class Operator(Struct, forbid_unknown_fields=True, frozen=True):
    """The whole file."""

    log: Log = field(default_factory=Log)
    background: Background = field(default_factory=Background)
    graphite: Graphite = field(default_factory=Graphite)
    collectd: Collectd = field(default_factory=Collectd)
    leadership: Leadership = field(default_factory=Leadership)
    distribution: Distribution = field(default_factory=Distribution)
    store: Store = field(default_factory=Store)
