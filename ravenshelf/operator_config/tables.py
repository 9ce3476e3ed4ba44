"""Tables of the operator file: every key with its type, bounds and default.

By default every optional feature is off. Error messages and the catalogue of keys show a key's description as
its expected value.
"""

from typing import Annotated, Literal

from msgspec import Meta, Struct, field


class Log(Struct, forbid_unknown_fields=True, frozen=True):
    """Format of the log."""

    format: Annotated[Literal["text", "json"], Meta(description='"text" or "json"')] = "text"


class Background(Struct, forbid_unknown_fields=True, frozen=True):
    """Limits of the background jobs on the event loop.

    Attributes:
        jobs: Maximum number of queued jobs.
        turn_ms: Maximum duration of one turn, in milliseconds.
        a_second_ms: Maximum time that all jobs together use per second, in milliseconds.
        ageing_s: Waiting time, in seconds, after which a job's priority rises by one level.
    """

    jobs: Annotated[int, Meta(description="a whole number from 8 to 100000", ge=8, le=100_000)] = 256
    turn_ms: Annotated[float, Meta(description="a number from 0.1 to 20", ge=0.1, le=20)] = 2.0
    a_second_ms: Annotated[float, Meta(description="a number from 1 to 900", ge=1, le=900)] = 100.0
    ageing_s: Annotated[float, Meta(description="a number from 0.1 to 600", ge=0.1, le=600)] = 5.0


class Graphite(Struct, forbid_unknown_fields=True, frozen=True):
    """Export of metrics to Graphite (carbon) receivers; off without receivers.

    Attributes:
        receivers: The addresses of the receivers.
        protocol: The format in which points are sent.
        prefix: The first component or components of all metric paths.
        every_s: Interval between measurements, in seconds.
        route: "all" sends every point to every receiver; "hash" sends each metric to one receiver.
        buffer_points: Maximum number of points that are queued in memory for one receiver.
        backfill_points_s: Maximum number of old points that are sent to one receiver per second.
        spool_mb: Maximum size of the points that are queued on disk for one receiver, in megabytes; 0 turns
            the queue on disk off.
        spool_dir: The folder that contains the points on disk.
    """

    receivers: Annotated[list[str], Meta(description='a list of "host:port"')] = field(default_factory=list)
    protocol: Annotated[Literal["plaintext", "pickle"], Meta(description='"plaintext" or "pickle"')] = (
        "plaintext"
    )
    prefix: Annotated[
        str,
        Meta(
            description="words separated by dots, each of letters, digits, _ and -",
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
    """Measurement of host loads from collectd packets; off without an address to listen at.

    Attributes:
        listen: The UDP address for packets.
        security: The lowest accepted security level.
        users: The file with the passwords of users that sign or encrypt packets.
        plugins: The plugins whose values are used.
        hosts: The names of the endpoints on each host. Without an entry, an endpoint belongs to the host that
            has its name or its address.
        types: A types.db that replaces the built-in types; "" for the built-in types.
    """

    listen: Annotated[str, Meta(description='"host:port", or "" for off')] = ""
    security: Annotated[
        Literal["none", "sign", "encrypt"], Meta(description='"none", "sign" or "encrypt"')
    ] = "none"
    users: Annotated[str, Meta(description="the path of a file with `user: password` lines")] = ""
    plugins: Annotated[list[Literal["cpu", "load"]], Meta(description='a list of "cpu" and "load"')] = field(
        default_factory=lambda: ["cpu"]
    )
    hosts: Annotated[dict[str, list[str]], Meta(description="a table of host = [endpoints]")] = field(
        default_factory=dict
    )
    types: Annotated[str, Meta(description="the path of a types.db")] = ""


class Leadership(Struct, forbid_unknown_fields=True, frozen=True):
    """Leases of controllers that share a fleet; off without a name.

    Changes take effect after a restart, except for the content of the certificate files, which are read again
    at SIGHUP.

    Attributes:
        name: The name of this member.
        cluster: The name of the cluster.
        members: The address of each member, this one included.
        shards: The number of shards that the proxies, or the services of a service owner, are divided into.
        lease_ms: The duration of a lease, in milliseconds.
        capacity: The weight of this member in proportion to that of the others.
        certificate: The certificate of this member. Without it, connections are not encrypted.
        key: The certificate's private key.
        authority: The certificate of the cluster's certificate authority.
        admin: The Unix socket for administration; "" for none.
    """

    name: Annotated[str, Meta(description='a name in members, or "" for off')] = ""
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
    key: Annotated[str, Meta(description="the path of the certificate's key")] = ""
    authority: Annotated[
        str, Meta(description="the path of a PEM file with the cluster's certificate authority")
    ] = ""
    admin: Annotated[str, Meta(description="the path of a Unix socket")] = ""


class Distribution(Struct, forbid_unknown_fields=True, frozen=True):
    """Settings of the distribution, by which a service owner decides a service's tables for all servers.

    The distribution is off if `name` is empty. With `service`, a server subscribes to the tables of that
    service. With `listen`, the file configures a relay, and with `listen` and `services` a service owner.
    These are separate processes, which `ravenshelf distribution relay` and `ravenshelf distribution
    controller` run.

    Attributes:
        name: The name of this process.
        service: The service whose tables a server uses.
        cluster: The name of the cluster.
        listen: The address for subscribers.
        services: The services file of a service owner.
        parents: The address of each parent by its name. The parents of a service owner are the other
            members.
        owners: Whether the parents are service owners and not relays.
        subscribers: Maximum number of subscribers.
        snapshot_mb_s: Maximum rate at which snapshots are sent, in megabytes per second.
        admin: The Unix socket for administration; "" for none.
    """

    name: Annotated[
        str, Meta(description='the name of this process, unique in the cluster, or "" for off')
    ] = ""
    service: Annotated[
        str, Meta(description='the service that this server\'s proxies call, or "" for none')
    ] = ""
    cluster: Annotated[str, Meta(description="a name that all relays and controllers share")] = ""
    listen: Annotated[str, Meta(description='"host:port" for subscribers')] = ""
    services: Annotated[str, Meta(description="the path of a services file, for a controller")] = ""
    parents: Annotated[
        dict[str, str], Meta(description='a table of name = "host:port", the preferred parent first')
    ] = field(default_factory=dict)
    owners: Annotated[bool, Meta(description="true if the parents are the controllers that publish")] = False
    subscribers: Annotated[int, Meta(description="a whole number from 1 to 65536", ge=1, le=65_536)] = 128
    snapshot_mb_s: Annotated[float, Meta(description="a number from 0.01 to 10000", ge=0.01, le=10_000)] = 4.0
    admin: Annotated[str, Meta(description="the path of a Unix socket")] = ""


class Store(Struct, forbid_unknown_fields=True, frozen=True):
    """State on disk, which survives a crash.

    Attributes:
        folder: The folder of the journal; "" for none.
    """

    folder: Annotated[str, Meta(description="the path of a folder that only this server uses")] = ""


class OperatorConfiguration(Struct, forbid_unknown_fields=True, frozen=True):
    """Tables of an operator file."""

    log: Log = field(default_factory=Log)
    background: Background = field(default_factory=Background)
    graphite: Graphite = field(default_factory=Graphite)
    collectd: Collectd = field(default_factory=Collectd)
    leadership: Leadership = field(default_factory=Leadership)
    distribution: Distribution = field(default_factory=Distribution)
    store: Store = field(default_factory=Store)
