"""Seeded session on the simulator's wire, which sends batches to a process and reads its replies.

Nothing of the checkout is imported. The session acknowledges marks, expires the timers that were started and
sends the endpoint lists that were requested. All other content is drawn from a seeded generator.
"""

import hashlib
import json
import random
import shlex
import subprocess
import sys
import tomllib
from pathlib import Path
from typing import NamedTuple

BATCHES = 160
TICK_MS = 250.0
ENDPOINT_STATES = ("ready", "ready", "ready", "draining", "gone")
REPORT_SHARE = 0.6  # share of the endpoints that have a report in a batch with reports


class Transcript(NamedTuple):
    """Replies and exit code of a process in a session."""

    exit_code: int
    digest: str  # SHA-256 of all replies
    replies: int


def module_of(checkout: Path) -> str:
    """Return the Python module that the deploy file of a checkout starts on the simulator's wire."""
    deploy = tomllib.loads((checkout / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
    fields = shlex.split(deploy["sim"])
    return fields[fields.index("-m") + 1]


def settings(random_source: random.Random) -> dict:
    """Draw the settings of a deployment."""
    zones = [f"z{number}" for number in range(random_source.randint(1, 4))]
    return {
        "azs": zones,
        "balancers": random_source.randint(1, 3),
        "kinds": ["m1", "m2"],
        "discovery": random_source.choice(["pushed", "on_request"]),
        "weights": random_source.choice(["rough", "nominal", "none"]),
        "tick-ms": 4.0,
        "classes": [
            {
                "name": "a",
                "objective-ms": 900.0,
                "deadline-ms": 3000.0,
                "idempotency": "pure",
                "importance": 1.0,
            },
            {"name": "b", "objective-ms": 700.0, "idempotency": "token", "importance": 5.0},
            {"name": "c", "objective-ms": 1500.0, "idempotency": "side_effect", "importance": 3.0},
        ],
        "family-info": {
            "lines-per-s": random_source.choice([200.0, 1400.0]),
            "most-waiting": 2100.0,
            "envelope": 3.0,
            "proxy-count": 48,
            "by-zone": random_source.random() < 0.5,
            "level-kind": random_source.choice(["per_second", "fraction"]),
            "late-most-ms": 800.0,
            "messages-most": random_source.choice([0, 30]),
            "counted-over-ms": 10_000.0,
            "outlier-after": random_source.choice([0, 5]),
        },
        "telemetry": {"how": "answers", "columns": random_source.choice([["active"], ["cpu", "active"], []])},
        "limits": {"probing": True, "peer-messages": True},
        "rules": {
            "cold-share": 0.16,
            "fall-multiple": random_source.choice([2.5, 4.0]),
            "warm-after-ms": 16_000.0,
            "removal-not-binding": random_source.random() < 0.3,
        },
    }


class SimulatorSession:
    """Session with a process of the checkout that runs one instance of the decisions.

    Batches and replies are exchanged over its standard input and output. Times are in milliseconds.
    """

    def __init__(self, checkout: Path, seed: int):
        self.random_source = random.Random(seed)
        self.settings = settings(self.random_source)
        self.zones = len(self.settings["azs"])
        self.now_ms = 5_000.0
        self.version = 1
        self.endpoints = {f"e{number}": "ready" for number in range(self.random_source.randint(4, 24))}
        self.started_ms = dict.fromkeys(self.endpoints, 0.0)
        self.proxies: dict[int, int] = {}  # zone of each proxy, by its number
        self.pending_lines: list[str] = []  # responses to the last reply, for the next batch
        self.timers: list[tuple[float, str]] = []
        self.digest = hashlib.sha256()
        self.process = subprocess.Popen(
            [sys.executable, "-m", module_of(checkout)],
            cwd=checkout,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
        )

    def run(self) -> Transcript:
        """Send all batches, then a batch that the wire does not allow, after which the process must end."""
        for number in range(1, BATCHES + 1):
            self._exchange(number, self._make_batch(number))
        self._send("clock 1 1\nhello 0\neob\n")
        self.process.stdin.close()
        last_output = self.process.stdout.read()
        self.digest.update(last_output)
        return Transcript(self.process.wait(), self.digest.hexdigest(), BATCHES)

    def _send(self, text: str) -> None:
        self.process.stdin.write(text.encode())
        self.process.stdin.flush()

    def _exchange(self, number: int, lines: list[str]) -> None:
        body = "".join(f"{line}\n" for line in lines)
        self._send(f"clock {self.now_ms:.3f} {number}\n{body}eob\n")
        while True:
            reply = self.process.stdout.readline()
            if not reply:
                raise RuntimeError(f"expected a reply to batch {number}, the process has ended")
            fields = reply.decode().split()
            is_log = fields[0] == "record"  # The texts of log records are not compared.
            self.digest.update(b"record" if is_log else reply)
            if fields[0] == "next":
                break
            self._prepare_response(fields)
        self.now_ms += TICK_MS

    def _prepare_response(self, fields: list[str]) -> None:
        """Add the response to an action of the reply to the next batch or to the timers."""
        if fields[0] == "mark":
            for proxy in self.random_source.sample(sorted(self.proxies), len(self.proxies) // 2):
                self.pending_lines.append(
                    f"acked 0 {proxy} {fields[2]} {self.random_source.uniform(50, 2500):.3f}"
                )
        elif fields[0] == "sleep":
            self.timers.append((float(fields[2]), fields[3]))
        elif fields[0] in ("observe", "get_list"):
            kind = self.random_source.choice(["replace", "replace", "unavailable"])
            self.pending_lines += self._make_list(kind)
        elif fields[0] == "poll":
            self.pending_lines.append(f"checked 0 {fields[2]} OK 3.5 -")

    def _make_batch(self, number: int) -> list[str]:
        if number == 1:
            boot_line = f"boot 0 {self.random_source.randrange(2**31)} {json.dumps(self.settings)}"
            return [boot_line, *self._make_list("restored")]
        lines = self.pending_lines
        self.pending_lines = []
        expired_timers = [timer for timer in self.timers if timer[0] <= self.now_ms]
        self.timers = [timer for timer in self.timers if timer[0] > self.now_ms]
        lines += [f"due 0 {key}" for _, key in expired_timers]
        lines += self._change_proxies(number)
        if number % 4 == 0:
            lines += self._make_reports(number)
        if self.random_source.random() < 0.08:
            lines += self._change_endpoints()
        return lines

    def _make_list(self, kind: str) -> list[str]:
        if kind == "unavailable":
            return ["topology 0 unavailable 0"]
        names = [name for name, state in self.endpoints.items() if state != "gone"]
        return [f"topology 0 {kind} {self.version} {len(names)}", *map(self._format_entry, names)]

    def _format_entry(self, name: str) -> str:
        number = int(name[1:])
        zone = number % self.zones
        state = self.endpoints[name]
        return f"endpoint {name} {zone} {number % 2} 0 {state} {1 + number % 4} {self.started_ms[name]:.3f}"

    def _change_endpoints(self) -> list[str]:
        """Change some endpoints, which drain, disappear, restart or are new, and return the update."""
        self.version += 1
        names = self.random_source.sample(sorted(self.endpoints), self.random_source.randint(1, 3))
        if self.random_source.random() < 0.5:
            names.append(f"e{len(self.endpoints)}")
        for name in names:
            self.endpoints[name] = self.random_source.choice(ENDPOINT_STATES)
            self.started_ms[name] = self.random_source.choice([self.started_ms.get(name, 0.0), self.now_ms])
        return [f"topology 0 update {self.version} {len(names)}", *map(self._format_entry, names)]

    def _change_proxies(self, number: int) -> list[str]:
        lines = []
        proxy_limit = 12 if number < 40 else 40
        while len(self.proxies) < proxy_limit and self.random_source.random() < 0.7:
            proxy = self.random_source.choice(
                [candidate for candidate in range(48) if candidate not in self.proxies]
            )
            self.proxies[proxy] = proxy % self.zones
            rate = self.random_source.choice(["-", f"{self.random_source.uniform(1, 40):.2f}"])
            lines.append(
                f"enrolled 0 {rate} {self.random_source.randint(0, 1)} {self.proxies[proxy]} {proxy}"
            )
        if self.proxies and self.random_source.random() < 0.1:
            proxy = self.random_source.choice(sorted(self.proxies))
            del self.proxies[proxy]
            lines.append(f"detached 0 {proxy}")
        return lines

    def _make_reports(self, number: int) -> list[str]:
        """Return load and demand reports.

        Load doubles for a quarter of the session after its middle, and attempts at one endpoint often fail.
        """
        lines = []
        load_factor = 2.0 if BATCHES // 2 < number < 3 * BATCHES // 4 else 1.0
        columns = len(self.settings["telemetry"]["columns"])
        for name in self.random_source.sample(
            sorted(self.endpoints), round(REPORT_SHARE * len(self.endpoints))
        ):
            attempts = self.random_source.randint(1, 200)
            failed = attempts // 2 if name == "e1" else self.random_source.randint(0, attempts // 10)
            mean_latency = self.random_source.uniform(40, 400) * load_factor
            values = ",".join(f"{self.random_source.uniform(0, 9):.2f}" for _ in range(columns)) or "-"
            zone = self.random_source.randrange(self.zones)
            lines.append(f"tally 0 {zone} {failed} {name} {mean_latency:.3f} 1000.0 {attempts} {values}")
        for proxy in self.proxies:
            group = self.random_source.randrange(3)
            requests = round(self.random_source.uniform(5, 60) * load_factor)
            lines.append(f"proxy_stats 0 {proxy} {group} {requests} 0 1000.0")
        return lines
