"""The server process on the loopback interface, and the command line."""

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
    """Start a server and accept its watch; yield the process, its port and the socket of the watch."""
    discovery = socket.create_server(("127.0.0.1", 0))
    discovery.settimeout(20)
    file = tmp_path / "config.json"
    file.write_text(json.dumps(CONFIGURATION | {"discovery": f"127.0.0.1:{discovery.getsockname()[1]}"}))
    process, port = start_program(file)
    watch, _ = discovery.accept()  # the first control cycle has run
    yield process, port, watch
    process.kill()
    process.communicate()
    watch.close()
    discovery.close()


def chunk(endpoint_list):
    text = json.dumps(endpoint_list).encode() + b"\n"
    return b"%x\r\n%s\r\n" % (len(text), text)


def test_the_server_process_binds_proxies_follows_the_list_reloads_and_stops(program, tmp_path):
    file = tmp_path / "config.json"
    process, port, watch = program
    unidentified_client = LineClient(port).send("PING")
    assert unidentified_client.receive() == "PONG"
    proxy = LineClient(port).send("SUBSCRIBE proxy=1 zone=a weight=21.5 fresh=1")
    first_message = proxy.receive()
    assert first_message.startswith("CONFIG whole=1 lines=s-1:1000") and "ticket=1" in first_message
    proxy.send("ACK proxy=1 mark=1 took_ms=3.5")
    request = watch.recv(4096)
    assert request.startswith(b"GET /catalog/members?watch=1&after=4 HTTP/1.1\r\n")
    watch.sendall(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        + chunk({"rev": 5, "all": False, "targets": [target("s-3"), target("s-1", state="DRAINING")]})
    )
    update = proxy.receive()
    assert "s-3:1000" in update and "s-1:0" in update
    new_discovery = socket.create_server(("127.0.0.1", 0))
    new_discovery.settimeout(20)
    file.write_text(
        json.dumps(
            json.loads(file.read_text()) | {"discovery": f"127.0.0.1:{new_discovery.getsockname()[1]}"}
        )
    )
    process.send_signal(signal.SIGHUP)
    watch, _ = new_discovery.accept()
    assert b"after=0" in watch.recv(4096)  # versions of the previous address do not apply to this one
    watch.close()
    new_discovery.close()
    unreadable_client = LineClient(port).send("SUBSCRIBE proxy=9 zone=a weight=1 fresh=1")
    assert unreadable_client.receive() == ""
    process.send_signal(signal.SIGUSR1)
    while "counters:" not in (line := process.stderr.readline()):
        pass
    assert "received_ack=1" in line and "unreadable=1" in line and "proxies=1" in line
    process.send_signal(signal.SIGTERM)
    assert proxy.receive() == "" and process.wait(20) == 0
    assert "counters:" in process.stderr.read()


def test_a_proxy_that_returns_after_a_killed_server_is_bound_again(program, tmp_path):
    process, port, _ = program
    assert "whole=1" in LineClient(port).send("SUBSCRIBE proxy=1 zone=a weight=21.5 fresh=0").receive()
    process.kill()
    process.wait(20)
    restarted, port = start_program(tmp_path / "config.json")
    try:
        assert "whole=1" in LineClient(port).send("SUBSCRIBE proxy=1 zone=a weight=21.5 fresh=0").receive()
    finally:
        restarted.kill()
        restarted.communicate()


@pytest.mark.parametrize(
    "arguments, code, output",
    [
        (["version"], 0, "ravenshelf 0."),
        (["--help"], 0, "serve"),
        (["check", "-c", "{good}"], 0, "known endpoints 2"),
        (["check", "-c", "{bad}"], 2, "listen: expected host:port, not None"),
        (["serve", "-c", "{bad}"], 2, "ravenshelf: listen"),
        (["serve", "-c", "{good}", "--log-level", "loud"], 2, "expected one of DEBUG"),
    ],
)
def test_the_command_line(tmp_path, arguments, code, output):
    for name, content in (
        ("good", CONFIGURATION),
        ("bad", {field: value for field, value in CONFIGURATION.items() if field != "listen"}),
    ):
        (tmp_path / name).write_text(json.dumps(content))
    arguments = [argument.format(good=tmp_path / "good", bad=tmp_path / "bad") for argument in arguments]
    completed = subprocess.run(
        [sys.executable, "-m", "ravenshelf", *arguments],
        capture_output=True,
        text=True,
        timeout=60,
        env={variable: value for variable, value in os.environ.items() if not variable.startswith("RELAY_")},
    )
    assert (
        completed.returncode == code
        and output in completed.stdout + completed.stderr
        and "Traceback" not in completed.stderr
    )
