"""How long until the last proxy of a lost controller has a valid table, and what the record costs.

Real processes on loopback: controllers of this program, killed, paused and cut off; proxies with a stream to each that
obey the highest term. Beside it the cost of what is on record before an order leaves: writes with a sync, in groups as
the store makes them, against each alone.
"""

import argparse
import asyncio
import signal
import tempfile
import time
from pathlib import Path

import uvloop

from benchmarks.measuring import close, quantile, quantiles
from standins.installation import Installation

BOUND, AIM_KILL, LEASE = 15.0, 3.0, 1.5


async def lose(installation: Installation, name: str, how: str) -> dict:
    """Seconds from the loss to each of its proxies' next whole table, of a later term."""
    had = {p.number: p.term for p in installation.proxies if p.owner == installation.names.index(name)}
    began = time.monotonic()
    if how == "kill":
        await installation.kill(name)
    else:
        installation.signal(name, signal.SIGSTOP)
    proxies = [installation.proxies[n] for n in had]
    await installation.until(
        lambda: all(p.term > had[p.number] and p.complete_table_at > began for p in proxies), BOUND + 5
    )
    took = [p.complete_table_at - began for p in proxies]
    refused = sum(p.rejected for p in installation.proxies)
    if how == "kill":
        await installation.run(name)
    else:
        await asyncio.sleep(0.5)
        installation.signal(name, signal.SIGCONT)
    return {"how": how, "proxies": len(took), "took": took, "refused": refused}


async def takeovers(controllers: int, proxies: int, losses: list[str]) -> dict:
    with tempfile.TemporaryDirectory() as folder:
        installation = await Installation(
            Path(folder), controllers, proxies, lease_ms=int(LEASE * 1000)
        ).start()
        try:
            share = proxies // controllers // 2
            first = await installation.until(lambda: installation.settled(share), 40)
            took: dict[str, list[float]] = {}
            for n, how in enumerate(losses):
                name = installation.names[n % controllers]
                lost = await lose(installation, name, how)
                took.setdefault(how, []).extend(lost["took"])
                if n < len(losses) - 1:
                    await installation.until(lambda: installation.settled(share), 40)
            return {
                "controllers": controllers,
                "proxies": proxies,
                "first_s": round(first, 2),
                **{how: quantiles(values) for how, values in took.items()},
                "losses": losses,
                "refused_of_older_terms": sum(p.rejected for p in installation.proxies),
            }
        finally:
            await installation.stop()


def record_cost(count: int) -> dict:
    """Records a second on disk: in groups of what came meanwhile, and each alone; and how long one waits."""
    import threading

    from ravenshelf.store.committer import Committer
    from ravenshelf.store.journal import Journal

    out = {}
    body = b"x" * 400
    for name, together in (("alone", False), ("grouped", True)):
        with tempfile.TemporaryDirectory() as folder:
            journal = Journal(Path(folder), {"cluster": "b", "member": "b"})
            waits, done, began = [], threading.Event(), time.perf_counter()
            if together:
                committer = Committer(journal, lambda call: call())

                def commit(n: int) -> None:
                    at = time.perf_counter()

                    def answered(why) -> None:
                        waits.append(time.perf_counter() - at)
                        if len(waits) == count:
                            done.set()

                    committer.commit([(n % 64, body)], answered)

                for n in range(count):
                    commit(n)
                    if n % 64 == 63:  # a turn's worth of orders at a time, as rounds bring them
                        while len(waits) < n - 128:
                            time.sleep(0.0002)
                done.wait(30)
                committer.close()
            else:
                for n in range(count // 8):
                    at = time.perf_counter()
                    journal.append([(n % 64, body)])
                    waits.append(time.perf_counter() - at)
            took = time.perf_counter() - began
            out[name] = {
                "records_a_second": round(len(waits) / took),
                "wait_ms_p50": round(quantile(waits, 0.5) * 1000, 3),
                "wait_ms_p99": round(quantile(waits, 0.99) * 1000, 3),
            }
            journal.close()
    out["ratio"] = round(out["grouped"]["records_a_second"] / out["alone"]["records_a_second"], 2)
    return out


async def main(short: bool) -> None:
    plans = (
        [(3, 500, ["kill", "pause"])]
        if short
        else [
            (3, 500, ["kill", "pause"] * 5),
            (5, 500, ["kill", "pause"] * 5),
            (3, 2000, ["kill", "pause"] * 3),
            (5, 2000, ["kill", "pause"] * 3),
        ]
    )
    runs = [await takeovers(*plan) for plan in plans]
    figures = {"runs": runs, "lease_s": LEASE, "record": record_cost(4000 if short else 40_000)}
    held = all(
        run["kill"]["p99"] <= AIM_KILL
        and run["pause"]["p99"] <= AIM_KILL + LEASE
        and max(run["kill"]["max"], run["pause"]["max"]) <= BOUND
        for run in runs
    )
    close(
        "takeover",
        figures,
        f"last proxies of a kill within {AIM_KILL} s at p99, of a pause one lease later; none over {BOUND} s",
        held,
    )


if __name__ == "__main__":
    options = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    options.add_argument("--short", action="store_true")
    uvloop.run(main(options.parse_args().short))
