"""The simulator's line protocol, on the input and output of the program."""

import io
import json

import pytest

from ravenshelf.simulator import host
from ravenshelf.simulator.__main__ import main as serve

SETTINGS = json.dumps(
    {
        "azs": ["a"],
        "classes": [{"name": "c", "objective-ms": 500.0, "idempotency": "pure"}],
        "new-key": [1],
        "family-info": {"lines-per-s": 1000.0, "most-waiting": 1000, "proxy-count": 1},
    }
)
BOOT = f"boot 3 42 {SETTINGS}\ntopology 3 restored 1 1\nendpoint endpoint.aa 0 0 0 ready 4 -\n"
JOIN = "enrolled 3 6.5 1 0 41 9\n"


def run_batches(*batches, raw=None):
    """Run the program on batches or raw input; return its exit code and the lines of its output."""
    text = "".join(
        f"clock {100.5 + 300 * number} {number}\n{body}eob\n" for number, body in enumerate(batches, 1)
    )
    output = io.BytesIO()
    code = serve(io.BufferedReader(io.BytesIO((text if raw is None else raw).encode())), output)
    return code, output.getvalue().decode().splitlines()


def test_each_batch_is_answered_with_the_commands_of_its_instances():
    code, lines = run_batches("", BOOT + JOIN, "due 3 step\n", "exit 3\n" + BOOT + JOIN, "exit 3\n")
    assert code == 0 and [line for line in lines if line.startswith("next")] == [
        f"next {number}" for number in range(1, 6)
    ]
    assert "set_line 3 endpoint.aa 0 1000" in lines and "subscribe_to 3 41 0 0" in lines
    # The instance boots at 700.5 ms and starts a timer of a quarter of a second.
    assert any(line.startswith("sleep 3 950.500") for line in lines)


@pytest.mark.parametrize(
    "line, expected_error",
    [
        ("tally 3 0 1 endpoint.aa x 1000.0 14 7", "expected tally i rack-zone"),
        ("tally 3 0", "expected tally i rack-zone"),
        ("enrolled 3 nan 1 0 41", "expected enrolled i share"),
        ("enrolled 3 1 yes 0 41", "expected enrolled i share"),
        ("neighbour_says 3 2 @@", "expected neighbour_says i neighbour octets"),
        ("tally 8 0 1 endpoint.aa 48.25 1000.0 14 7", "not 8"),
        ("exit 8", "not 8"),
        ("topology 3 sideways 1 0", "expected topology i kind"),
        ("topology 3 update 1 1\nendpoint endpoint.aa 0 0 0 asleep 4 -", "expected 'endpoint' name"),
        ("boot 4 1 [1]", "expected boot i rng-seed env"),
        ("hello 3", "expected an event of the protocol"),
        ("", "expected an event of the protocol"),
    ],
)
def test_a_malformed_line_is_reported_without_a_partial_reply(capsys, line, expected_error):
    code, lines = run_batches(BOOT, line + "\n")
    error_output = capsys.readouterr().err
    assert (
        code == 1
        and lines[-1] == "next 1"
        and expected_error in error_output
        and "Traceback" not in error_output
        and error_output.count("\n") == 1
    )


@pytest.mark.parametrize(
    "raw", ["clock 1 1\n" + BOOT, "clock 1\neob\n", "tick 1 1\neob\n", "clock x 1\neob\n", "clock 1 1"]
)
def test_incomplete_batches_and_malformed_heads_are_rejected(capsys, raw):
    code, lines = run_batches(raw=raw)
    assert code == 1 and not lines and "expected" in capsys.readouterr().err


def test_an_error_in_the_controller_is_reported_as_an_exception_line(monkeypatch):
    def fail(*_):
        raise RuntimeError("no\nsuch thing")

    monkeypatch.setattr(host.Controller, "run_cycle", fail)
    assert run_batches(BOOT) == (0, ["exception 3 RuntimeError: no such thing", "next 1"])


def test_instances_share_no_state():
    single_lines = run_batches(BOOT + JOIN, "due 3 step\n")[1]
    other_batch = (BOOT + JOIN).replace(" 3 ", " 5 ").replace("ready 4", "ready 9")
    all_lines = run_batches(BOOT + JOIN + other_batch, "due 5 step\ndue 3 step\n")[1]
    assert [line for line in all_lines if line.split(" ")[1] != "5"] == single_lines
