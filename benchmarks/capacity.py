"""Writer of docs/CAPACITY.md from benchmarks/results/: each figure is a measured slope times a count.

`python -m benchmarks.capacity [--check]`: with --check nothing is written, and the exit code is 1 if the page
differs from the results.
"""

import argparse
import sys
from dataclasses import dataclass
from pathlib import Path

import msgspec

from benchmarks.scale.__main__ import SCALE_FILE, SOCKETS_FILE, Results
from benchmarks.scale.fits import Measurement, power_law
from benchmarks.scale.fleet import (
    CONTROLLERS,
    ENDPOINTS,
    FAN_OUT,
    REGIONS,
    SERVERS,
    SERVICES,
    SERVICES_PER_SERVER,
    ZONES,
    Fleet,
)
from ravenshelf.distribution.decisions.tree import plan_relay_levels

PAGE = Path(__file__).resolve().parent.parent / "docs" / "CAPACITY.md"
# The budgets of each server: share of a core, memory in MB, and bytes per second.
CORE_BUDGET, MEMORY_BUDGET_MB, BYTES_BUDGET = 0.035, 64.0, 7_000.0

# From this exponent on, values are extrapolated by the power law instead of the line.
POWER_LAW_EXPONENT = 1.15

ENDPOINTS_PER_SERVICE = ENDPOINTS // SERVICES
ZONES_PER_SERVICE = 16
LINES_PER_DELTA = 10
SECONDS_PER_DAY = 86_400.0
CHANGES_PER_DAY, RESTARTS_PER_DAY, FAILURES_PER_DAY = 13_000, 2_800, 75
PROXIES_PER_SERVER = 64
SOLVE_INTERVAL_S = 2.5  # time between two tables of a service
CORES_PER_MACHINE = 10.0
IDLE_PROCESS_MB = 30.0  # memory of an idle process of the program, from docs/results.md


@dataclass(frozen=True)
class Assumption:
    """Statement that the page takes as given, and who made it."""

    text: str
    source: str


ASSUMPTIONS = [
    Assumption(
        f"{SERVERS:,} pilots, {ENDPOINTS:,} endpoints, {SERVICES:,} services, so {ENDPOINTS_PER_SERVICE} "
        "endpoints a service",
        "operators",
    ),
    Assumption(
        f"{REGIONS} regions; 64 zones in all, so two to three a region (the operators may also mean 64 a "
        "region; they have been asked)",
        "ours",
    ),
    Assumption(
        f"{CHANGES_PER_DAY:,} changes of configuration a day, each of one service, applied by all pilots "
        "within 4 s",
        "operators",
    ),
    Assumption(
        f"a pilot spends at most {CORE_BUDGET:.1%} of a core, {MEMORY_BUDGET_MB:.0f} MB and "
        f"{BYTES_BUDGET / 1000:.0f} KB a second for control; {CONTROLLERS} machines for control",
        "operators",
    ),
    Assumption(
        f"{FAILURES_PER_DAY} machines fail and {RESTARTS_PER_DAY:,} are restarted or replaced a day",
        "operators",
    ),
    Assumption(f"a pilot's proxies call {SERVICES_PER_SERVER} services", "ours"),
    Assumption(
        f"a service has endpoints and subscribers in {ZONES_PER_SERVICE} of {ZONES} zones; a zone's table "
        f"holds {LINES_PER_DELTA} lines",
        "ours",
    ),
    Assumption(f"{PROXIES_PER_SERVER} proxies of a pilot that decides without the distribution", "ours"),
    Assumption(
        "a pilot reports each service that it calls once a second, with the load of ten endpoints", "ours"
    ),
    Assumption("a machine for control has 10 cores and 24 GB, like the machine of the measurements", "ours"),
    Assumption(f"an idle process uses {IDLE_PROCESS_MB:.0f} MB (`docs/results.md`)", "ours"),
]


class MeasurementIndex:
    """Measurements by name, of the scale benchmark and of its role `sockets`."""

    def __init__(self, results: Results, on_sockets: Results):
        self.results, self.on_sockets = results, on_sockets
        self.measurements = [*results.measurements, *on_sockets.measurements]
        self.by_name = {measurement.name: measurement for measurement in self.measurements}

    def value_at(self, name: str, count: float) -> float:
        """Return the value at a count.

        It is on the line, or on the power law if the value grows faster than the count.
        """
        measurement = self.by_name[name]
        if measurement.exponent < POWER_LAW_EXPONENT:
            return max(0.0, measurement.intercept) + measurement.slope * count
        sizes = [point.size for point in measurement.points]
        means = [_mean(point.values) for point in measurement.points]
        return power_law(sizes, means, count)

    def increase(self, name: str, count: float) -> float:
        """Return the slope times the count, without the intercept."""
        return self.by_name[name].slope * count

    def nearest_value(self, name: str, count: float) -> float:
        """Return the value at the measured size nearest to a count, for values that do not grow with it."""
        points = self.by_name[name].points
        return _mean(min(points, key=lambda point: abs(point.size - count)).values)

    def fleets(self, server_count: int) -> list[Fleet]:
        """Return the runs of the fleets of a size."""
        return [fleet for fleet in self.results.fleets if fleet.pilots == server_count]

    def largest_fleets(self, part: str) -> list[Fleet]:
        """Return the runs of the largest fleet that simulated a part of the day."""
        simulated_fleets = [fleet for fleet in self.results.fleets if part in fleet.parts]
        largest_size = max(fleet.pilots for fleet in simulated_fleets)
        return [fleet for fleet in simulated_fleets if fleet.pilots == largest_size]

    def worst_value(self, figure: str, part: str) -> float:
        """Return the greatest value of a figure in the runs of `largest_fleets`."""
        return max(getattr(fleet, figure) for fleet in self.largest_fleets(part))


def _mean(values: list[float]) -> float:
    return sum(values) / len(values)


def _number(value: float) -> str:
    if value == 0:
        return "0"
    if abs(value) >= 1000:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def _table(headings: list[str], rows: list[list[str]]) -> list[str]:
    return [
        "| " + " | ".join(headings) + " |",
        "|" + " --- |" * len(headings),
        *("| " + " | ".join(row) + " |" for row in rows),
        "",
    ]


def _verdict(value: float, budget: float) -> str:
    return "within" if value <= budget else f"**{value / budget:.1f} times the budget**"


# Sections of the page


def introduction(index: MeasurementIndex) -> list[str]:
    """Return the title, the sources of the figures, and the assumptions."""
    results = index.results
    duration = (
        f"{results.wall_seconds / 60:.0f} minutes"
        if results.wall_seconds
        else "ended before it was complete; this page has the results until then"
    )
    return [
        "# Capacity at the planned size",
        "",
        "Written by `python -m benchmarks.capacity` from `benchmarks/results/scale.json` "
        f"(`python -m benchmarks.scale`, commit {results.commit}, {duration}; the process of a relay by "
        f"`--role sockets`, commit {index.on_sockets.commit}). A pilot is a control-plane server. Each "
        "figure is a measured slope times a count; the section on slopes has the slopes, their range over "
        "three runs and how far they are extrapolated. Fleets are simulated: the real modules run on a "
        "virtual clock and network, without sockets; their processor time is not simulated but measured for "
        "each role. Where something was not measured, the page says so.",
        "",
        "## Assumptions",
        "",
        *_table(
            ["assumption", "stated by"], [[assumption.text, assumption.source] for assumption in ASSUMPTIONS]
        ),
    ]


def server_without_distribution(index: MeasurementIndex) -> list[str]:
    """Return the cost of a server with all endpoints and reports that solves for all zones."""
    memory = (
        IDLE_PROCESS_MB
        + (
            index.increase("pilot memory by endpoints", ENDPOINTS)
            + index.increase("pilot memory by proxies", PROXIES_PER_SERVER)
        )
        / 1e6
    )
    core = index.value_at("pilot CPU by endpoints", ENDPOINTS)
    solve = index.value_at("spill search, all short", ZONES) / 2.5
    list_bytes = index.value_at("list bytes", ENDPOINTS)
    changes = (CHANGES_PER_DAY + RESTARTS_PER_DAY + FAILURES_PER_DAY) / SECONDS_PER_DAY
    rows = [
        ["memory", f"{memory:.0f} MB", f"{MEMORY_BUDGET_MB:.0f} MB", _verdict(memory, MEMORY_BUDGET_MB)],
        [
            "processor, without changes",
            f"{core:.2f} of a core",
            f"{CORE_BUDGET:.3f}",
            _verdict(core, CORE_BUDGET),
        ],
        [
            f"search for spill shares over {ZONES} zones that lack capacity, every 2.5 s",
            f"{solve:.2f} of a core",
            f"{CORE_BUDGET:.3f}",
            _verdict(solve, CORE_BUDGET),
        ],
        [
            "one complete list",
            f"{list_bytes / 1e6:.1f} MB, {index.value_at('list CPU', ENDPOINTS):.2f} s of a core",
            "-",
            "at each start, and after each gap",
        ],
        [
            "changes of the list",
            f"{changes:.2f} a second, {changes * list_bytes / ENDPOINTS:.0f} bytes a second",
            f"{BYTES_BUDGET:.0f}",
            _verdict(changes * list_bytes / ENDPOINTS, BYTES_BUDGET),
        ],
        [
            "reports of all endpoints",
            f"{ENDPOINTS * index.by_name['report bytes'].slope:,.0f} bytes a second",
            f"{BYTES_BUDGET:.0f}",
            _verdict(ENDPOINTS * index.by_name["report bytes"].slope, BYTES_BUDGET),
        ],
    ]
    return [
        "## A pilot without the distribution, with all endpoints, reports and zones",
        "",
        *_table(["what", f"at {ENDPOINTS:,} endpoints", "budget", "verdict"], rows),
        "So a pilot must receive only what its proxies call, and each service must be decided once. The "
        "mechanism for that is "
        "`ravenshelf/distribution` (`design/distribution.md`); the figures below are with it.",
        "",
    ]


def _server_row(index: MeasurementIndex) -> list[str]:
    """Return the row of a server: heartbeats, tables of its services, and its own reports."""
    table_bytes = SERVICES_PER_SERVER * max(
        0.0, _mean([_mean(point.values) for point in index.by_name["table bytes of a topic"].points])
    )
    received_bytes = index.worst_value("calm_bytes", "calm") + table_bytes
    reported_bytes = SERVICES_PER_SERVER * index.value_at("report bytes", 10)
    deltas = SERVICES_PER_SERVER / SOLVE_INTERVAL_S
    core = deltas * index.value_at("subscriber CPU of a delta", LINES_PER_DELTA) + index.value_at(
        "subscriber CPU of a heartbeat", SERVICES_PER_SERVER
    )
    memory = IDLE_PROCESS_MB + index.increase("subscriber memory", SERVICES_PER_SERVER) / 1e6
    worst_ratio = max(
        core / CORE_BUDGET, memory / MEMORY_BUDGET_MB, (received_bytes + reported_bytes) / BYTES_BUDGET
    )
    return [
        "pilot",
        f"{2 * SERVICES_PER_SERVER} topics of {SERVICES_PER_SERVER} services: {memory:.0f} MB",
        f"in: {received_bytes:.0f} bytes a second (heartbeats, tables); out: {reported_bytes:.0f} of reports",
        f"{core:.5f} of a core",
        f"{_range(index.largest_fleets('zone_returns'), 'zone_bytes', 0)} bytes a second in "
        "(the endpoints of a zone restart)",
        _verdict(worst_ratio, 1.0),
        "subscriptions, deltas",
    ]


def _controller_row(index: MeasurementIndex) -> list[str]:
    """Return the row of a controller, which decides and publishes its share of the services."""
    services = SERVICES / CONTROLLERS
    planner = services * max(
        index.value_at("planner CPU by zones", ZONES_PER_SERVICE),
        index.value_at("planner CPU by endpoints", ENDPOINTS_PER_SERVICE),
    )
    memory = IDLE_PROCESS_MB + services * index.by_name["planner memory"].slope / 1e6
    return [
        "controller that decides",
        f"{services:.0f} services for each of {CONTROLLERS}: {memory:.0f} MB",
        f"out: {_range(index.largest_fleets('changes'), 'owner_messages_a_change', 0)} messages a change",
        f"{planner:.2f} of a core",
        f"{_range(index.largest_fleets('zone_returns'), 'owner_bytes_out', 0)} bytes a second out, "
        "of the busiest",
        _verdict(planner, CORES_PER_MACHINE),
        "one planner for each service (KurmaCost)",
    ]


def _relay_row(index: MeasurementIndex) -> list[str]:
    """Return the row of the relays of the last level, of which each machine for control has several.

    The cost of a process is measured on sockets.
    """
    tree = plan_relay_levels(SERVERS, FAN_OUT)
    relays = sum(len(level.names) for level in tree)
    children, relays_per_machine = SERVERS / len(tree[-1].names), relays / CONTROLLERS
    deltas = children * SERVICES_PER_SERVER / SOLVE_INTERVAL_S
    core = index.value_at("relay on sockets, CPU of heartbeats", children) + deltas * index.nearest_value(
        "relay on sockets, CPU of a delivered delta", children
    )
    memory = (
        index.nearest_value("relay on sockets, memory", children)
        + index.increase("relay memory", children * SERVICES_PER_SERVER) / 1e6
    )
    return [
        "relay (a process, measured on sockets)",
        f"{children:.0f} pilots each, {relays} in all, {relays_per_machine:.0f} a machine: "
        f"{memory:.0f} MB each at most",
        f"out: {deltas:.0f} deltas and {children:.0f} heartbeats a second",
        f"{core:.3f} of a core each, {core * relays_per_machine:.2f} a machine",
        f"{_range(index.largest_fleets('zone_returns'), 'relay_bytes_out', 0)} bytes a second out, "
        "of the busiest",
        _verdict(core * relays_per_machine, CORES_PER_MACHINE),
        "tree with bounded fan-out",
    ]


def _collector_row(index: MeasurementIndex) -> list[str]:
    """Return the row of the aggregation of reports, which each relay does."""
    tree = plan_relay_levels(SERVERS, FAN_OUT)
    reports = SERVERS / len(tree[-1].names) * SERVICES_PER_SERVER
    relays_per_machine = sum(len(level.names) for level in tree) / CONTROLLERS
    core = index.value_at("aggregation CPU", reports)
    return [
        "collector of reports (in the relays)",
        "a window of a second",
        f"in: {reports:.0f} reports a second at each relay",
        f"{core:.3f} of a core each, {core * relays_per_machine:.2f} a machine",
        "as on an ordinary day, as reports are sent at intervals",
        _verdict(core * relays_per_machine, CORES_PER_MACHINE),
        "aggregation at each hop",
    ]


def _other_rows(index: MeasurementIndex) -> list[list[str]]:
    list_bytes = index.value_at("list bytes", ENDPOINTS) / 1e6
    return [
        [
            "discovery",
            f"{ENDPOINTS:,} endpoints",
            f"{CONTROLLERS} readers instead of {SERVERS:,}; a complete list is {list_bytes:.1f} MB",
            "not measured, as it is no part of this program",
            f"{CONTROLLERS * list_bytes:.0f} MB if all controllers read it again",
            "-",
            "*missing*: owners that read only the endpoints of their services (the registry client)",
        ],
        [
            "store",
            "records of leases and epochs",
            f"a group of 64 records: {1000 * index.value_at('record time', 64):.1f} ms on this disk",
            "not measured separately",
            "not measured",
            "-",
            "`leadership/`, `store/`",
        ],
    ]


def roles(index: MeasurementIndex) -> list[str]:
    """Return the cost of each role with the distribution."""
    headings = [
        "role",
        "state",
        "messages and bytes",
        "processor",
        "worst minute",
        "against the budget",
        "mechanism",
    ]
    rows = [
        _server_row(index),
        _controller_row(index),
        _relay_row(index),
        _collector_row(index),
        *_other_rows(index),
    ]
    return [
        "## Each role with the distribution",
        "",
        *_table(headings, rows),
        "The figures are those of an ordinary day, and of the worst of the minutes below. A machine for "
        "control is assumed to have "
        f"{CORES_PER_MACHINE:.0f} cores.",
        "",
    ]


@dataclass(frozen=True)
class DayPart:
    """Row of the page's table of the worst minutes of a day.

    `part` is the part of the day; `p99`, `last` and `sent` are its figures in `Fleet`, empty if it has none.
    """

    text: str
    part: str
    p99: str = ""
    last: str = ""
    sent: str = ""


DAY_PARTS = [
    DayPart(
        "the endpoints of a zone restart: the list and tables of each service change in three solve "
        "intervals",
        "zone_returns",
        "zone_p99",
        "",
        "zone_bytes",
    ),
    DayPart(
        "a configuration change of all services at once",
        "change_for_all",
        "all_p99",
        "all_last",
        "all_bytes",
    ),
    DayPart("mass restart: 2,800 pilots an hour", "mass_restart", "", "", "restart_bytes"),
    DayPart(
        "a region partitioned during the changes of an hour (from the end of the partition)",
        "region_parted",
        "",
        "parted_last",
        "",
    ),
    DayPart(
        "all relays next to the owners stopped for 5 s, with changes of services (from the change)",
        "level_killed",
        "killed_p99",
        "killed_last",
        "",
    ),
    DayPart("one change of one service", "changes", "change_p99", "change_last", ""),
    DayPart("no change", "calm", "", "", "calm_bytes"),
]


def worst_minutes(index: MeasurementIndex) -> list[str]:
    """Return the worst minutes of a day, each at the largest fleet that simulated it."""
    rows = []
    for day_part in DAY_PARTS:
        fleets = index.largest_fleets(day_part.part)
        seconds = [_range(fleets, name, 2) + " s" if name else "-" for name in (day_part.p99, day_part.last)]
        sent = _range(fleets, day_part.sent, 0) if day_part.sent else "-"
        rows.append([day_part.text, f"{fleets[0].pilots:,}", str(len(fleets)), *seconds, sent])
    behind = max(fleet.behind for fleet in index.results.fleets)
    return [
        "## The worst minutes",
        "",
        *_table(
            [
                "what",
                "simulated pilots",
                "runs",
                "99 of 100 subscriptions",
                "the last subscription",
                "bytes a second and pilot",
            ],
            rows,
        ),
        "Each row is of the largest fleet that simulated it, with the least and the greatest value of the "
        "runs. The aim is 4 s, the budget 7,000 bytes. While all relays of a level are stopped, a pilot has "
        "no other path: the five seconds until they run again count in full. "
        f"Subscriptions that lacked an update at the end of a part: {behind} at most.",
        "",
    ]


def _range(fleets: list[Fleet], name: str, digits: int) -> str:
    """Return the least and the greatest value of a figure over some fleets, a dash without fleets."""
    values = [getattr(fleet, name) for fleet in fleets]
    if not values:
        return "-"
    least, greatest = (f"{value:,.{digits}f}" for value in (min(values), max(values)))
    return least if least == greatest else f"{least} to {greatest}"


def growth(index: MeasurementIndex) -> list[str]:
    """Return the results of the simulated fleets by size, and the comparison with watching all services."""
    sizes = sorted({fleet.pilots for fleet in index.results.fleets})
    rows = [
        [
            f"{size:,}",
            *(
                _range([fleet for fleet in index.fleets(size) if getattr(fleet, name)], name, digits)
                for name, digits in (
                    ("relays", 0),
                    ("change_p99", 2),
                    ("change_last", 2),
                    ("all_p99", 2),
                    ("zone_p99", 2),
                    ("zone_bytes", 0),
                    ("calm_bytes", 1),
                    ("owner_messages_a_change", 0),
                    ("resident_mb", 0),
                    ("wall_seconds", 0),
                )
            ),
        ]
        for size in sizes
    ]
    baselines = sorted(index.results.baselines, key=lambda baseline: (baseline.pilots, baseline.seed))
    baseline_rows = [
        [
            f"{baseline.pilots}",
            f"{baseline.seed}",
            _number(baseline.watched_bytes),
            _number(baseline.watched_source_bytes),
            _number(baseline.subscribed_bytes),
            _number(baseline.subscribed_source_bytes),
        ]
        for baseline in baselines
    ]
    return [
        "## Growth of simulated fleets",
        "",
        *_table(
            [
                "pilots",
                "relays",
                "change p99 s",
                "last s",
                "all p99 s",
                "zone p99 s",
                "zone bytes",
                "bytes without changes",
                "owner's messages for a change",
                "MB of the simulation",
                "seconds of the simulation",
            ],
            rows,
        ),
        "Pilots that watch all services compared with subscriptions, with the same changes (each service "
        "once in ten seconds), in bytes a second:",
        "",
        *_table(
            [
                "pilots",
                "run",
                "a pilot that watches all",
                "its source",
                "a pilot that subscribes",
                "its relays",
            ],
            baseline_rows,
        ),
    ]


def check_results(index: MeasurementIndex) -> list[str]:
    """Return the results of the schedules of faults and of the comparison with a real process."""
    schedules, agreement = index.results.schedules, index.results.agreement
    if schedules is None or agreement is None:
        return []
    detections = "; ".join(
        f"{name} in {count} of {schedules.breaks_played}" for name, count in schedules.found.items()
    )
    cases = ", ".join(
        f"{case.endpoints} endpoints {case.bytes[0]} and {case.bytes[1]} bytes" for case in agreement.cases
    )
    return [
        "## Checked",
        "",
        f"{schedules.played:,} seeded schedules of faults, {len(schedules.broken)} with a violation. "
        f"Deliberate breaks that were detected: {detections}. "
        f"A simulated pilot and a real process send the same bytes: {agreement.agrees} ({cases}).",
        "",
    ]


def slopes(index: MeasurementIndex) -> list[str]:
    """Return every measurement with its slope, and how far it is extrapolated."""
    used_counts = {
        "endpoints listed": ENDPOINTS,
        "proxies": PROXIES_PER_SERVER,
        "zones": ZONES,
        "services called": SERVICES_PER_SERVER,
        "lines changed": LINES_PER_DELTA,
        "zones with subscribers": ZONES_PER_SERVICE,
        "endpoints of the service": ENDPOINTS_PER_SERVICE,
        "endpoints met": 10,
        "services": SERVICES / CONTROLLERS,
        "reports": SERVERS / 282 * SERVICES_PER_SERVER,
    }
    rows = [
        _slope(measurement, used_counts.get(measurement.count, measurement.points[-1].size))
        for measurement in index.measurements
    ]
    return [
        "## Slopes",
        "",
        "The slope is that of the least-squares line through the means of the runs, the range that of the "
        "slopes of single runs. "
        f"From an exponent of {POWER_LAW_EXPONENT} on, the page extrapolates by the power law. "
        'The column "used / measured" has the count that the page uses divided by the largest measured one.',
        "",
        *_table(
            [
                "measurement",
                "unit for each",
                "sizes",
                "slope",
                "range",
                "exponent",
                "used / measured",
                "constant",
            ],
            rows,
        ),
    ]


def _slope(measurement: Measurement, used_count: float) -> list[str]:
    smallest, largest = measurement.points[0].size, measurement.points[-1].size
    return [
        measurement.name,
        f"{measurement.unit} / {measurement.count}",
        f"{smallest:,.0f} to {largest:,.0f}",
        _number(measurement.slope),
        f"{_number(measurement.slope_low)} to {_number(measurement.slope_high)}",
        f"{measurement.exponent:.2f}",
        f"{used_count / largest:.2g}",
        measurement.fixed or "-",
    ]


def missing_measurements() -> list[str]:
    """Return the parts of the system that were not measured or do not exist yet."""
    return [
        "## Not measured, and missing",
        "",
        "- Sockets of controllers and the framing of the network are not in these figures; the process of a "
        "relay is measured on loopback.",
        "- The memory of a pilot's process with `[distribution]` is calculated from that of an idle process "
        "and of its topics; the process of a relay, with the same modules, uses 42 MB.",
        "- 20,000 routes, 900,000 tenants and 2 ms added to a request concern the forwarder, which does not "
        "exist yet.",
        "- No figure grows with the 3.4 million requests a second, as reports have counts of requests.",
        "- *Missing*: endpoints by service from discovery or a registry (the registry client); several "
        "services at one pilot; a path around a whole level of stopped relays.",
        "",
    ]


def page(results: Results, on_sockets: Results) -> str:
    """Return the text of the whole page."""
    index = MeasurementIndex(results, on_sockets)
    parts = [
        introduction(index),
        server_without_distribution(index),
        roles(index),
        worst_minutes(index),
        growth(index),
        check_results(index),
        slopes(index),
        missing_measurements(),
    ]
    return "\n".join(line for part in parts for line in part).rstrip("\n") + "\n"


def main(check: bool) -> int:
    """Write the page, or with `check` compare it with the results.

    Returns:
        The exit code: 1 if `check` is set and the page differs from the results, otherwise 0.
    """
    results, on_sockets = (
        msgspec.json.decode(file.read_bytes(), type=Results) for file in (SCALE_FILE, SOCKETS_FILE)
    )
    text = page(results, on_sockets)
    if check:
        return 0 if PAGE.read_text() == text else 1
    PAGE.write_text(text)
    return 0


if __name__ == "__main__":
    options = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    options.add_argument(
        "--check",
        action="store_true",
        help="write nothing, and end with exit code 1 if the page differs from the results",
    )
    arguments = options.parse_args()
    sys.exit(main(arguments.check))
