"""Clients that send much, slowly or without end, against a real process with a limit on memory."""

import json
import re
import time
from contextlib import ExitStack, suppress
from pathlib import Path

import pytest
from conftest import SETTINGS
from server_doubles import CONFIGURATION, LineClient, start_program

MEMORY_MB = 64
CLIENTS = 120
# A client is owed an answer within this time.
ANSWER_S = 3.0
FLOOD_S = 1.0
READ_CHECKS, READ_CHECK_INTERVAL_S = 20, 0.05
JOIN = "SUBSCRIBE proxy={} zone=a weight=5 fresh=1"
MANY_FIELDS = b" ".join(b"%x=" % number for number in range(130_000))


class LimitedServer:
    """A process with a limit on memory, and a client of it that behaves."""

    def __init__(self, file):
        service = SETTINGS["family-info"] | {"proxy-count": 2 * CLIENTS}
        configuration = CONFIGURATION | {
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024},
            "settings": SETTINGS | {"family-info": service},
        }
        file.write_text(json.dumps(configuration))
        self.process, self.port = start_program(file)
        self.client = self.connect(JOIN.format(0))
        assert self.client.receive().startswith("CONFIG")

    def connect(self, *lines):
        return LineClient(self.port).send(*lines)

    def peak_memory_mb(self):
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(re.search(r"VmHWM:\s+(\d+) kB", status)[1]) / 1000

    def answer_time(self):
        """Return the seconds until the client that behaves is answered."""
        started_at = time.monotonic()
        self.client.send("PING")
        while self.client.receive() != "PONG":
            pass
        return time.monotonic() - started_at


@pytest.fixture
def limited_server(tmp_path):
    server = LimitedServer(tmp_path / "config.json")
    yield server
    server.process.kill()
    server.process.wait()
    server.process.stderr.close()


def begin_long_message(client, text):
    with suppress(OSError):  # the server may close the connection
        client.socket.sendall(text)


@pytest.mark.parametrize(
    "first_line, text",
    [
        (JOIN, b"RATE " + b"x" * 900_000),
        ("SOURCE zone=a", b"LOAD " + b"x" * 900_000),
        (JOIN, b"RATE " + MANY_FIELDS[:900_000]),
    ],
    ids=["proxies", "collectors", "many short fields"],
)
def test_hundreds_of_clients_within_a_long_message_stay_under_the_memory_limit(
    limited_server, first_line, text
):
    """Guards against a process that is killed because clients stop half-way through large messages."""
    with ExitStack() as open_sockets:
        for number in range(1, CLIENTS):
            client = limited_server.connect(first_line.format(number))
            open_sockets.enter_context(client.socket)
            begin_long_message(client, text)
        for _ in range(READ_CHECKS):  # the server reads what the system has received by then
            assert limited_server.answer_time() < ANSWER_S
            time.sleep(READ_CHECK_INTERVAL_S)
        assert limited_server.peak_memory_mb() < MEMORY_MB


@pytest.mark.parametrize(
    "first_line, text",
    [
        (JOIN, b"RATE proxy=1 class=other tries=x\r\n" * 500),
        (JOIN, b"RATE " + MANY_FIELDS[:1_000_000] + b"\r\n"),
        (JOIN, b"PING\r\n" * 1000),
        (JOIN, JOIN.format(1).encode() + b"\r\n"),
        (
            "SOURCE zone=a",
            b"".join(
                b"LOAD zone=a server=new-%d tries=1 failed=0 mean_ms=4 span_ms=9\r\n" % n for n in range(500)
            ),
        ),
    ],
    ids=["malformed", "many short fields", "answered", "joins", "new names"],
)
def test_a_client_that_sends_at_full_speed_delays_no_other(limited_server, first_line, text):
    """Guards against a connection that is read or decoded while all others wait, or that fills the memory."""
    client = limited_server.connect(first_line.format(1))
    client.socket.settimeout(FLOOD_S)
    ends_at = time.monotonic() + FLOOD_S
    with client.socket, suppress(OSError):
        while time.monotonic() < ends_at:
            client.socket.sendall(text)
            assert limited_server.answer_time() < ANSWER_S
    assert limited_server.answer_time() < ANSWER_S and limited_server.peak_memory_mb() < MEMORY_MB
