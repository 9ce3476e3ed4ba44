"""A loop and a clock set by hand, the configuration of a server, and its process."""

import os
import socket
import subprocess
import sys

from conftest import SETTINGS, target

from ravenshelf.settings import SECOND


class ManualLoop:
    """Calls wait until the test lets them go; `late` seconds pass before the next one is played."""

    def __init__(self):
        self.now, self.waiting, self.calls = 1000 * SECOND, [], []

    def create_future(self):
        return type("Future", (), {"done": lambda self: False})()

    def call_later(self, wait, what):
        handle = type("Handle", (), {"cancel": lambda h: self.waiting.remove((at, what))})()
        at = self.now + wait * 1e6
        self.waiting.append((at, what))
        return handle

    def call_soon(self, what, *values):
        return self.call_later(0, lambda: what(*values))

    def create_task(self, dialing):
        dialing.close()
        return type("Task", (), {"cancel": lambda self: None})()

    def play(self, seconds, late=0.0):
        end = self.now + seconds * 1e6
        while self.waiting and min(at for at, _ in self.waiting) <= end:
            at, what = min(self.waiting, key=lambda w: w[0])
            self.waiting.remove((at, what))
            self.now, late = int(max(self.now, at)) + 1 + round(late * 1e6), 0.0
            what()
        self.now = max(self.now, int(end))


CONFIGURATION = {
    "name": "n3",
    "listen": "127.0.0.1:0",
    "discovery": "127.0.0.1:1",
    "seed": "8c1f30d27a5be964",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
    "settings": SETTINGS,
    "known": {"rev": 4, "all": True, "targets": [target("s-1"), target("s-2", "b")]},
}


class LineClient:
    """A connection to the pilot, read line by line."""

    def __init__(self, port):
        self.socket = socket.create_connection(("127.0.0.1", port), timeout=20)
        self.file = self.socket.makefile("rb")

    def say(self, *said):
        self.socket.sendall(b"".join(s.encode() + b"\r\n" for s in said))
        return self

    def hear(self):
        return self.file.readline().decode().strip()


def start_program(file):
    """Starts the pilot at a port that the system gives, and waits until it says which."""
    running = subprocess.Popen(
        [sys.executable, "-m", "ravenshelf", "serve"],
        stderr=subprocess.PIPE,
        text=True,
        env=os.environ | {"RELAY_CONFIG": str(file)},
    )
    while "serves at" not in (line := running.stderr.readline()):
        assert running.poll() is None, line
    return running, int(line.rpartition(":")[2])
