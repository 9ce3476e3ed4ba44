"""The catalogue of metrics: path, unit, importance, source and meaning of everything that is sent to
Graphite.

The metrics collector makes its paths from these entries; `ravenshelf figures` and the operators' page list
them.
"""

from typing import NamedTuple

ESSENTIAL, USEFUL, DETAIL = range(3)  # indices in IMPORTANCES
IMPORTANCES = ("essential", "useful", "detail")  # where a queue is full, points of the last one go first
QUANTILES = (("p50", 50.0), ("p90", 90.0), ("p99", 99.0), ("p999", 99.9), ("max", 100.0))


class Metric(NamedTuple):
    """A metric; a distribution has one path for each quantile.

    `path` follows the prefix and the server's name and has its placeholders in braces. `estimated_from` says
    how an estimate is made; it is empty for what the server counts itself.
    """

    path: str
    unit: str
    importance: int
    source: str
    meaning: str
    estimated_from: str
    is_distribution: bool


CATALOGUE: dict[str, Metric] = {}


def metric(
    path: str,
    unit: str,
    importance: int,
    source: str,
    meaning: str,
    estimated_from: str = "",
    is_distribution: bool = False,
) -> Metric:
    """Add a metric to the catalogue and return it; raises ValueError where the path is in use."""
    if path in CATALOGUE:
        raise ValueError(f"two metrics have the path {path}")
    added = Metric(path, unit, importance, source, meaning, estimated_from, is_distribution)
    CATALOGUE[path] = added
    return added


WINDOWED = "counted when received, which is up to one window and its delay after the request ended"
WITHIN = (
    "requests that succeeded times the share of the zone's successful attempts that met the latency "
    "objective, where a report of mean m counts 1 - exp(-objective / m) of its attempts: "
    "reports give a mean and no distribution"
)

# --- traffic groups ---

WEIGHTED_GOODPUT = metric(
    "group.{group}.weighted_goodput_per_s",
    "weighted requests/s",
    ESSENTIAL,
    "RATE, LOAD",
    "requests that met the latency objective, times the group's priority weight",
    f"{WITHIN}; times the group's priority weight; {WINDOWED}",
)
GOODPUT = metric(
    "group.{group}.within_objective_per_s",
    "requests/s",
    ESSENTIAL,
    "RATE, LOAD",
    "requests that met the latency objective",
    f"{WITHIN}; {WINDOWED}",
)
SUCCEEDED = metric(
    "group.{group}.succeeded_per_s",
    "requests/s",
    ESSENTIAL,
    "RATE",
    "requests that succeeded at any latency",
    f"demand less rejected and failed requests; {WINDOWED}",
)
FAILED = metric(
    "group.{group}.failed_per_s",
    "requests/s",
    ESSENTIAL,
    "RATE",
    "requests that were admitted and failed",
    WINDOWED,
)
REJECTED = metric(
    "group.{group}.rejected_per_s",
    "requests/s",
    ESSENTIAL,
    "RATE, tables",
    "requests that an admission level rejected",
    f"demand above the admission level that was last sent to the proxy; {WINDOWED}",
)
DEMAND = metric("group.{group}.demand_per_s", "requests/s", ESSENTIAL, "RATE", "requests that came", WINDOWED)

# --- endpoints that drain ---

DRAINS_STARTED = metric(
    "drains.started", "count", ESSENTIAL, "discovery", "endpoints that started to drain or were removed"
)
DRAINS_PENDING = metric(
    "drains.pending", "count", ESSENTIAL, "tables, ACK", "drains that some proxy has not acknowledged yet"
)
DRAIN_DURATION = metric(
    "drains.duration_ms",
    "ms",
    ESSENTIAL,
    "discovery, ACK",
    "from the change of the endpoint list to the last proxy's acknowledgement",
    is_distribution=True,
)

# --- control channel, proxies and endpoints ---

CHANNEL_QUEUE = metric(
    "channel.queue_lines",
    "lines",
    ESSENTIAL,
    "decisions",
    "lines that are estimated to be queued in the control channel",
    "lines sent less the estimated rate of the channel",
)
CHANNEL_QUEUE_UTILIZATION = metric(
    "channel.queue_utilization",
    "share",
    ESSENTIAL,
    "decisions",
    "queued lines over the queue limit",
    "as queue_lines",
)
CHANNEL_RATE = metric(
    "channel.rate_lines_per_s",
    "lines/s",
    ESSENTIAL,
    "decisions",
    "the control channel's estimated rate",
    "the time until markers were acknowledged against the lines queued before them",
)
PROXIES_CONNECTED = metric(
    "proxies.connected", "count", ESSENTIAL, "streams", "proxies that are connected to this server"
)
PROXIES_BOUND = metric(
    "proxies.bound", "count", ESSENTIAL, "tables", "connected proxies that are bound to a table"
)
ENDPOINT_STATES = metric("endpoints.{state}", "count", ESSENTIAL, "discovery", "endpoints by listed state")
CONTROL_CYCLES_FAILED = metric(
    "control_cycles.failed",
    "count",
    ESSENTIAL,
    "server",
    "control cycles in which the decisions raised an error",
)

# --- zones ---

ZONE_DEMAND = metric(
    "zone.{zone}.demand_per_s",
    "requests/s",
    USEFUL,
    "decisions",
    "estimated demand of the zone's own proxies",
    "decaying sums of RATE; the usual rate until the first report",
)
ZONE_SPILL = metric(
    "zone.{zone}.spill.{to}",
    "share",
    USEFUL,
    "decisions",
    "share of the zone's demand that another zone serves",
)
ZONE_HEALTH = metric(
    "zone.{zone}.health",
    "share",
    USEFUL,
    "decisions",
    "mean health score of the zone's endpoints: the share of attempts that succeed",
    "decaying sums of LOAD with a prior, returning to 1 without new reports",
)
ZONE_ATTEMPTS = metric(
    "zone.{zone}.attempts_per_s", "attempts/s", USEFUL, "LOAD", "attempts at the zone's endpoints", WINDOWED
)
ZONE_FAILURE_RATIO = metric(
    "zone.{zone}.failure_ratio", "share", USEFUL, "LOAD", "share of these attempts that failed", WINDOWED
)
ZONE_LATENCY = metric(
    "zone.{zone}.latency_ms", "ms", USEFUL, "LOAD", "mean latency of the attempts that succeeded", WINDOWED
)

# --- reports and table updates ---

REPORTS_RECEIVED = metric(
    "reports.received_per_s", "messages/s", USEFUL, "LOAD, RATE", "load and demand reports that were received"
)
REPORT_AGE = metric(
    "reports.age_ms",
    "ms",
    USEFUL,
    "LOAD, RATE",
    "age of a report when it is received",
    "half its window; its delay is not known, so the true age is higher",
    is_distribution=True,
)
REPORT_INTERVAL = metric(
    "reports.interval_ms",
    "ms",
    USEFUL,
    "LOAD, RATE",
    "time between two reports of one zone",
    is_distribution=True,
)
UPDATE_LATENCY = metric(
    "table_updates.latency_ms",
    "ms",
    USEFUL,
    "ACK",
    "from a table update to its effect, as proxies acknowledge it",
    is_distribution=True,
)
MESSAGES_SENT = metric("table_updates.messages_per_s", "messages/s", USEFUL, "server", "messages to proxies")
LINES_SENT = metric(
    "table_updates.lines_per_s",
    "lines/s",
    USEFUL,
    "server",
    "lines in these messages, as the control channel counts them",
)
CONTROL_CYCLES = metric("control_cycles.per_s", "cycles/s", USEFUL, "server", "control cycles")
CONTROL_CYCLE_DURATION = metric(
    "control_cycles.duration_ms", "ms", USEFUL, "server", "duration of a control cycle", is_distribution=True
)
CONTROL_CYCLE_DELAY = metric(
    "control_cycles.delay_ms",
    "ms",
    USEFUL,
    "server",
    "how late the event loop started a control cycle",
    is_distribution=True,
)

# --- process, background jobs, Graphite and collectd ---

PROCESS_MEMORY = metric("process.memory_mb", "MB", DETAIL, "system", "resident memory")
PROCESS_DESCRIPTORS = metric("process.descriptors", "count", DETAIL, "system", "open descriptors")
PROCESS_CPU = metric("process.cpu_utilization", "share", DETAIL, "system", "processor time of one core")
BACKGROUND_UTILIZATION = metric(
    "background.utilization", "share", DETAIL, "server", "the event loop's time that background jobs use"
)
BACKGROUND_QUEUED = metric("background.queued", "count", DETAIL, "server", "background jobs that are queued")
BACKGROUND_DROPPED = metric(
    "background.dropped", "count", DETAIL, "server", "background jobs dropped since the start"
)
RECEIVER_QUEUED = metric(
    "graphite.{receiver}.queued_points", "points", DETAIL, "server", "points that are queued for the receiver"
)
RECEIVER_DROPPED = metric(
    "graphite.{receiver}.dropped_points", "points", DETAIL, "server", "points dropped since the start"
)
PACKETS_ACCEPTED = metric(
    "collectd.packets_per_s", "packets/s", DETAIL, "server", "collectd packets that were accepted"
)
PACKETS_REJECTED = metric(
    "collectd.rejected_per_s", "packets/s", DETAIL, "server", "collectd packets that were rejected"
)
COLLECTD_VALUES = metric(
    "collectd.values_per_s", "values/s", DETAIL, "server", "collectd values that were used"
)

# --- leases and store ---

SHARDS_OWNED = metric(
    "leadership.shards", "count", ESSENTIAL, "leadership", "shards whose lease this server holds"
)
MEMBERS_CONNECTED = metric(
    "leadership.members",
    "count",
    ESSENTIAL,
    "leadership",
    "controller members that are connected, this one included",
)
COMMANDS_WAITING = metric(
    "leadership.waiting_commands",
    "count",
    USEFUL,
    "leadership",
    "commands that wait for their record or for a lease",
)
RECORDS_WRITTEN = metric(
    "leadership.records_per_s", "records/s", USEFUL, "leadership", "records sent to the voters"
)
STORE_COMMITS = metric("store.commits_per_s", "commits/s", DETAIL, "store", "synchronized writes to disk")

# --- relays ---

RELAY_SUBSCRIBERS = metric("relay.subscribers", "count", ESSENTIAL, "relay", "subscribers that are connected")
RELAY_UPSTREAMS = metric("relay.upstreams", "count", ESSENTIAL, "relay", "upstreams that are connected")
RELAY_TOPICS = metric("relay.topics", "count", USEFUL, "relay", "topics that are cached")
RELAY_REJECTED = metric(
    "relay.rejected_per_s", "connections/s", ESSENTIAL, "relay", "connections that were rejected"
)
RELAY_RESYNCS = metric(
    "relay.resyncs_per_s", "resyncs/s", USEFUL, "relay", "requests to a parent for updates that were missed"
)
RELAY_SNAPSHOT_BYTES = metric(
    "relay.snapshot_bytes_per_s", "bytes/s", USEFUL, "relay", "snapshots sent to subscribers"
)
RELAY_BYTES = metric(
    "relay.bytes_per_s", "bytes/s", DETAIL, "relay", "sent to subscribers, without frame headers"
)

# --- single endpoints ---

ENDPOINT_ATTEMPTS = metric(
    "endpoint.{endpoint}.attempts_per_s", "attempts/s", DETAIL, "LOAD", "attempts at the endpoint", WINDOWED
)
ENDPOINT_HEALTH = metric(
    "endpoint.{endpoint}.health",
    "share",
    DETAIL,
    "decisions",
    "the endpoint's health score",
    "as zone health",
)
ENDPOINT_WEIGHT = metric(
    "endpoint.{endpoint}.effective_weight",
    "weight",
    DETAIL,
    "decisions",
    "listed weight times slow start, health, speed and the machine's load",
)


def rows() -> list[tuple[str, ...]]:
    """Return path, unit, importance, source, meaning and estimate of each metric, as the rows of a table."""
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
