"""Slopes of each role's cost, and simulated fleets: `python -m benchmarks.scale [--short] [--role NAME]`.

Without `--short` the output is saved in `benchmarks/results/`, from which `python -m benchmarks.capacity`
writes docs/CAPACITY.md.
"""

import argparse
import multiprocessing
import resource
import subprocess
import time
from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor, ThreadPoolExecutor, as_completed
from pathlib import Path

import msgspec

from benchmarks.measuring import close
from benchmarks.scale import distribution, fleet, servers, sockets
from benchmarks.scale.agreement import Agreement, compare
from benchmarks.scale.fits import RUNS, Measurement
from standins.distribution.schedules import BREAKS, Schedule, run_schedule

RESULTS = Path(__file__).resolve().parent.parent / "results"
SCALE_FILE, SOCKETS_FILE = RESULTS / "scale.json", RESULTS / "sockets.json"
FLEET, SOCKETS = "fleet", "sockets"  # roles with simulations or measurements of their own
FLEET_SIZES, SHORT_FLEET_SIZES = (563, 1_125, 2_250, 4_500), (30, 60, 120, 240)

# The parts of the day end with single changes, or with a change of all services.
LARGEST_FLEET_SIZE, LARGEST_FLEET_PART_COUNTS = 18_000, (3, 4)

BASELINE_SIZES, BASELINE_SERVICES = (15, 30, 60, 120), 1_200
SHORT_BASELINE_SIZES, SHORT_BASELINE_SERVICES = (8, 16, 32, 64), 60
SCHEDULE_COUNT, SHORT_SCHEDULE_COUNT, BREAK_SCHEDULE_COUNT = 2_000, 60, 200
SHORT_PROCESSES = 4  # number of processes for each kind of simulation with --short

# Without --short the processes of all three kinds run at the same time on ten cores.
FLEET_PROCESSES, BASELINE_PROCESSES, SCHEDULE_PROCESSES = 5, 2, 3

# Limits of the 99th percentile of the seconds from a change to its application, and of the mean number of
# bytes per second that a server receives.
MAX_CHANGE_SECONDS, MAX_BYTES_PER_SECOND = 4.0, 7_000.0


class Schedules(msgspec.Struct):
    """Results of the seeded schedules of faults.

    Attributes:
        played: Number of schedules without a deliberate break.
        broken: First rule that a schedule without a deliberate break violated, by seed.
        breaks_played: Number of schedules with each deliberate break.
        found: Number of schedules with a violation, by deliberate break.
    """

    played: int
    broken: dict[int, str]
    breaks_played: int
    found: dict[str, int]


class Results(msgspec.Struct):
    """Results of one run of the benchmark."""

    commit: str
    short: bool
    role: str
    measurements: list[Measurement]
    fleets: list[fleet.Fleet]
    baselines: list[fleet.Baseline]
    schedules: Schedules | None
    agreement: Agreement | None
    peak_mb: float = 0.0  # resident memory of this process and of its largest child
    wall_seconds: float = 0.0


def measured_commit() -> str:
    """Return the commit that is measured, followed by "+" if the checkout differs from it."""

    def git(*arguments: str) -> str:
        return subprocess.run(["git", *arguments], capture_output=True, text=True, check=False).stdout.strip()

    changed = git("status", "--porcelain", "--untracked-files=no", "ravenshelf", "standins", "benchmarks")
    return git("rev-parse", "--short", "HEAD") + ("+" if changed else "")


_spawn_context = multiprocessing.get_context(
    "spawn"
)  # Processes are spawned, as a fork copies locks that other threads hold.


def fleet_jobs(short: bool) -> list[tuple[int, int, tuple[str, ...]]]:
    """Return the size, seed and parts of the day of each fleet to simulate, the longest first.

    A full day of the largest fleet takes over half an hour, so only its first parts are simulated, once.
    """
    if short:
        return [(size, 1, fleet.DAY) for size in sorted(SHORT_FLEET_SIZES, reverse=True)]
    full_days = [
        (size, seed, fleet.DAY) for size in sorted(FLEET_SIZES, reverse=True) for seed in range(1, RUNS + 1)
    ]
    return [(LARGEST_FLEET_SIZE, 1, fleet.DAY[:parts]) for parts in LARGEST_FLEET_PART_COUNTS] + full_days


def run_fleets(results: Results) -> None:
    """Simulate fleets of all sizes, and save the results after each fleet."""
    with ProcessPoolExecutor(SHORT_PROCESSES if results.short else FLEET_PROCESSES, _spawn_context) as pool:
        futures = [pool.submit(fleet.run_day, *job) for job in fleet_jobs(results.short)]
        for future in as_completed(futures):
            results.fleets.append(future.result())
            save_results(results)


def run_baselines(short: bool) -> list[fleet.Baseline]:
    """Compare subscriptions with servers that watch all services, at each size."""
    sizes, services = (
        (SHORT_BASELINE_SIZES, SHORT_BASELINE_SERVICES) if short else (BASELINE_SIZES, BASELINE_SERVICES)
    )
    jobs = [(size, seed, services) for size in sizes for seed in range(1, (1 if short else RUNS) + 1)]
    with ProcessPoolExecutor(SHORT_PROCESSES if short else BASELINE_PROCESSES, _spawn_context) as pool:
        return list(pool.map(fleet.baseline, *zip(*jobs, strict=True)))


def run_schedules(short: bool) -> Schedules:
    """Simulate seeded schedules of faults, and schedules with each deliberate break."""
    count, breaks = (
        (SHORT_SCHEDULE_COUNT, SHORT_SCHEDULE_COUNT) if short else (SCHEDULE_COUNT, BREAK_SCHEDULE_COUNT)
    )
    with ProcessPoolExecutor(SHORT_PROCESSES if short else SCHEDULE_PROCESSES, _spawn_context) as pool:
        violations_by_seed = pool.map(run_schedule, [Schedule(seed) for seed in range(count)], chunksize=8)
        broken = {
            seed: violations[0].rule for seed, violations in enumerate(violations_by_seed) if violations
        }
        detections = {
            name: sum(
                map(
                    bool,
                    pool.map(run_schedule, [Schedule(seed, name) for seed in range(breaks)], chunksize=8),
                )
            )
            for name in BREAKS
        }
    return Schedules(count, broken, breaks, detections)


def run_measurements(
    kinds: Iterable[Callable[[bool], Iterable[Measurement]]], short: bool, role: str
) -> list[Measurement]:
    """Return the measurements of a role, or of all roles if `role` is empty."""
    return [
        measurement for kind in kinds for measurement in kind(short) if not role or role in measurement.role
    ]


def meets_objectives(results: Results) -> bool:
    """Return whether the objectives are met.

    In every fleet a change reaches all servers in time, the bytes of a server are within the budget and no
    server lacks an update. The schedules have no violation, except that each deliberate break causes one.
    Simulated and real servers agree.
    """
    fleets_meet_objectives = all(
        result.change_p99 < MAX_CHANGE_SECONDS
        and result.all_p99 < MAX_CHANGE_SECONDS
        and result.zone_p99 < MAX_CHANGE_SECONDS
        and result.behind == 0
        and max(result.calm_bytes, result.all_bytes, result.zone_bytes) < MAX_BYTES_PER_SECOND
        for result in results.fleets
    )
    baselines_meet_objective = all(
        baseline.subscribed_bytes < baseline.watched_bytes for baseline in results.baselines
    )
    invariants_hold = results.schedules is None or (
        not results.schedules.broken and all(results.schedules.found.values())
    )
    servers_agree = results.agreement is None or results.agreement.agrees
    return fleets_meet_objectives and baselines_meet_objective and invariants_hold and servers_agree


def run_simulations(results: Results) -> None:
    """Run the fleets, baselines, schedules and the comparison with real servers, concurrently."""
    with ThreadPoolExecutor(4) as executor:
        fleets = executor.submit(run_fleets, results)
        baselines = executor.submit(run_baselines, results.short)
        schedules = executor.submit(run_schedules, results.short)
        agreement = executor.submit(compare, (4, 12) if results.short else (4, 12, 40))
        results.agreement, results.baselines = agreement.result(), baselines.result()
        results.schedules = schedules.result()
        save_results(results)
        fleets.result()


def save_results(results: Results) -> None:
    """Write the results so far to the file that the capacity page is made from, unless the run is short."""
    file = {"": SCALE_FILE, SOCKETS: SOCKETS_FILE}.get(results.role)
    if results.short or file is None:
        return
    RESULTS.mkdir(exist_ok=True)
    file.write_bytes(msgspec.json.format(msgspec.json.encode(results), indent=1) + b"\n")


def main(short: bool, role: str) -> None:
    """Run the benchmark, save its results unless it is short, and print them as one line."""
    started_at = time.perf_counter()
    kinds = [sockets.measurements] if role == SOCKETS else [servers.measurements, distribution.measurements]
    results = Results(
        measured_commit(), short, role, run_measurements(kinds, short, role), [], [], None, None
    )
    save_results(results)
    if role in ("", FLEET):
        run_simulations(results)
    results.wall_seconds = round(time.perf_counter() - started_at, 1)
    peaks_kb = [
        resource.getrusage(scope).ru_maxrss for scope in (resource.RUSAGE_SELF, resource.RUSAGE_CHILDREN)
    ]
    results.peak_mb = sum(peaks_kb) / 1024
    save_results(results)
    objective = (
        f"a change reaches 99 of 100 subscriptions within {MAX_CHANGE_SECONDS:g} s, "
        f"{MAX_BYTES_PER_SECOND:g} bytes a second for each server, "
        "no invariant is violated, each deliberate break is detected, simulated and real servers agree"
    )
    close("scale", msgspec.to_builtins(results), objective, meets_objectives(results))


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--short", action="store_true", help="smaller sizes and one run, less than a minute")
    parser.add_argument(
        "--role",
        default="",
        help="measure only this role; fleet: simulated fleets and schedules; sockets: a relay process",
    )
    arguments = parser.parse_args()
    main(arguments.short, arguments.role)
