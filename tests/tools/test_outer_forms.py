"""The sessions that compare two commits: they are repeatable, and they reach what they are meant to reach."""

from pathlib import Path

import pytest

from tools.outer_forms import server_session
from tools.outer_forms.simulator_session import SimulatorSession

ROOT = Path(__file__).resolve().parent.parent.parent


@pytest.mark.parametrize("seed", [0, 3])
def test_a_simulator_session_of_one_seed_is_the_same_twice(seed):
    first = SimulatorSession(ROOT, seed).play()
    assert first == SimulatorSession(ROOT, seed).play()
    assert first.exit_code == 1


def test_simulator_sessions_of_different_seeds_differ():
    assert SimulatorSession(ROOT, 1).play().digest != SimulatorSession(ROOT, 2).play().digest


def test_a_server_session_reaches_tables_changes_and_the_end():
    transcript = server_session.play(ROOT)
    assert transcript.exit_code == 0
    assert transcript.stray_stream in (["(end)"], ["(reset)"])
    assert all(any("whole=1" in line for line in lines) for lines in transcript.streams.values())
    assert all(lines[0] == "PONG" for lines in transcript.streams.values())
    assert any(" back=s-0" in line for line in transcript.streams[0])
    assert any("s-2:0" in line for line in transcript.streams[0])
    assert "GET /catalog/members?watch=1&after=0" in transcript.requests
