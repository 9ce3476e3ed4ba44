"""A seeded session on the simulator's wire: batches in, replies out, nothing of the code imported.

The session answers where the wire needs an answer: acknowledgements of marks, timers that were started, and
endpoint lists that were requested. All else is drawn from a seeded generator.
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
REPORT_SHARE = 0.6  # of the endpoints, in one batch with reports


class Transcript(NamedTuple):
    """What one process did in a session."""

    exit_code: int
    digest: str  # SHA-256 of all replies
    replies: int


def module_of(checkout: Path) -> str:
    """The Python module that a checkout's deploy file starts on the simulator's wire."""
    deploy = tomllib.loads((checkout / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
    words = shlex.split(deploy["sim"])
    return words[words.index("-m") + 1]


def settings(rng: random.Random) -> dict:
    """The settings of a deployment drawn at random."""
    zones = [f"z{number}" for number in range(rng.randint(1, 4))]
    return {
        "azs": zones,
        "balancers": rng.randint(1, 3),
        "kinds": ["m1", "m2"],
        "discovery": rng.choice(["pushed", "on_request"]),
        "weights": rng.choice(["rough", "nominal", "none"]),
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
            "lines-per-s": rng.choice([200.0, 1400.0]),
            "most-waiting": 2100.0,
            "envelope": 3.0,
            "proxy-count": 48,
            "by-zone": rng.random() < 0.5,
            "level-kind": rng.choice(["per_second", "fraction"]),
            "late-most-ms": 800.0,
            "messages-most": rng.choice([0, 30]),
            "counted-over-ms": 10_000.0,
            "outlier-after": rng.choice([0, 5]),
        },
        "telemetry": {"how": "answers", "columns": rng.choice([["active"], ["cpu", "active"], []])},
        "limits": {"probing": True, "peer-messages": True},
        "rules": {
            "cold-share": 0.16,
            "fall-multiple": rng.choice([2.5, 4.0]),
            "warm-after-ms": 16_000.0,
            "removal-not-binding": rng.random() < 0.3,
        },
    }


class SimulatorSession:
    """One instance of the decisions, driven over standard input and output of a process of the checkout."""

    def __init__(self, checkout: Path, seed: int):
        self.rng = random.Random(seed)
        self.settings = settings(self.rng)
        self.zones = len(self.settings["azs"])
        self.now_ms = 5_000.0
        self.version = 1
        self.endpoints = {f"e{number}": "ready" for number in range(self.rng.randint(4, 24))}
        self.started_ms = dict.fromkeys(self.endpoints, 0.0)
        self.proxies: dict[int, int] = {}  # proxy: zone
        self.pending: list[str] = []  # lines that the last reply calls for
        self.timers: list[tuple[float, str]] = []
        self.digest = hashlib.sha256()
        self.process = subprocess.Popen(
            [sys.executable, "-m", module_of(checkout)],
            cwd=checkout,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
        )

    def play(self) -> Transcript:
        """Play all batches, then a line that the wire does not allow, which has to end the process."""
        for number in range(1, BATCHES + 1):
            self._exchange(number, self._batch(number))
        self._send("clock 1 1\nhello 0\neob\n")
        self.process.stdin.close()
        rest = self.process.stdout.read()
        self.digest.update(rest)
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
            words = reply.decode().split()
            is_log = words[0] == "record"  # its wording is no decision
            self.digest.update(b"record" if is_log else reply)
            if words[0] == "next":
                break
            self._follow(words)
        self.now_ms += TICK_MS

    def _follow(self, words: list[str]) -> None:
        """Prepare what an action of the reply calls for."""
        if words[0] == "mark":
            for proxy in self.rng.sample(sorted(self.proxies), len(self.proxies) // 2):
                self.pending.append(f"acked 0 {proxy} {words[2]} {self.rng.uniform(50, 2500):.3f}")
        elif words[0] == "sleep":
            self.timers.append((float(words[2]), words[3]))
        elif words[0] in ("observe", "get_list"):
            kind = self.rng.choice(["replace", "replace", "unavailable"])
            self.pending += self._list(kind)
        elif words[0] == "poll":
            self.pending.append(f"checked 0 {words[2]} OK 3.5 -")

    def _batch(self, number: int) -> list[str]:
        if number == 1:
            boot = f"boot 0 {self.rng.randrange(2**31)} {json.dumps(self.settings)}"
            return [boot, *self._list("restored")]
        lines = self.pending
        self.pending = []
        due = [timer for timer in self.timers if timer[0] <= self.now_ms]
        self.timers = [timer for timer in self.timers if timer[0] > self.now_ms]
        lines += [f"due 0 {key}" for _, key in due]
        lines += self._proxies(number)
        if number % 4 == 0:
            lines += self._reports(number)
        if self.rng.random() < 0.08:
            lines += self._changes()
        return lines

    def _list(self, kind: str) -> list[str]:
        if kind == "unavailable":
            return ["topology 0 unavailable 0"]
        names = [name for name, state in self.endpoints.items() if state != "gone"]
        return [f"topology 0 {kind} {self.version} {len(names)}", *map(self._entry, names)]

    def _entry(self, name: str) -> str:
        number = int(name[1:])
        zone = number % self.zones
        state = self.endpoints[name]
        return f"endpoint {name} {zone} {number % 2} 0 {state} {1 + number % 4} {self.started_ms[name]:.3f}"

    def _changes(self) -> list[str]:
        """Some endpoints drain, go, come back as another process, or are new."""
        self.version += 1
        names = self.rng.sample(sorted(self.endpoints), self.rng.randint(1, 3))
        if self.rng.random() < 0.5:
            names.append(f"e{len(self.endpoints)}")
        for name in names:
            self.endpoints[name] = self.rng.choice(ENDPOINT_STATES)
            self.started_ms[name] = self.rng.choice([self.started_ms.get(name, 0.0), self.now_ms])
        return [f"topology 0 update {self.version} {len(names)}", *map(self._entry, names)]

    def _proxies(self, number: int) -> list[str]:
        lines = []
        wanted = 12 if number < 40 else 40
        while len(self.proxies) < wanted and self.rng.random() < 0.7:
            proxy = self.rng.choice([one for one in range(48) if one not in self.proxies])
            self.proxies[proxy] = proxy % self.zones
            rate = self.rng.choice(["-", f"{self.rng.uniform(1, 40):.2f}"])
            lines.append(f"enrolled 0 {rate} {self.rng.randint(0, 1)} {self.proxies[proxy]} {proxy}")
        if self.proxies and self.rng.random() < 0.1:
            proxy = self.rng.choice(sorted(self.proxies))
            del self.proxies[proxy]
            lines.append(f"detached 0 {proxy}")
        return lines

    def _reports(self, number: int) -> list[str]:
        """Load and demand reports; demand doubles in the middle of the session, and one endpoint fails."""
        lines = []
        load = 2.0 if BATCHES // 2 < number < 3 * BATCHES // 4 else 1.0
        columns = len(self.settings["telemetry"]["columns"])
        for name in self.rng.sample(sorted(self.endpoints), round(REPORT_SHARE * len(self.endpoints))):
            attempts = self.rng.randint(1, 200)
            failed = attempts // 2 if name == "e1" else self.rng.randint(0, attempts // 10)
            mean = self.rng.uniform(40, 400) * load
            values = ",".join(f"{self.rng.uniform(0, 9):.2f}" for _ in range(columns)) or "-"
            zone = self.rng.randrange(self.zones)
            lines.append(f"tally 0 {zone} {failed} {name} {mean:.3f} 1000.0 {attempts} {values}")
        for proxy in self.proxies:
            group = self.rng.randrange(3)
            requests = round(self.rng.uniform(5, 60) * load)
            lines.append(f"proxy_stats 0 {proxy} {group} {requests} 0 1000.0")
        return lines
