"""An event loop with a manual clock, a server's configuration, its process, and a client of it."""

import os
import socket
import subprocess
import sys

from conftest import SETTINGS, target

from ravenshelf.time_units import SECOND


class ManualLoop:
    """An event loop whose time passes only in `run_for`."""

    def __init__(self):
        self.now, self.pending_callbacks, self.calls = 1000 * SECOND, [], []

    def create_future(self):
        return type("Future", (), {"done": lambda self: False})()

    def call_later(self, delay, callback):
        handle = type(
            "Handle", (), {"cancel": lambda handle: self.pending_callbacks.remove((at, callback))}
        )()
        at = self.now + delay * 1e6
        self.pending_callbacks.append((at, callback))
        return handle

    def call_soon(self, callback, *arguments):
        return self.call_later(0, lambda: callback(*arguments))

    def create_task(self, coroutine):
        coroutine.close()
        return type("Task", (), {"cancel": lambda self: None})()

    def run_for(self, seconds, delay=0.0):
        """Run the callbacks that are due within `seconds`; the first runs `delay` seconds late."""
        end = self.now + seconds * 1e6
        while self.pending_callbacks and min(at for at, _ in self.pending_callbacks) <= end:
            at, callback = min(self.pending_callbacks, key=lambda pending: pending[0])
            self.pending_callbacks.remove((at, callback))
            self.now, delay = int(max(self.now, at)) + 1 + round(delay * 1e6), 0.0
            callback()
        self.now = max(self.now, int(end))


class ManualLoopWithFuture(ManualLoop):
    """A manual loop that can create futures, which record only whether their result was set."""

    def create_future(self):
        return type(
            "Future",
            (),
            {
                "is_done": False,
                "done": lambda future: future.is_done,
                "set_result": lambda future, _: setattr(future, "is_done", True),
            },
        )()


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
    """A connection to the server that sends and receives lines."""

    def __init__(self, port):
        self.socket = socket.create_connection(("127.0.0.1", port), timeout=20)
        self.file = self.socket.makefile("rb")

    def send(self, *lines):
        self.socket.sendall(b"".join(line.encode() + b"\r\n" for line in lines))
        return self

    def receive(self):
        return self.file.readline().decode().strip()


def start_program(file):
    """Start a server on a free port and wait until it listens; return the process and the port."""
    process = subprocess.Popen(
        [sys.executable, "-m", "ravenshelf", "serve"],
        stderr=subprocess.PIPE,
        text=True,
        env=os.environ | {"RELAY_CONFIG": str(file)},
    )
    while "serves at" not in (line := process.stderr.readline()):
        assert process.poll() is None, line
    return process, int(line.rpartition(":")[2])
