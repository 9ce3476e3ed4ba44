"""Slopes of what each role costs, and hollow fleets: `python -m benchmarks.scale [--short] [--role NAME]`.

The long form keeps its output in `benchmarks/results/`, of which `python -m benchmarks.capacity` makes
docs/CAPACITY.md.
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
FLEET, SOCKETS = "fleet", "sockets"  # roles that are more than a choice of measurements
FLEETS, SHORT_FLEETS = (563, 1_125, 2_250, 4_500), (30, 60, 120, 240)
LARGEST_FLEET, LARGEST_PARTS = (
    18_000,
    (3, 4),
)  # parts of the day: up to single changes, and up to a change for all
BASELINES, BASELINE_SERVICES = (15, 30, 60, 120), 1_200
SHORT_BASELINES, SHORT_BASELINE_SERVICES = (8, 16, 32, 64), 60
SCHEDULES, SHORT_SCHEDULES, BREAK_SCHEDULES = 2_000, 60, 200
PROCESSES = 4  # of each kind of play in the short form
FLEETS_AT_ONCE, BASELINES_AT_ONCE, SCHEDULES_AT_ONCE = 5, 2, 3  # in the long form, side by side on ten cores
CHANGE_AIM, BYTES_AIM = 4.0, 7_000.0  # seconds; bytes a second and pilot


class Schedules(msgspec.Struct):
    """What the checker saw."""

    played: int
    broken: dict[int, str]
    breaks_played: int
    found: dict[str, int]  # by deliberate break, in how many schedules it was seen


class Results(msgspec.Struct):
    """One run of the benchmark."""

    commit: str
    short: bool
    role: str
    measurements: list[Measurement]
    fleets: list[fleet.Fleet]
    baselines: list[fleet.Baseline]
    schedules: Schedules | None
    agreement: Agreement | None
    peak_mb: float = 0.0  # of this process and of its largest child
    wall_seconds: float = 0.0


def commit() -> str:
    """The commit that is measured; marked where the text differs from it."""

    def git(*words: str) -> str:
        return subprocess.run(["git", *words], capture_output=True, text=True, check=False).stdout.strip()

    changed = git("status", "--porcelain", "--untracked-files=no", "ravenshelf", "standins", "benchmarks")
    return git("rev-parse", "--short", "HEAD") + ("+" if changed else "")


_spawn = multiprocessing.get_context("spawn")  # threads run beside


def fleet_jobs(short: bool) -> list[tuple[int, int, tuple[str, ...]]]:
    """Size, seed and parts of the day of each fleet to play, the longest first.

    A whole day of the largest takes over half an hour, so of that the first parts are played, once.
    """
    if short:
        return [(size, 1, fleet.DAY) for size in sorted(SHORT_FLEETS, reverse=True)]
    whole = [(size, seed, fleet.DAY) for size in sorted(FLEETS, reverse=True) for seed in range(1, RUNS + 1)]
    return [(LARGEST_FLEET, 1, fleet.DAY[:parts]) for parts in LARGEST_PARTS] + whole


def run_fleets(results: Results) -> None:
    """Fleets of all sizes; each is kept as it comes."""
    with ProcessPoolExecutor(PROCESSES if results.short else FLEETS_AT_ONCE, _spawn) as pool:
        playing = [pool.submit(fleet.play, *job) for job in fleet_jobs(results.short)]
        for played in as_completed(playing):
            results.fleets.append(played.result())
            keep(results)


def run_baselines(short: bool) -> list[fleet.Baseline]:
    """Subscriptions against servers that watch all services, at each size."""
    sizes, services = (SHORT_BASELINES, SHORT_BASELINE_SERVICES) if short else (BASELINES, BASELINE_SERVICES)
    jobs = [(size, seed, services) for size in sizes for seed in range(1, (1 if short else RUNS) + 1)]
    with ProcessPoolExecutor(PROCESSES if short else BASELINES_AT_ONCE, _spawn) as pool:
        return list(pool.map(fleet.baseline, *zip(*jobs, strict=True)))


def run_schedules(short: bool) -> Schedules:
    """Seeded schedules of faults, and schedules with each deliberate break."""
    count, breaks = (SHORT_SCHEDULES, SHORT_SCHEDULES) if short else (SCHEDULES, BREAK_SCHEDULES)
    with ProcessPoolExecutor(PROCESSES if short else SCHEDULES_AT_ONCE, _spawn) as pool:
        played = pool.map(run_schedule, [Schedule(seed) for seed in range(count)], chunksize=8)
        broken = {seed: violations[0].rule for seed, violations in enumerate(played) if violations}
        found = {
            name: sum(
                map(
                    bool,
                    pool.map(run_schedule, [Schedule(seed, name) for seed in range(breaks)], chunksize=8),
                )
            )
            for name in BREAKS
        }
    return Schedules(count, broken, breaks, found)


def measured(
    kinds: Iterable[Callable[[bool], Iterable[Measurement]]], short: bool, role: str
) -> list[Measurement]:
    """The measurements of a role, or of all roles where none is named."""
    return [
        measurement for kind in kinds for measurement in kind(short) if not role or role in measurement.role
    ]


def held(results: Results) -> bool:
    """Whether the aims are met.

    In every fleet a change is everywhere in time, a server's bytes are in budget and nobody is behind; the
    checker saw no violation, and each deliberate break; simulated and real servers agree.
    """
    fleets_hold = all(
        played.change_p99 < CHANGE_AIM
        and played.all_p99 < CHANGE_AIM
        and played.zone_p99 < CHANGE_AIM
        and played.behind == 0
        and max(played.calm_bytes, played.all_bytes, played.zone_bytes) < BYTES_AIM
        for played in results.fleets
    )
    baseline_holds = all(baseline.subscribed_bytes < baseline.watched_bytes for baseline in results.baselines)
    checked = results.schedules is None or (
        not results.schedules.broken and all(results.schedules.found.values())
    )
    agreed = results.agreement is None or results.agreement.agrees
    return fleets_hold and baseline_holds and checked and agreed


def play_fleets(results: Results) -> None:
    """Fleets, baselines, schedules and agreement, side by side."""
    with ThreadPoolExecutor(4) as side_by_side:
        fleets = side_by_side.submit(run_fleets, results)
        baselines = side_by_side.submit(run_baselines, results.short)
        schedules = side_by_side.submit(run_schedules, results.short)
        agreement = side_by_side.submit(compare, (4, 12) if results.short else (4, 12, 40))
        results.agreement, results.baselines = agreement.result(), baselines.result()
        results.schedules = schedules.result()
        keep(results)
        fleets.result()


def keep(results: Results) -> None:
    """Writes what a long run has so far where the capacity page is made from."""
    file = {"": SCALE_FILE, SOCKETS: SOCKETS_FILE}.get(results.role)
    if results.short or file is None:
        return
    RESULTS.mkdir(exist_ok=True)
    file.write_bytes(msgspec.json.format(msgspec.json.encode(results), indent=1) + b"\n")


def main(short: bool, role: str) -> None:
    """Runs the benchmark, keeps its output in the long form and prints it as one line."""
    began = time.perf_counter()
    kinds = [sockets.measurements] if role == SOCKETS else [servers.measurements, distribution.measurements]
    results = Results(commit(), short, role, measured(kinds, short, role), [], [], None, None)
    keep(results)
    if role in ("", FLEET):
        play_fleets(results)
    results.wall_seconds = round(time.perf_counter() - began, 1)
    peaks = [resource.getrusage(who).ru_maxrss for who in (resource.RUSAGE_SELF, resource.RUSAGE_CHILDREN)]
    results.peak_mb = sum(peaks) / 1024
    keep(results)
    aim = (
        f"change everywhere in {CHANGE_AIM:g} s for 99 in 100 subscriptions, "
        f"{BYTES_AIM:g} bytes a second and pilot, "
        "no invariant broken, each deliberate break found, simulated and real servers agree"
    )
    close("scale", msgspec.to_builtins(results), aim, held(results))


if __name__ == "__main__":
    options = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    options.add_argument("--short", action="store_true", help="smaller sizes, one run, under a minute")
    options.add_argument(
        "--role",
        default="",
        help="only this role; fleet: simulated fleets and the checker; sockets: a relay as a process",
    )
    arguments = options.parse_args()
    main(arguments.short, arguments.role)
