"""Table lines while a receiver of figures hangs, against one that is absent; and what figures and packets cost.

Two pilots of this program, each with a discovery and proxies of its own, get changes of the list in turns: one's
receiver takes the connection and never reads, the other's does not exist. Timed is from discovery's change to the
line at each proxy. The naive sender (a task a receiver, drain awaited, all formatted in one go) stands below as the
baseline.
"""

import argparse
import asyncio
import contextlib
import random
import tempfile
import time
from pathlib import Path

from benchmarks.measuring import close, memory_mb, quantile, quantiles
from examples.toy import server_process
from standins import collectd as sender
from standins.carbon import CarbonReceiver, StopReading
from standins.loopback import LoopbackProxy, LoopbackRegistry, listed_endpoint, server_configuration

PROXIES, ENDPOINTS, BETWEEN = 20, 40, 0.014
AIM_RATIO, AIM_LATE_MS, AIM_GROWTH_MB = 1.05, 20.0, 2.0


class Side:
    """One pilot with its world; `took` holds the milliseconds from a change to its line at a proxy."""

    def __init__(self):
        self.took, self.changed, self.address = [], {}, ""
        self.proxies = [
            LoopbackProxy(lambda: self.address, n, "north", line_received=self.heard) for n in range(PROXIES)
        ]
        self.awaited: dict[tuple[int, str], float] = {}

    async def start(self, stack: contextlib.AsyncExitStack, operator: str) -> None:
        self.discovery = await LoopbackRegistry(
            [listed_endpoint(f"s-{n}", "north") for n in range(ENDPOINTS)]
        ).start()
        said = server_configuration(
            "", ["north"], PROXIES, **{"lines-per-s": 100_000, "most-waiting": 100_000}
        )
        self.address = await stack.enter_async_context(
            server_process(self.discovery.address, ["--operator", operator], said, True)
        )
        self.running = [asyncio.create_task(p.run()) for p in self.proxies]
        while not all(p.lines() for p in self.proxies):
            await asyncio.sleep(0.05)

    def heard(self, proxy: LoopbackProxy, line: str) -> None:
        """A drained endpoint is out by a withdrawal, by a line of weight 0, or by a whole table without it."""
        now = time.monotonic()
        said = dict(word.partition("=")[::2] for word in line.split()[1:])
        lines = dict(pair.split(":") for pair in said.get("lines", "").split(",") if pair)
        gone = {*said.get("out", "").split(","), *(uid for uid, weight in lines.items() if weight == "0")}
        if "whole" in said:
            gone |= {uid for number, uid in self.awaited if number == proxy.number and uid not in lines}
        for uid in gone:
            began = self.awaited.pop((proxy.number, uid), None)
            if began is not None:
                self.took.append((now - began) * 1000)

    async def change(self, uid: str) -> None:
        """Drains an endpoint; every proxy that holds it is owed a line. It comes back later, which is not timed."""
        began = time.monotonic()
        self.awaited |= {(p.number, uid): began for p in self.proxies if uid in p.lines()}
        await self.discovery.change(uid, "DRAINING")


async def lines(seconds: float) -> dict:
    """The two pilots in turns."""
    carbon = await CarbonReceiver([StopReading()], buffer_bytes=2048).start()
    sides = {"hanging": Side(), "absent": Side()}
    receivers = {"hanging": carbon.address, "absent": "127.0.0.1:1"}
    async with contextlib.AsyncExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        for name, side in sides.items():
            file = folder / f"{name}.toml"
            file.write_text(
                f'[graphite]\nreceivers = ["{receivers[name]}"]\nevery_s = 1\nbuffer_points = 5000\n'
            )
            await side.start(stack, str(file))
        began, memory, chance, n = time.monotonic(), [], random.Random(7), 0
        while time.monotonic() - began < seconds:
            order = list(sides.values())
            chance.shuffle(order)  # who is first must not matter
            uid = f"s-{n % ENDPOINTS}"
            for side in order:
                await side.change(uid)
                await asyncio.sleep(BETWEEN * chance.uniform(0.5, 1.5))  # in step with nothing
            for side in order:
                await side.discovery.change(uid, "SERVING")
            await asyncio.sleep(BETWEEN)
            n += 1
            if n % 25 == 0:
                memory.append(_pilots_memory())
        for side in sides.values():
            for task in side.running:
                task.cancel()
        out = {name: quantiles(side.took) | {"unanswered": len(side.awaited)} for name, side in sides.items()}
    await carbon.stop()
    half = memory[len(memory) // 2 :]
    return {
        **out,
        "p99_ratio": round(out["hanging"]["p99"] / max(1e-9, out["absent"]["p99"]), 3),
        "late_ms": round(out["hanging"]["max"] - out["absent"]["max"], 2),
        "growth_mb": round(max(half) - half[0], 2) if half else 0.0,
        "seconds": seconds,
        "carbon_connections": carbon.connections,
    }


def _pilots_memory() -> float:
    """Of this process's children."""
    import os

    children = Path(f"/proc/self/task/{os.getpid()}/children").read_text().split()
    return sum(memory_mb(int(pid)) for pid in children)


# --- what figures and packets cost on one core ---


def formatting(points: int) -> dict:
    from ravenshelf.graphite.formats import encode

    made = [(f"ravenshelf.toy.endpoint.s-{n}.tries_per_s", n * 1.1) for n in range(points)]
    out = {}
    for protocol in ("plaintext", "pickle"):
        began, longest, last = time.perf_counter(), 0.0, time.perf_counter()
        for _ in encode(protocol, 1_700_000_000, made):
            longest, last = max(longest, time.perf_counter() - last), time.perf_counter()
        took = time.perf_counter() - began
        out[protocol] = {
            "figures_a_second": round(points / took),
            "longest_slice_ms": round(longest * 1000, 3),
        }
    return out


def packets(count: int) -> dict:
    from collections import Counter

    from ravenshelf.collectd import protocol, security, types
    from ravenshelf.collectd.decisions.host_loads import HostLoads

    out = {}
    for level in ("none", "sign", "encrypt"):
        hosts = [sender.SimulatedHost(f"h-{n}") for n in range(20)]
        plain = [hosts[n % 20].packet(1_700_000_000 + 10 * (n // 20)) for n in range(count)]
        sealed = {
            "none": lambda p: p,
            "sign": lambda p: sender.sign(p, "u", "pw"),
            "encrypt": lambda p: sender.encrypt(p, "u", "pw", bytes(16)),
        }[level]
        made = [sealed(p) for p in plain]
        host_loads = HostLoads(lambda host: (int(host[2:]),), types.parse(types.BUILT_IN_TYPES), Counter())
        began = time.perf_counter()
        for n, packet in enumerate(made):
            plain = security.open_packet(packet, lambda user: [b"pw"], level)
            lists = protocol.decode_value_lists(plain.parts)
            host_loads.add((1_700_000_000 + 10 * (n // 20)) * 1_000_000, lists, False)
        took = time.perf_counter() - began
        out[level] = {
            "packets_a_second": round(count / took),
            "microseconds_each": round(took / count * 1e6, 1),
        }
    return out


# --- the baseline: a task a receiver, drain awaited ---


class Naive:
    """Formats all of a measurement at once and has a queue without bound for each receiver."""

    def __init__(self, receivers: list[str]):
        self.queues = [asyncio.Queue() for _ in receivers]
        self.tasks = [asyncio.create_task(self._send(r, q)) for r, q in zip(receivers, self.queues)]

    @staticmethod
    async def _send(receiver: str, queue: asyncio.Queue) -> None:
        host, _, port = receiver.rpartition(":")
        while True:
            try:
                _, writer = await asyncio.open_connection(host, int(port))
                while True:
                    writer.write(await queue.get())
                    await writer.drain()
            except OSError:
                await asyncio.sleep(1)

    def take(self, points: list, when: int) -> None:
        text = "".join(f"{path} {value:.10g} {when}\n" for path, value in points).encode()
        for queue in self.queues:
            queue.put_nowait(text)


async def held(points: int, measurements: int) -> dict:
    """The longest that the loop was held, and what waits in the end, with a receiver that hangs: naive and ours."""
    from ravenshelf.background.decisions import JobQueue, Priority
    from ravenshelf.background.scheduler import BackgroundScheduler
    from ravenshelf.graphite.service import GraphiteService
    from ravenshelf.operator_config.tables import Graphite as Table
    from ravenshelf.process.clock import Clock
    from ravenshelf.state.counters import Counters

    carbon = await CarbonReceiver([StopReading()], buffer_bytes=2048).start()
    made = [(f"ravenshelf.toy.endpoint.s-{n}.tries_per_s", n * 1.1) for n in range(points)]
    loop, clock, out = asyncio.get_running_loop(), Clock(), {}

    async def longest(do) -> float:
        """Of the steps of the loop while `do` gives a measurement at each."""
        worst = 0.0
        for n in range(measurements):
            do(n)
            until = time.monotonic() + 0.1
            while time.monotonic() < until:
                began = time.perf_counter()
                await asyncio.sleep(0)
                worst = max(worst, time.perf_counter() - began)
                await asyncio.sleep(0.0005)
        return worst * 1000

    naive = Naive([carbon.address])
    steps = []

    def timed(n: int) -> None:
        began = time.perf_counter()
        naive.take(made, 1_700_000_000 + n)
        steps.append(time.perf_counter() - began)

    worst = await longest(timed)
    waits = sum(sum(len(x) for x in q._queue) for q in naive.queues)
    out["naive"] = {
        "longest_hold_ms": round(max(worst, max(steps) * 1000), 2),
        "waiting_mb": round(waits / 1e6, 2),
    }
    for task in naive.tasks:
        task.cancel()

    counters, background = Counters(), None

    def wake(at: int) -> None:
        loop.call_later(max(0, at - clock()) / 1e6, background.run_turn)

    background = BackgroundScheduler(
        JobQueue(256, 2000, 200_000, 5_000_000), clock, wake, lambda: False, counters
    )
    table = Table(receivers=[carbon.address], buffer_points=3 * points)
    service = GraphiteService(
        table,
        random.Random(1),
        loop=loop,
        clock=clock,
        background=background,
        wake_at=lambda r, at: loop.call_later(max(0, at - clock()) / 1e6, lambda: service.run_due(r)),
    )

    def give(n: int):
        def work():
            yield
            service.export(1_700_000_000 + n, 1, made)

        background.offer("figures", Priority.PRESENT, 1_000_000, work())

    worst = await longest(give)
    exporter = service.exporters[carbon.address]
    out["ours"] = {
        "longest_hold_ms": round(max(worst, counters["background_slice_most_us"] / 1000), 2),
        "waiting_points": exporter.queue.size,
        "bound": table.buffer_points,
        "dropped_points": exporter.queue.dropped,
    }
    out["hold_ratio"] = round(out["ours"]["longest_hold_ms"] / out["naive"]["longest_hold_ms"], 3)
    service.close()
    await carbon.stop()
    return out


async def main(short: bool) -> None:
    figures = {"lines": await lines(36 if short else 600)}
    figures["formatting"] = formatting(20_000 if short else 200_000)
    figures["packets"] = packets(2_000 if short else 20_000)
    figures["held"] = await held(20_000, 8 if short else 30)
    seen = figures["lines"]
    late = quantile([seen["late_ms"]], 1.0)
    held_ = (
        seen["hanging"]["n"] > 500
        and seen["p99_ratio"] <= AIM_RATIO
        and late <= AIM_LATE_MS
        and seen["growth_mb"] <= AIM_GROWTH_MB
        and seen["hanging"]["unanswered"] == 0
    )
    close(
        "graphite",
        figures,
        f"p99 ratio <= {AIM_RATIO}, worst line <= {AIM_LATE_MS} ms later, memory growth in the "
        f"second half <= {AIM_GROWTH_MB} MB, no line missing",
        held_,
    )


if __name__ == "__main__":
    options = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    options.add_argument("--short", action="store_true")
    asyncio.run(main(options.parse_args().short))
