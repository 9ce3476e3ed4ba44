"""Catalogue of the metrics that are exported to Graphite.

Each entry has the path, unit, importance, source and meaning of a metric. The metrics collector derives its
paths from these entries; `ravenshelf figures` and the operators' page list them.
"""

from typing import NamedTuple

ESSENTIAL, USEFUL, DETAIL = range(3)  # The importances, as indices in IMPORTANCES.
# Names of the importances. A full queue drops points of the last one first.
IMPORTANCES = ("essential", "useful", "detail")
QUANTILES = (("p50", 50.0), ("p90", 90.0), ("p99", 99.0), ("p999", 99.9), ("max", 100.0))


class Metric(NamedTuple):
    """Entry of the catalogue; a distribution is exported as one path per quantile.

    `path` is appended to the prefix and the server's name; its placeholders are in braces. `estimated_from`
    describes how an estimate is computed; it is empty for values that the server counts or measures itself.
    """

    path: str
    unit: str
    importance: int
    source: str
    meaning: str
    estimated_from: str
    is_distribution: bool


CATALOGUE: dict[str, Metric] = {}


def add_metric(
    path: str,
    unit: str,
    importance: int,
    source: str,
    meaning: str,
    estimated_from: str = "",
    is_distribution: bool = False,
) -> Metric:
    """Add a metric to the catalogue and return it.

    Raises:
        ValueError: The catalogue already has a metric with this path.
    """
    if path in CATALOGUE:
        raise ValueError(f"expected each path once, found two metrics with the path {path}")
    new_metric = Metric(path, unit, importance, source, meaning, estimated_from, is_distribution)
    CATALOGUE[path] = new_metric
    return new_metric


COUNTING_DELAY = (
    "counted when the report arrives: up to one window, plus the report's delay, after the request ended"
)
OBJECTIVE_ESTIMATE = (
    "requests that succeeded times the share of the zone's successful attempts that met the latency "
    "objective, where a report of mean m counts 1 - exp(-objective / m) of its attempts: "
    "reports give a mean and no distribution"
)

# Traffic groups

WEIGHTED_GOODPUT = add_metric(
    "group.{group}.weighted_goodput_per_s",
    "weighted requests/s",
    ESSENTIAL,
    "RATE, LOAD",
    "requests that met the latency objective, times the group's priority weight",
    f"{OBJECTIVE_ESTIMATE}; times the group's priority weight; {COUNTING_DELAY}",
)
GOODPUT = add_metric(
    "group.{group}.within_objective_per_s",
    "requests/s",
    ESSENTIAL,
    "RATE, LOAD",
    "requests that met the latency objective",
    f"{OBJECTIVE_ESTIMATE}; {COUNTING_DELAY}",
)
SUCCEEDED = add_metric(
    "group.{group}.succeeded_per_s",
    "requests/s",
    ESSENTIAL,
    "RATE",
    "requests that succeeded at any latency",
    f"demand less rejected and failed requests; {COUNTING_DELAY}",
)
FAILED = add_metric(
    "group.{group}.failed_per_s",
    "requests/s",
    ESSENTIAL,
    "RATE",
    "requests that were admitted and failed",
    COUNTING_DELAY,
)
REJECTED = add_metric(
    "group.{group}.rejected_per_s",
    "requests/s",
    ESSENTIAL,
    "RATE, tables",
    "requests that an admission level rejected",
    f"demand above the admission level that was last sent to the proxy; {COUNTING_DELAY}",
)
DEMAND = add_metric(
    "group.{group}.demand_per_s",
    "requests/s",
    ESSENTIAL,
    "RATE",
    "requests that proxies received",
    COUNTING_DELAY,
)

# Drains

DRAINS_STARTED = add_metric(
    "drains.started", "count", ESSENTIAL, "discovery", "ready endpoints that started to drain or were removed"
)
DRAINS_PENDING = add_metric(
    "drains.pending",
    "count",
    ESSENTIAL,
    "tables, ACK",
    "drains that at least one proxy has not acknowledged yet",
)
DRAIN_DURATION = add_metric(
    "drains.duration_ms",
    "ms",
    ESSENTIAL,
    "discovery, ACK",
    "time from the change of the endpoint list to the acknowledgement of the last proxy",
    is_distribution=True,
)

# Control channel, proxies and endpoints

CHANNEL_QUEUE = add_metric(
    "channel.queue_lines",
    "lines",
    ESSENTIAL,
    "decisions",
    "estimated number of lines that are queued in the control channel",
    "lines sent less the lines that the channel has delivered at its estimated rate",
)
CHANNEL_QUEUE_UTILIZATION = add_metric(
    "channel.queue_utilization",
    "share",
    ESSENTIAL,
    "decisions",
    "estimated queued lines divided by the queue limit",
    "as for channel.queue_lines",
)
CHANNEL_RATE = add_metric(
    "channel.rate_lines_per_s",
    "lines/s",
    ESSENTIAL,
    "decisions",
    "the control channel's estimated rate",
    "lines queued before a marker, divided by the time until the marker was acknowledged",
)
PROXIES_CONNECTED = add_metric(
    "proxies.connected", "count", ESSENTIAL, "streams", "proxies that are connected to this server"
)
PROXIES_BOUND = add_metric(
    "proxies.bound", "count", ESSENTIAL, "tables", "connected proxies that are bound to a table"
)
ENDPOINT_STATES = add_metric(
    "endpoints.{state}", "count", ESSENTIAL, "discovery", "endpoints in each state of the endpoint list"
)
CONTROL_CYCLES_FAILED = add_metric(
    "control_cycles.failed",
    "count",
    ESSENTIAL,
    "server",
    "control cycles in which the controller raised an error",
)

# Zones

ZONE_DEMAND = add_metric(
    "zone.{zone}.demand_per_s",
    "requests/s",
    USEFUL,
    "decisions",
    "estimated demand of the proxies in the zone",
    "decayed totals of RATE; the nominal rate until the first report",
)
ZONE_SPILL = add_metric(
    "zone.{zone}.spill.{to}",
    "share",
    USEFUL,
    "decisions",
    "share of the zone's demand that zone {to} serves",
)
ZONE_HEALTH = add_metric(
    "zone.{zone}.health",
    "share",
    USEFUL,
    "decisions",
    "mean health score of the zone's endpoints: the share of attempts that succeed",
    "decayed totals of LOAD with a prior; returns to 1 without new reports",
)
ZONE_ATTEMPTS = add_metric(
    "zone.{zone}.attempts_per_s",
    "attempts/s",
    USEFUL,
    "LOAD",
    "attempts at the zone's endpoints",
    COUNTING_DELAY,
)
ZONE_FAILURE_RATIO = add_metric(
    "zone.{zone}.failure_ratio",
    "share",
    USEFUL,
    "LOAD",
    "share of the attempts at the zone's endpoints that failed",
    COUNTING_DELAY,
)
ZONE_LATENCY = add_metric(
    "zone.{zone}.latency_ms",
    "ms",
    USEFUL,
    "LOAD",
    "mean latency of the attempts that succeeded",
    COUNTING_DELAY,
)

# Reports and table updates

REPORTS_RECEIVED = add_metric(
    "reports.received_per_s", "messages/s", USEFUL, "LOAD, RATE", "load and demand reports that were received"
)
REPORT_AGE = add_metric(
    "reports.age_ms",
    "ms",
    USEFUL,
    "LOAD, RATE",
    "age of a report when it is received",
    "half of its window; the transmission delay is unknown, so the true age is higher",
    is_distribution=True,
)
REPORT_INTERVAL = add_metric(
    "reports.interval_ms",
    "ms",
    USEFUL,
    "LOAD, RATE",
    "time between consecutive reports of one zone",
    is_distribution=True,
)
UPDATE_LATENCY = add_metric(
    "table_updates.latency_ms",
    "ms",
    USEFUL,
    "ACK",
    "time from the dispatch of a table update until the proxy had applied it, as acknowledged",
    is_distribution=True,
)
MESSAGES_SENT = add_metric(
    "table_updates.messages_per_s", "messages/s", USEFUL, "server", "messages sent to proxies"
)
LINES_SENT = add_metric(
    "table_updates.lines_per_s",
    "lines/s",
    USEFUL,
    "server",
    "lines in messages to proxies, as the control channel counts them",
)
CONTROL_CYCLES = add_metric("control_cycles.per_s", "cycles/s", USEFUL, "server", "control cycles that ran")
CONTROL_CYCLE_DURATION = add_metric(
    "control_cycles.duration_ms", "ms", USEFUL, "server", "duration of a control cycle", is_distribution=True
)
CONTROL_CYCLE_DELAY = add_metric(
    "control_cycles.delay_ms",
    "ms",
    USEFUL,
    "server",
    "delay with which the event loop started a control cycle",
    is_distribution=True,
)

# Process, background jobs, Graphite and collectd

PROCESS_MEMORY = add_metric("process.memory_mb", "MB", DETAIL, "system", "resident memory of the process")
PROCESS_DESCRIPTORS = add_metric("process.descriptors", "count", DETAIL, "system", "open file descriptors")
PROCESS_CPU = add_metric(
    "process.cpu_utilization",
    "share",
    DETAIL,
    "system",
    "processor time of the process, as a share of one core",
)
BACKGROUND_UTILIZATION = add_metric(
    "background.utilization",
    "share",
    DETAIL,
    "server",
    "share of the event loop's time that background jobs use",
)
BACKGROUND_QUEUED = add_metric(
    "background.queued", "count", DETAIL, "server", "background jobs that are queued"
)
BACKGROUND_DROPPED = add_metric(
    "background.dropped", "count", DETAIL, "server", "background jobs dropped since the start"
)
RECEIVER_QUEUED = add_metric(
    "graphite.{receiver}.queued_points", "points", DETAIL, "server", "points that are queued for the receiver"
)
RECEIVER_DROPPED = add_metric(
    "graphite.{receiver}.dropped_points",
    "points",
    DETAIL,
    "server",
    "points for the receiver that were dropped since the start",
)
PACKETS_ACCEPTED = add_metric(
    "collectd.packets_per_s", "packets/s", DETAIL, "server", "collectd packets that were accepted"
)
PACKETS_REJECTED = add_metric(
    "collectd.rejected_per_s", "packets/s", DETAIL, "server", "collectd packets that were rejected"
)
COLLECTD_VALUES = add_metric(
    "collectd.values_per_s", "values/s", DETAIL, "server", "collectd values that were used"
)

# Leases and store

SHARDS_OWNED = add_metric(
    "leadership.shards", "count", ESSENTIAL, "leadership", "shards whose lease this server holds"
)
MEMBERS_CONNECTED = add_metric(
    "leadership.members",
    "count",
    ESSENTIAL,
    "leadership",
    "connected controller members, including this one",
)
COMMANDS_WAITING = add_metric(
    "leadership.waiting_commands",
    "count",
    USEFUL,
    "leadership",
    "commands that wait for their record to be written or for a lease",
)
RECORDS_WRITTEN = add_metric(
    "leadership.records_per_s", "records/s", USEFUL, "leadership", "records sent to the voters"
)
STORE_COMMITS = add_metric("store.commits_per_s", "commits/s", DETAIL, "store", "synchronized writes to disk")

# Relays

RELAY_SUBSCRIBERS = add_metric(
    "relay.subscribers", "count", ESSENTIAL, "relay", "subscribers that are connected"
)
RELAY_UPSTREAMS = add_metric("relay.upstreams", "count", ESSENTIAL, "relay", "upstreams that are connected")
RELAY_TOPICS = add_metric("relay.topics", "count", USEFUL, "relay", "topics that are cached")
RELAY_REJECTED = add_metric(
    "relay.rejected_per_s", "connections/s", ESSENTIAL, "relay", "connections that were rejected"
)
RELAY_RESYNCS = add_metric(
    "relay.resyncs_per_s", "resyncs/s", USEFUL, "relay", "requests to a parent for updates that were missed"
)
RELAY_SNAPSHOT_BYTES = add_metric(
    "relay.snapshot_bytes_per_s", "bytes/s", USEFUL, "relay", "bytes of snapshots sent to subscribers"
)
RELAY_BYTES = add_metric(
    "relay.bytes_per_s", "bytes/s", DETAIL, "relay", "bytes sent to subscribers, without frame headers"
)

# Single endpoints

ENDPOINT_ATTEMPTS = add_metric(
    "endpoint.{endpoint}.attempts_per_s",
    "attempts/s",
    DETAIL,
    "LOAD",
    "attempts at the endpoint",
    COUNTING_DELAY,
)
ENDPOINT_HEALTH = add_metric(
    "endpoint.{endpoint}.health",
    "share",
    DETAIL,
    "decisions",
    "the endpoint's health score",
    "as for zone.{zone}.health",
)
ENDPOINT_WEIGHT = add_metric(
    "endpoint.{endpoint}.effective_weight",
    "weight",
    DETAIL,
    "decisions",
    "weight in the endpoint list times the factors for slow start, health, speed and host load",
)


def rows() -> list[tuple[str, ...]]:
    """Return a table row for each metric: path, unit, importance, source, meaning and estimate."""
    quantile_names = ",".join(name for name, _ in QUANTILES)
    return [
        (
            f"{entry.path}.{{{quantile_names}}}" if entry.is_distribution else entry.path,
            entry.unit,
            IMPORTANCES[entry.importance],
            entry.source,
            entry.meaning,
            entry.estimated_from,
        )
        for entry in CATALOGUE.values()
    ]
