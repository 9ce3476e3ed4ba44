"""Limits of a successor as long as it has less information than the previous holder."""

from ravenshelf.leadership.inheritance import (
    ADMISSION_STEP_INTERVAL_US,
    LEARNING_PERIOD_US,
    UNLIMITED_LEVEL,
    InheritedState,
)
from ravenshelf.leadership.record import Record


def test_a_successor_admits_shed_load_step_by_step():
    record = Record(admission_levels={"read": (40.0, 1), "pay": (UNLIMITED_LEVEL, 1)})
    inherited_state = InheritedState(0, record, 5)
    assert inherited_state.limit_level(0, "read", 1e6) == 40
    assert inherited_state.limit_level(ADMISSION_STEP_INTERVAL_US, "read", 1e6) == 50
    assert inherited_state.limit_level(0, "read", 10.0) == 10
    assert inherited_state.limit_level(0, "pay", 1e6) == 1e6
    assert inherited_state.limit_level(LEARNING_PERIOD_US + 1, "read", 1e6) == 1e6


def test_a_drain_lasts_until_a_newer_list_shows_the_endpoint_as_ready():
    inherited_state = InheritedState(0, Record(drained_at={"old": 3, "new": 7}), 5)
    assert not inherited_state.is_drained("old") and inherited_state.is_drained("new")
    inherited_state.endpoints_listed(7, ["new"])
    assert inherited_state.is_drained("new")
    inherited_state.endpoints_listed(8, ["other"])
    assert inherited_state.is_drained("new")
    inherited_state.endpoints_listed(8, ["new"])
    assert not inherited_state.is_drained("new")
