"""The program itself, on loopback."""

import json
import os
import signal
import socket
import subprocess
import sys

import pytest
from conftest import target
from server_doubles import CONFIGURATION, LineClient, start_program


@pytest.fixture
def program(tmp_path):
    """The pilot as a process, and a stand-in for discovery that the test answers by hand."""
    discovery = socket.create_server(("127.0.0.1", 0))
    discovery.settimeout(20)
    file = tmp_path / "config.json"
    file.write_text(json.dumps(CONFIGURATION | {"discovery": f"127.0.0.1:{discovery.getsockname()[1]}"}))
    running, port = start_program(file)
    watch, _ = discovery.accept()  # the first round has been played
    yield running, port, watch
    running.kill()
    running.communicate()
    watch.close()
    discovery.close()


def chunk(said):
    text = json.dumps(said).encode() + b"\n"
    return b"%x\r\n%s\r\n" % (len(text), text)


def test_the_program_binds_follows_the_list_reloads_and_stops(program, tmp_path):
    file = tmp_path / "config.json"
    running, port, watch = program
    stranger = LineClient(port).say("PING")
    assert stranger.hear() == "PONG"
    proxy = LineClient(port).say("SUBSCRIBE proxy=1 zone=a weight=21.5 fresh=1")
    bound = proxy.hear()
    assert bound.startswith("CONFIG whole=1 lines=s-1:1000") and "ticket=1" in bound
    proxy.say("ACK proxy=1 mark=1 took_ms=3.5")
    asked = watch.recv(4096)
    assert asked.startswith(b"GET /catalog/members?watch=1&after=4 HTTP/1.1\r\n")
    watch.sendall(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        + chunk({"rev": 5, "all": False, "targets": [target("s-3"), target("s-1", state="DRAINING")]})
    )
    changed = proxy.hear()
    assert "s-3:1000" in changed and "s-1:0" in changed
    moved = socket.create_server(("127.0.0.1", 0))
    moved.settimeout(20)
    file.write_text(
        json.dumps(json.loads(file.read_text()) | {"discovery": f"127.0.0.1:{moved.getsockname()[1]}"})
    )
    running.send_signal(signal.SIGHUP)
    watch, _ = moved.accept()
    assert b"after=0" in watch.recv(4096)  # the versions of the address before say nothing here
    watch.close()
    moved.close()
    bad = LineClient(port).say("SUBSCRIBE proxy=9 zone=a weight=1 fresh=1")
    assert bad.hear() == ""
    running.send_signal(signal.SIGUSR1)
    while "counters:" not in (line := running.stderr.readline()):
        pass
    assert "received_ack=1" in line and "unreadable=1" in line and "proxies=1" in line
    running.send_signal(signal.SIGTERM)
    assert proxy.hear() == "" and running.wait(20) == 0
    assert "counters:" in running.stderr.read()


def test_a_proxy_that_returns_after_a_killed_server_is_bound_again(program, tmp_path):
    running, port, _ = program
    assert "whole=1" in LineClient(port).say("SUBSCRIBE proxy=1 zone=a weight=21.5 fresh=0").hear()
    running.kill()
    running.wait(20)
    again, port = start_program(tmp_path / "config.json")
    try:
        assert "whole=1" in LineClient(port).say("SUBSCRIBE proxy=1 zone=a weight=21.5 fresh=0").hear()
    finally:
        again.kill()
        again.communicate()


@pytest.mark.parametrize(
    "arguments, code, told",
    [
        (["version"], 0, "ravenshelf 0."),
        (["--help"], 0, "serve"),
        (["check", "-c", "{good}"], 0, "known endpoints 2"),
        (["check", "-c", "{bad}"], 2, "listen: expected host:port, not None"),
        (["serve", "-c", "{bad}"], 2, "ravenshelf: listen"),
        (["serve", "-c", "{good}", "--log-level", "loud"], 2, "expected one of DEBUG"),
    ],
)
def test_the_command_line(tmp_path, arguments, code, told):
    for name, said in (
        ("good", CONFIGURATION),
        ("bad", {k: v for k, v in CONFIGURATION.items() if k != "listen"}),
    ):
        (tmp_path / name).write_text(json.dumps(said))
    arguments = [a.format(good=tmp_path / "good", bad=tmp_path / "bad") for a in arguments]
    done = subprocess.run(
        [sys.executable, "-m", "ravenshelf", *arguments],
        capture_output=True,
        text=True,
        timeout=60,
        env={k: v for k, v in os.environ.items() if not k.startswith("RELAY_")},
    )
    assert done.returncode == code and told in done.stdout + done.stderr and "Traceback" not in done.stderr
