import io
import json

import pytest

from ravenshelf.simulator import host
from ravenshelf.simulator.__main__ import main as serve

ENV = json.dumps(
    {
        "azs": ["a"],
        "classes": [{"name": "c", "objective-ms": 500.0, "idempotency": "pure"}],
        "new-key": [1],
        "family-info": {"lines-per-s": 1000.0, "most-waiting": 1000, "proxy-count": 1},
    }
)
BOOT = f"boot 3 42 {ENV}\ntopology 3 restored 1 1\nendpoint endpoint.aa 0 0 0 ready 4 -\n"
JOIN = "enrolled 3 6.5 1 0 41 9\n"


def play(*batches, raw=None):
    text = "".join(f"clock {100.5 + 300 * n} {n}\n{body}eob\n" for n, body in enumerate(batches, 1))
    out = io.BytesIO()
    code = serve(io.BufferedReader(io.BytesIO((text if raw is None else raw).encode())), out)
    return code, out.getvalue().decode().splitlines()


def test_batches_are_answered_in_our_turn_and_words():
    code, out = play("", BOOT + JOIN, "due 3 step\n", "exit 3\n" + BOOT + JOIN, "exit 3\n")
    assert code == 0 and [x for x in out if x.startswith("next")] == [f"next {n}" for n in range(1, 6)]
    assert "set_line 3 endpoint.aa 0 1000" in out and "subscribe_to 3 41 0 0" in out
    assert any(x.startswith("sleep 3 950.500") for x in out)  # booted at 700.5 ms, a quarter of a second on


@pytest.mark.parametrize(
    "line, told",
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
        ("hello 3", "expected an event of the wire"),
        ("", "expected an event of the wire"),
    ],
)
def test_malformed_lines_are_named_without_half_a_reply(capsys, line, told):
    code, out = play(BOOT, line + "\n")
    err = capsys.readouterr().err
    assert (
        code == 1 and out[-1] == "next 1" and told in err and "Traceback" not in err and err.count("\n") == 1
    )


@pytest.mark.parametrize(
    "raw", ["clock 1 1\n" + BOOT, "clock 1\neob\n", "tick 1 1\neob\n", "clock x 1\neob\n", "clock 1 1"]
)
def test_broken_batches(capsys, raw):
    code, out = play(raw=raw)
    assert code == 1 and not out and "expected" in capsys.readouterr().err


def test_an_error_in_the_decisions_is_an_exception_on_the_wire(monkeypatch):
    def fail(*_):
        raise RuntimeError("no\nsuch thing")

    monkeypatch.setattr(host.Controller, "run_cycle", fail)
    assert play(BOOT) == (0, ["exception 3 RuntimeError: no such thing", "next 1"])


def test_instances_share_nothing():
    alone = play(BOOT + JOIN, "due 3 step\n")[1]
    other = (BOOT + JOIN).replace(" 3 ", " 5 ").replace("ready 4", "ready 9")
    both = play(BOOT + JOIN + other, "due 5 step\ndue 3 step\n")[1]
    assert [x for x in both if x.split(" ")[1] != "5"] == alone
