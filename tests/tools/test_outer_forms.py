"""Tests of the sessions that compare two commits: repeatability, and the behaviour that they cover."""

from pathlib import Path

import pytest

from tools.outer_forms import server_session
from tools.outer_forms.simulator_session import SimulatorSession

ROOT = Path(__file__).resolve().parent.parent.parent


@pytest.mark.parametrize("seed", [0, 3])
def test_simulator_sessions_of_the_same_seed_are_equal(seed):
    first_transcript = SimulatorSession(ROOT, seed).run()
    assert first_transcript == SimulatorSession(ROOT, seed).run()
    assert first_transcript.exit_code == 1


def test_simulator_sessions_of_different_seeds_differ():
    assert SimulatorSession(ROOT, 1).run().digest != SimulatorSession(ROOT, 2).run().digest


def test_a_server_session_covers_tables_list_changes_and_the_shutdown():
    transcript = server_session.run_session(ROOT)
    assert transcript.exit_code == 0
    assert transcript.unreadable_lines in (["(end)"], ["(reset)"])
    assert all(any("whole=1" in line for line in lines) for lines in transcript.streams.values())
    assert all(lines[0] == "PONG" for lines in transcript.streams.values())
    assert any(" back=s-0" in line for line in transcript.streams[0])
    assert any("s-2:0" in line for line in transcript.streams[0])
    assert "GET /catalog/members?watch=1&after=0" in transcript.requests
