"""How long until the last proxy of a lost member has a valid table, and what the record costs.

Real processes on loopback: members of this program, killed and paused; proxies with a connection to each
that obey the highest term. Beside it the cost of what is on record before an order is sent: synced writes,
in groups as the store makes them, against each alone.
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

TAKEOVER_LIMIT_S = 15.0  # for any proxy
KILL_OBJECTIVE_S = 3.0  # at p99
LEASE_S = 1.5
SETTLED_LIMIT_S = 40.0
PAUSE_AFTER_TAKEOVER_S = 0.5
BODY = b"x" * 400
SHARDS = 64
COMMITS_IN_FLIGHT = 128
RECORDS = 40_000
SHORT_RECORDS = 4_000


class Loss(Enum):
    """How a member is lost."""

    KILL = "kill"
    PAUSE = "pause"


class Plan(NamedTuple):
    """Members and proxies of a run, and the losses in their order."""

    members: int
    proxies: int
    losses: list[Loss]


BOTH = [Loss.KILL, Loss.PAUSE]
SHORT_PLANS = [Plan(3, 500, BOTH)]
FULL_PLANS = [
    Plan(3, 500, BOTH * 5),
    Plan(5, 500, BOTH * 5),
    Plan(3, 2000, BOTH * 3),
    Plan(5, 2000, BOTH * 3),
]


async def lose(installation: Installation, name: str, loss: Loss) -> list[float]:
    """Seconds from the loss of a member to each of its proxies' next complete table, of a later term."""
    number = installation.server_names.index(name)
    terms = {proxy.number: proxy.term for proxy in installation.proxies if proxy.owner == number}
    proxies = [installation.proxies[proxy] for proxy in terms]
    began = time.monotonic()
    if loss is Loss.KILL:
        await installation.kill(name)
    else:
        installation.signal(name, signal.SIGSTOP)
    await installation.wait_until(
        lambda: all(
            proxy.term > terms[proxy.number] and proxy.complete_table_at > began for proxy in proxies
        ),
        TAKEOVER_LIMIT_S + 5,
    )
    times = [proxy.complete_table_at - began for proxy in proxies]
    if loss is Loss.KILL:
        await installation.start_process(name)
    else:
        await asyncio.sleep(PAUSE_AFTER_TAKEOVER_S)
        installation.signal(name, signal.SIGCONT)
    return times


async def takeovers(plan: Plan) -> dict[str, Any]:
    """One run of a plan."""
    with tempfile.TemporaryDirectory() as folder:
        lease_ms = int(LEASE_S * 1000)
        installation = Installation(Path(folder), plan.members, plan.proxies, lease_ms=lease_ms)
        await installation.start()
        try:
            share = plan.proxies // plan.members // 2
            first = await installation.wait_until(lambda: installation.is_settled(share), SETTLED_LIMIT_S)
            times: dict[Loss, list[float]] = {}
            for index, loss in enumerate(plan.losses):
                name = installation.server_names[index % plan.members]
                times.setdefault(loss, []).extend(await lose(installation, name, loss))
                if index < len(plan.losses) - 1:
                    await installation.wait_until(lambda: installation.is_settled(share), SETTLED_LIMIT_S)
            return {
                "controllers": plan.members,
                "proxies": plan.proxies,
                "first_s": round(first, 2),
                **{loss.value: quantiles(values) for loss, values in times.items()},
                "losses": [loss.value for loss in plan.losses],
                "refused_of_older_terms": sum(proxy.rejected_count for proxy in installation.proxies),
            }
        finally:
            await installation.stop()


class GroupedCommits:
    """Commits records to a journal as the service does, and measures how long each waits."""

    def __init__(self, journal: Journal, count: int) -> None:
        self.count = count
        self.waits: list[float] = []
        self._ended = threading.Event()
        self._committer = Committer(journal, lambda call: call())

    def run(self) -> list[float]:
        """Seconds that each record waited."""
        for number in range(self.count):
            self._commit(number)
            if number % SHARDS == SHARDS - 1:  # a cycle's worth of orders at a time
                while len(self.waits) < number - COMMITS_IN_FLIGHT:
                    time.sleep(0.0002)
        self._ended.wait(30)
        self._committer.close()
        return self.waits

    def _commit(self, number: int) -> None:
        began = time.perf_counter()

        def ended(_error: Exception | None) -> None:
            self.waits.append(time.perf_counter() - began)
            if len(self.waits) == self.count:
                self._ended.set()

        self._committer.commit([(number % SHARDS, BODY)], ended)


def append_alone(journal: Journal, count: int) -> list[float]:
    """Seconds that each record took, one after another."""
    waits = []
    for number in range(count):
        began = time.perf_counter()
        journal.append([(number % SHARDS, BODY)])
        waits.append(time.perf_counter() - began)
    return waits


def record_cost(count: int) -> dict[str, Any]:
    """Records a second on disk, alone and in groups of what arrived meanwhile; and how long one waits."""
    figures: dict[str, Any] = {}
    for name in ("alone", "grouped"):
        with tempfile.TemporaryDirectory() as folder:
            journal = Journal(Path(folder), {"cluster": "b", "member": "b"})
            began = time.perf_counter()
            if name == "grouped":
                waits = GroupedCommits(journal, count).run()
            else:
                waits = append_alone(journal, count // 8)
            elapsed = time.perf_counter() - began
            figures[name] = {
                "records_a_second": round(len(waits) / elapsed),
                "wait_ms_p50": round(quantile(waits, 0.5) * 1000, 3),
                "wait_ms_p99": round(quantile(waits, 0.99) * 1000, 3),
            }
            journal.close()
    grouped = figures["grouped"]["records_a_second"]
    figures["ratio"] = round(grouped / figures["alone"]["records_a_second"], 2)
    return figures


def meets_objectives(run: dict[str, Any]) -> bool:
    """Whether a run was in time."""
    kill = run[Loss.KILL.value]
    pause = run[Loss.PAUSE.value]
    is_in_time = kill["p99"] <= KILL_OBJECTIVE_S and pause["p99"] <= KILL_OBJECTIVE_S + LEASE_S
    return is_in_time and max(kill["max"], pause["max"]) <= TAKEOVER_LIMIT_S


async def main(short: bool) -> None:
    """Prints the figures and whether they meet the objectives."""
    runs = [await takeovers(plan) for plan in (SHORT_PLANS if short else FULL_PLANS)]
    record = record_cost(SHORT_RECORDS if short else RECORDS)
    close(
        "takeover",
        {"runs": runs, "lease_s": LEASE_S, "record": record},
        f"last proxies of a kill within {KILL_OBJECTIVE_S} s at p99, of a pause one lease later; "
        f"none over {TAKEOVER_LIMIT_S} s",
        all(meets_objectives(run) for run in runs),
    )


if __name__ == "__main__":
    options = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    options.add_argument("--short", action="store_true")
    uvloop.run(main(options.parse_args().short))
