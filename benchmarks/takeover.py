"""Time until the last proxy of a lost member has a valid table, and the cost of the records on disk.

Members run as real processes on loopback, which are killed and suspended. Each proxy is connected to all
members and obeys the highest term. The benchmark also measures the cost of the records that must be on disk
before a command is sent: synced writes in groups, as the store makes them, compared with single ones.
"""

import argparse
import asyncio
import signal
import tempfile
import threading
import time
from enum import Enum
from pathlib import Path
from typing import Any, NamedTuple

import uvloop

from benchmarks.measuring import close, quantile, quantiles
from ravenshelf.store.committer import Committer
from ravenshelf.store.journal import Journal
from standins.installation import Installation

TAKEOVER_LIMIT_S = 15.0  # limit of the takeover time of every proxy
KILL_OBJECTIVE_S = 3.0  # limit of the 99th percentile of takeover times after a kill
LEASE_S = 1.5
SETTLED_LIMIT_S = 40.0
PAUSE_AFTER_TAKEOVER_S = 0.5
RECORD_BODY = b"x" * 400
SHARDS = 64
COMMITS_IN_FLIGHT = 128
RECORDS = 40_000
SHORT_RECORDS = 4_000


class Loss(Enum):
    """Way in which a member is lost."""

    KILL = "kill"
    PAUSE = "pause"


class Plan(NamedTuple):
    """Numbers of members and proxies of a run, and the losses in order."""

    members: int
    proxies: int
    losses: list[Loss]


KILL_AND_PAUSE = [Loss.KILL, Loss.PAUSE]
SHORT_PLANS = [Plan(3, 500, KILL_AND_PAUSE)]
FULL_PLANS = [
    Plan(3, 500, KILL_AND_PAUSE * 5),
    Plan(5, 500, KILL_AND_PAUSE * 5),
    Plan(3, 2000, KILL_AND_PAUSE * 3),
    Plan(5, 2000, KILL_AND_PAUSE * 3),
]


async def lose_member(installation: Installation, name: str, loss: Loss) -> list[float]:
    """Kill or suspend a member, and start or resume it after the takeover.

    Returns:
        The seconds from the loss to the next complete table of a later term, for each proxy of the member.
    """
    number = installation.server_names.index(name)
    terms = {proxy.number: proxy.term for proxy in installation.proxies if proxy.owner == number}
    proxies = [installation.proxies[proxy] for proxy in terms]
    started_at = time.monotonic()
    if loss is Loss.KILL:
        await installation.kill(name)
    else:
        installation.signal(name, signal.SIGSTOP)
    await installation.wait_until(
        lambda: all(
            proxy.term > terms[proxy.number] and proxy.complete_table_at > started_at for proxy in proxies
        ),
        TAKEOVER_LIMIT_S + 5,
    )
    durations = [proxy.complete_table_at - started_at for proxy in proxies]
    if loss is Loss.KILL:
        await installation.start_process(name)
    else:
        await asyncio.sleep(PAUSE_AFTER_TAKEOVER_S)
        installation.signal(name, signal.SIGCONT)
    return durations


async def run_plan(plan: Plan) -> dict[str, Any]:
    """Run a plan, and return its figures."""
    with tempfile.TemporaryDirectory() as folder:
        lease_ms = int(LEASE_S * 1000)
        installation = Installation(Path(folder), plan.members, plan.proxies, lease_ms=lease_ms)
        await installation.start()
        try:
            min_share = plan.proxies // plan.members // 2
            settled_after = await installation.wait_until(
                lambda: installation.is_settled(min_share), SETTLED_LIMIT_S
            )
            durations: dict[Loss, list[float]] = {}
            for index, loss in enumerate(plan.losses):
                name = installation.server_names[index % plan.members]
                durations.setdefault(loss, []).extend(await lose_member(installation, name, loss))
                if index < len(plan.losses) - 1:
                    await installation.wait_until(lambda: installation.is_settled(min_share), SETTLED_LIMIT_S)
            return {
                "controllers": plan.members,
                "proxies": plan.proxies,
                "first_s": round(settled_after, 2),
                **{loss.value: quantiles(values) for loss, values in durations.items()},
                "losses": [loss.value for loss in plan.losses],
                "refused_of_older_terms": sum(proxy.rejected_count for proxy in installation.proxies),
            }
        finally:
            await installation.stop()


class GroupedCommits:
    """Commits of records in groups, as the service makes them, with the time that each record waits."""

    def __init__(self, journal: Journal, count: int) -> None:
        self.count = count
        self.wait_seconds: list[float] = []
        self._all_committed = threading.Event()
        self._committer = Committer(journal, lambda callback: callback())

    def run(self) -> list[float]:
        """Commit the records, and return the seconds that each one waited."""
        for number in range(self.count):
            self._commit(number)
            if number % SHARDS == SHARDS - 1:  # A control cycle commits one record for each shard.
                while len(self.wait_seconds) < number - COMMITS_IN_FLIGHT:
                    time.sleep(0.0002)
        self._all_committed.wait(30)
        self._committer.close()
        return self.wait_seconds

    def _commit(self, number: int) -> None:
        started_at = time.perf_counter()

        def record_wait(_error: Exception | None) -> None:
            self.wait_seconds.append(time.perf_counter() - started_at)
            if len(self.wait_seconds) == self.count:
                self._all_committed.set()

        self._committer.commit([(number % SHARDS, RECORD_BODY)], record_wait)


def append_alone(journal: Journal, count: int) -> list[float]:
    """Append records one by one, and return the seconds that each one took."""
    wait_seconds = []
    for number in range(count):
        started_at = time.perf_counter()
        journal.append([(number % SHARDS, RECORD_BODY)])
        wait_seconds.append(time.perf_counter() - started_at)
    return wait_seconds


def measure_record_cost(count: int) -> dict[str, Any]:
    """Measure the records per second on disk, and how long a record waits.

    "alone" is for records one after another, "grouped" for groups of those that arrived during a write.
    """
    figures: dict[str, Any] = {}
    for name in ("alone", "grouped"):
        with tempfile.TemporaryDirectory() as folder:
            journal = Journal(Path(folder), {"cluster": "b", "member": "b"})
            started_at = time.perf_counter()
            if name == "grouped":
                wait_seconds = GroupedCommits(journal, count).run()
            else:
                wait_seconds = append_alone(journal, count // 8)
            elapsed = time.perf_counter() - started_at
            figures[name] = {
                "records_a_second": round(len(wait_seconds) / elapsed),
                "wait_ms_p50": round(quantile(wait_seconds, 0.5) * 1000, 3),
                "wait_ms_p99": round(quantile(wait_seconds, 0.99) * 1000, 3),
            }
            journal.close()
    grouped = figures["grouped"]["records_a_second"]
    figures["ratio"] = round(grouped / figures["alone"]["records_a_second"], 2)
    return figures


def meets_objectives(run: dict[str, Any]) -> bool:
    """Return whether the takeovers of a run were in time."""
    kill = run[Loss.KILL.value]
    pause = run[Loss.PAUSE.value]
    is_in_time = kill["p99"] <= KILL_OBJECTIVE_S and pause["p99"] <= KILL_OBJECTIVE_S + LEASE_S
    return is_in_time and max(kill["max"], pause["max"]) <= TAKEOVER_LIMIT_S


async def main(short: bool) -> None:
    """Print the figures and whether they meet the objectives."""
    runs = [await run_plan(plan) for plan in (SHORT_PLANS if short else FULL_PLANS)]
    record = measure_record_cost(SHORT_RECORDS if short else RECORDS)
    close(
        "takeover",
        {"runs": runs, "lease_s": LEASE_S, "record": record},
        f"p99 of the proxies within {KILL_OBJECTIVE_S} s of a kill, one lease later after a pause; "
        f"none over {TAKEOVER_LIMIT_S} s",
        all(meets_objectives(run) for run in runs),
    )


if __name__ == "__main__":
    options = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    options.add_argument("--short", action="store_true")
    uvloop.run(main(options.parse_args().short))
