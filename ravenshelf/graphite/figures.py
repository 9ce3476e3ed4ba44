"""Every figure that is sent: its path, unit, importance, where it comes from and what it means.

One place: the gatherer makes paths from these, `ravenshelf figures` and the operators' page list them.
"""

from dataclasses import dataclass

ESSENTIAL, USEFUL, DETAIL = range(3)  # indices in decisions.IMPORTANCES
QUANTILES = (("p50", 50.0), ("p90", 90.0), ("p99", 99.0), ("p999", 99.9), ("max", 100.0))
CATALOGUE: dict[str, "Figure"] = {}


@dataclass(frozen=True, slots=True)
class Figure:
    """`path` below the prefix and the pilot's name, its holes in braces; a distribution has one path a quantile.
    `formed` says how an estimate is formed; empty for what the pilot counts itself."""

    path: str
    unit: str
    importance: int
    source: str
    meaning: str
    formed: str
    spread: bool


def figure(
    path: str, unit: str, importance: int, source: str, meaning: str, formed: str = "", spread: bool = False
) -> Figure:
    if path in CATALOGUE:
        raise ValueError(f"two figures are at {path}")
    CATALOGUE[path] = made = Figure(path, unit, importance, source, meaning, formed, spread)
    return made


WINDOWED = "counted when heard, so up to one window and its delay after it was met"
WITHIN = (
    "delivered flows times the share of the zone's delivered tries that were within the latency budget, where a "
    "report of mean m counts 1 - exp(-budget / m) of its tries: reports give a mean and no distribution"
)

UTILITY = figure(
    "group.{group}.utility_per_s",
    "utility/s",
    ESSENTIAL,
    "RATE, LOAD",
    "utility delivered within the latency budget",
    f"{WITHIN}; times the group's utility; {WINDOWED}",
)
WITHIN_BUDGET = figure(
    "group.{group}.within_budget_per_s",
    "flows/s",
    ESSENTIAL,
    "RATE, LOAD",
    "flows delivered within the latency budget",
    f"{WITHIN}; {WINDOWED}",
)
DELIVERED = figure(
    "group.{group}.delivered_per_s",
    "flows/s",
    ESSENTIAL,
    "RATE",
    "flows that were delivered at any time",
    f"what came, less blocked, less dropped; {WINDOWED}",
)
DROPPED = figure(
    "group.{group}.dropped_per_s", "flows/s", ESSENTIAL, "RATE", "flows let in and not delivered", WINDOWED
)
BLOCKED = figure(
    "group.{group}.blocked_per_s",
    "flows/s",
    ESSENTIAL,
    "RATE, orders",
    "flows turned away by a level",
    f"what came beyond the level that the proxy was last sent; {WINDOWED}",
)
DEMAND = figure("group.{group}.demand_per_s", "flows/s", ESSENTIAL, "RATE", "flows that came", WINDOWED)
DRAINS_BEGUN = figure(
    "drains.begun", "count", ESSENTIAL, "discovery", "endpoints that began to drain or went"
)
DRAINS_OPEN = figure(
    "drains.open", "count", ESSENTIAL, "orders, ACK", "drains that not every proxy has applied yet"
)
DRAINS_TOOK = figure(
    "drains.took_ms",
    "ms",
    ESSENTIAL,
    "discovery, ACK",
    "from the list's change to the last proxy's answer to the mark",
    spread=True,
)
QUEUE = figure(
    "channel.queue_lines",
    "lines",
    ESSENTIAL,
    "decisions",
    "lines believed to wait in the channel",
    "what was ordered less the believed pace",
)
QUEUE_PART = figure(
    "channel.queue_part", "share", ESSENTIAL, "decisions", "of the queue's limit", "as queue_lines"
)
PACE = figure(
    "channel.pace_lines_per_s",
    "lines/s",
    ESSENTIAL,
    "decisions",
    "the channel's believed pace",
    "from how long marks took against what lay before them",
)
JOINED = figure("proxies.joined", "count", ESSENTIAL, "streams", "proxies with a stream here")
BOUND = figure("proxies.bound", "count", ESSENTIAL, "orders", "of those, bound to a table")
STATES = figure("endpoints.{state}", "count", ESSENTIAL, "discovery", "endpoints by listed state")
MODULE_FAILURES = figure("rounds.failed", "count", ESSENTIAL, "pilot", "rounds in which the decisions failed")

ZONE_DEMAND = figure(
    "zone.{zone}.demand_per_s",
    "flows/s",
    USEFUL,
    "decisions",
    "believed demand of the zone's own proxies",
    "decaying sums of RATE; what is usual where nothing was heard yet",
)
SPILL = figure(
    "zone.{zone}.spill.{to}", "share", USEFUL, "decisions", "of the zone's flows, ordered to another zone"
)
HEALTH = figure(
    "zone.{zone}.health",
    "share",
    USEFUL,
    "decisions",
    "mean belief that a try comes to something",
    "decaying sums of LOAD, returning to 1 as evidence fades",
)
ZONE_TRIES = figure(
    "zone.{zone}.tries_per_s", "tries/s", USEFUL, "LOAD", "tries at the zone's endpoints", WINDOWED
)
ZONE_MISSED = figure("zone.{zone}.failed_part", "share", USEFUL, "LOAD", "of those, failed", WINDOWED)
ZONE_LATENCY = figure(
    "zone.{zone}.latency_ms", "ms", USEFUL, "LOAD", "mean of those that did not fail", WINDOWED
)
SUMS = figure("sums.heard_per_s", "messages/s", USEFUL, "LOAD, RATE", "late sums that came in")
SUMS_AGE = figure(
    "sums.age_ms",
    "ms",
    USEFUL,
    "LOAD, RATE",
    "age of a sum when it comes",
    "half its window: how long it then lay is not told, so the true age is more",
    spread=True,
)
SUMS_GAP = figure("sums.gap_ms", "ms", USEFUL, "LOAD, RATE", "time between two sums of one zone", spread=True)
MARKS = figure(
    "marks.took_ms", "ms", USEFUL, "ACK", "from an order to its effect, as proxies tell", spread=True
)
ROUNDS = figure("rounds.per_s", "rounds/s", USEFUL, "pilot", "rounds played")
ROUND_TOOK = figure("rounds.took_ms", "ms", USEFUL, "pilot", "time that a round took", spread=True)
ROUND_LATE = figure("rounds.late_ms", "ms", USEFUL, "pilot", "how late the loop began a round", spread=True)
MESSAGES = figure("orders.messages_per_s", "messages/s", USEFUL, "pilot", "messages to proxies")
LINES = figure("orders.lines_per_s", "lines/s", USEFUL, "pilot", "lines in them, as the channel counts")

MEMORY = figure("process.memory_mb", "MB", DETAIL, "system", "resident memory")
DESCRIPTORS = figure("process.descriptors", "count", DETAIL, "system", "open descriptors")
CPU = figure("process.cpu_part", "share", DETAIL, "system", "of one core")
BACKGROUND_PART = figure(
    "background.part", "share", DETAIL, "pilot", "of the loop's time, taken by background work"
)
BACKGROUND_WAITING = figure("background.waiting", "count", DETAIL, "pilot", "background jobs that wait")
BACKGROUND_DROPPED = figure("background.dropped", "count", DETAIL, "pilot", "background jobs dropped")
WAITING = figure(
    "graphite.{receiver}.waiting", "points", DETAIL, "pilot", "points that the receiver has yet to take"
)
LOST = figure("graphite.{receiver}.dropped", "points", DETAIL, "pilot", "points dropped since the start")
PACKETS = figure("collectd.packets_per_s", "packets/s", DETAIL, "pilot", "collectd packets that were taken")
REFUSED = figure("collectd.refused_per_s", "packets/s", DETAIL, "pilot", "collectd packets that were refused")
VALUES = figure("collectd.values_per_s", "values/s", DETAIL, "pilot", "collectd values that were used")
SHARDS = figure("leadership.shards", "count", ESSENTIAL, "leadership", "shards that this controller owns")
MET = figure("leadership.members", "count", ESSENTIAL, "leadership", "controllers that are met, this one too")
HELD = figure(
    "leadership.held_orders", "count", USEFUL, "leadership", "orders that wait for the record or a lease"
)
RECORDS = figure(
    "leadership.records_per_s", "records/s", USEFUL, "leadership", "records put before the voters"
)
COMMITS = figure("store.commits_per_s", "commits/s", DETAIL, "store", "writes to disk with a sync")
RELAY_SUBSCRIBERS = figure("relay.subscribers", "count", ESSENTIAL, "relay", "subscribers that are connected")
RELAY_UPSTREAMS = figure("relay.upstreams", "count", ESSENTIAL, "relay", "upstreams that are connected")
RELAY_TOPICS = figure("relay.topics", "count", USEFUL, "relay", "topics that are held")
RELAY_REFUSED = figure("relay.refused_per_s", "connections/s", ESSENTIAL, "relay", "who was turned away")
RELAY_GAPS = figure(
    "relay.gaps_per_s", "gaps/s", USEFUL, "relay", "times that it asked a parent again for what was missed"
)
RELAY_SNAPSHOTS = figure("relay.snapshot_octets_per_s", "octets/s", USEFUL, "relay", "whole states sent")
RELAY_OUT = figure("relay.octets_per_s", "octets/s", DETAIL, "relay", "sent to subscribers, without frames")
ENDPOINT_TRIES = figure(
    "endpoint.{endpoint}.tries_per_s", "tries/s", DETAIL, "LOAD", "tries at the endpoint", WINDOWED
)
ENDPOINT_FADE = figure(
    "endpoint.{endpoint}.health",
    "share",
    DETAIL,
    "decisions",
    "belief that a try comes to something",
    "as zone health",
)
ENDPOINT_WEIGHT = figure(
    "endpoint.{endpoint}.strength",
    "weight",
    DETAIL,
    "decisions",
    "listed weight times ramp, health, pace and the machine's load",
)


def rows() -> list[tuple[str, ...]]:
    """path, unit, importance, source, meaning, formed; for the command line and the operators' page."""
    words = ("essential", "useful", "detail")
    return [
        (
            one.path + (".{p50,p90,p99,p999,max}" if one.spread else ""),
            one.unit,
            words[one.importance],
            one.source,
            one.meaning,
            one.formed,
        )
        for one in CATALOGUE.values()
    ]
