"""The queue of a shard's commands: which ones wait for a record, and in which order they are sent."""

import pytest

from ravenshelf.leadership.gate import WAITING_LIMIT, RecordRequirements, ShardGate
from ravenshelf.leadership.record import Record


def always(_command):
    return True


def never(_command):
    return False


def payloads(commands):
    return [command.payload for command in commands]


@pytest.fixture
def gate():
    return ShardGate(Record())


def test_a_command_that_admits_more_waits_for_the_record_and_later_ones_wait_behind_it(gate):
    assert not gate.submit(1, "table", RecordRequirements())
    assert gate.submit(1, "level", RecordRequirements(levels=[("read", 50.0, 1)]))
    assert not gate.submit(1, "table2", RecordRequirements())
    assert not gate.submit(2, "other", RecordRequirements())
    assert payloads(gate.pop_permitted(0, always)) == ["table", "other"]
    new_record = gate.extended_record({})
    assert new_record.covers("read", 50.0, 1) and not gate.record.admission_levels
    gate.record_written(new_record, 1)
    assert not gate.pop_permitted(0, always)
    assert payloads(gate.pop_permitted(1, always)) == ["level", "table2"]
    # The record already permits a higher level, so no new record is needed.
    assert not gate.submit(1, "again", RecordRequirements(levels=[("read", 40.0, 1)]))
    assert gate.pop_permitted(1, always) and not len(gate)


def test_a_command_without_permission_delays_later_ones_until_a_later_term(gate):
    gate.submit(1, "a", RecordRequirements())
    gate.submit(1, "b", RecordRequirements(drains=[("s", 4)]))
    assert gate.pop_permitted(0, never) == [] and len(gate) == 2
    assert gate.begin_term(Record())  # The first record of the new term lacks the drain.
    gate.record_written(gate.extended_record({}), 2)
    assert payloads(gate.pop_permitted(2, always)) == ["a", "b"] and gate.record.drained_at == {"s": 4}
    assert gate.end_drains(["s"]) and not gate.record.drained_at and not gate.end_drains(["s"])


def test_a_proxy_with_too_many_waiting_commands_is_marked_as_overflowed(gate):
    for number in range(WAITING_LIMIT + 1):
        gate.submit(1, number, RecordRequirements())
    assert gate.overflowed_proxies == {1} and len(gate) == WAITING_LIMIT


def test_a_successor_begins_from_a_lower_level_that_was_sent():
    gate = ShardGate(Record(admission_levels={"read": (1e6, 2)}))
    # the record permits a higher level, so the command waits for no new record
    assert not gate.submit(1, "shed", RecordRequirements(levels=[("read", 40.0, 1)]))
    sent_commands = gate.pop_permitted(0, always)
    assert gate.lowered_record(sent_commands).admission_levels == {"read": (40.0, 2)}
    assert gate.lowered_record([]) is None
