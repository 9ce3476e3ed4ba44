"""The tables of the operator file: every key with its type, bounds and default. Everything is off by default.

A key's description is what the check names as expected.
"""

from typing import Annotated, Literal

from msgspec import Meta, Struct, field


class Log(Struct, forbid_unknown_fields=True, frozen=True):
    """The form of the log."""

    format: Annotated[Literal["text", "json"], Meta(description='"text" or "json"')] = "text"


class Background(Struct, forbid_unknown_fields=True, frozen=True):
    """The event loop's time for background jobs."""

    jobs: Annotated[int, Meta(description="a whole number from 8 to 100000", ge=8, le=100_000)] = 256
    turn_ms: Annotated[float, Meta(description="a number from 0.1 to 20", ge=0.1, le=20)] = 2.0
    a_second_ms: Annotated[float, Meta(description="a number from 1 to 900", ge=1, le=900)] = 100.0
    ageing_s: Annotated[float, Meta(description="a number from 0.1 to 600", ge=0.1, le=600)] = 5.0


class Graphite(Struct, forbid_unknown_fields=True, frozen=True):
    """The export of metrics to carbon receivers; off without receivers."""

    receivers: Annotated[list[str], Meta(description='a list of "host:port"')] = field(default_factory=list)
    protocol: Annotated[Literal["plaintext", "pickle"], Meta(description='"plaintext" or "pickle"')] = (
        "plaintext"
    )
    prefix: Annotated[
        str,
        Meta(
            description="words parted by dots, of letters, digits, _ and -",
            pattern=r"^[A-Za-z0-9_\-]+(\.[A-Za-z0-9_\-]+)*$",
            max_length=120,
        ),
    ] = "ravenshelf"
    every_s: Annotated[int, Meta(description="a whole number from 1 to 3600", ge=1, le=3600)] = 10
    route: Annotated[Literal["all", "hash"], Meta(description='"all" or "hash"')] = "all"
    buffer_points: Annotated[
        int, Meta(description="a whole number from 1000 to 10000000", ge=1000, le=10_000_000)
    ] = 20_000
    backfill_points_s: Annotated[
        int, Meta(description="a whole number from 10 to 1000000", ge=10, le=1_000_000)
    ] = 2_000
    spool_mb: Annotated[float, Meta(description="a number from 0 (no spool) to 100000", ge=0, le=100_000)] = (
        0.0
    )
    spool_dir: Annotated[str, Meta(description="the path of a folder, given with spool_mb")] = ""


class Collectd(Struct, forbid_unknown_fields=True, frozen=True):
    """Host loads of collectd's values; off without an address to listen at."""

    listen: Annotated[str, Meta(description='"host:port", or "" for off')] = ""
    security: Annotated[
        Literal["none", "sign", "encrypt"], Meta(description='"none", "sign" or "encrypt"')
    ] = "none"
    users: Annotated[str, Meta(description="the path of a file of `user: password` lines")] = ""
    plugins: Annotated[list[Literal["cpu", "load"]], Meta(description='a list of "cpu" and "load"')] = field(
        default_factory=lambda: ["cpu"]
    )
    hosts: Annotated[dict[str, list[str]], Meta(description="a table of host = [endpoints]")] = field(
        default_factory=dict
    )
    types: Annotated[str, Meta(description="the path of a types.db")] = ""


class Leadership(Struct, forbid_unknown_fields=True, frozen=True):
    """Leases between several servers on one fleet; off without a name.

    Changes take effect after a restart, except those of the certificates' files, which SIGHUP reads again.
    """

    name: Annotated[str, Meta(description='one of members, or "" for off')] = ""
    cluster: Annotated[str, Meta(description="a name that all members share")] = ""
    members: Annotated[
        dict[str, str], Meta(description='a table of name = "host:port", the same at all members')
    ] = field(default_factory=dict)
    shards: Annotated[
        int, Meta(description="a whole number from 1 to 4096, the same at all members", ge=1, le=4096)
    ] = 64
    lease_ms: Annotated[
        float, Meta(description="a number from 200 to 60000, the same at all members", ge=200, le=60_000)
    ] = 1500.0
    capacity: Annotated[float, Meta(description="a number from 0.01 to 1000", ge=0.01, le=1000)] = 1.0
    certificate: Annotated[
        str, Meta(description="the path of a PEM file whose common name is this member's")
    ] = ""
    key: Annotated[str, Meta(description="the path of its key")] = ""
    authority: Annotated[str, Meta(description="the path of the cluster's own authority")] = ""
    admin: Annotated[str, Meta(description="the path of a Unix socket")] = ""


class Distribution(Struct, forbid_unknown_fields=True, frozen=True):
    """Tables that are decided once for a service; off without a name.

    With `service` the server subscribes to its tables. With `listen` the file is a relay's or, with
    `services` too, a service owner's, which are processes of their own: `ravenshelf distribution`.
    """

    name: Annotated[str, Meta(description='this process\'s name, its own in the cluster, or "" for off')] = ""
    service: Annotated[
        str, Meta(description='the service that this pilot\'s proxies call, or "" for none')
    ] = ""
    cluster: Annotated[str, Meta(description="a name that all relays and controllers share")] = ""
    listen: Annotated[str, Meta(description='"host:port" for subscribers')] = ""
    services: Annotated[str, Meta(description="the path of a controller's file of services")] = ""
    parents: Annotated[
        dict[str, str], Meta(description='a table of name = "host:port", the preferred parent first')
    ] = field(default_factory=dict)
    owners: Annotated[bool, Meta(description="true where the parents are the controllers that publish")] = (
        False
    )
    subscribers: Annotated[int, Meta(description="a whole number from 1 to 65536", ge=1, le=65_536)] = 128
    snapshot_mb_s: Annotated[float, Meta(description="a number from 0.01 to 10000", ge=0.01, le=10_000)] = 4.0
    admin: Annotated[str, Meta(description="the path of a Unix socket")] = ""


class Store(Struct, forbid_unknown_fields=True, frozen=True):
    """Stored state, which survives a crash."""

    folder: Annotated[str, Meta(description="the path of a folder of this pilot's own")] = ""


class OperatorConfiguration(Struct, forbid_unknown_fields=True, frozen=True):
    """The tables of an operator file."""

    log: Log = field(default_factory=Log)
    background: Background = field(default_factory=Background)
    graphite: Graphite = field(default_factory=Graphite)
    collectd: Collectd = field(default_factory=Collectd)
    leadership: Leadership = field(default_factory=Leadership)
    distribution: Distribution = field(default_factory=Distribution)
    store: Store = field(default_factory=Store)
