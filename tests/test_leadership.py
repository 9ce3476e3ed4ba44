"""Several controllers: the machine under seeded faults, its deliberate breaks, and the parts around it."""

import random
from multiprocessing import Pool

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from benchmarks.leases import MODEL_BREAKS, model
from ravenshelf.leadership import shard_placement
from ravenshelf.leadership.decisions import TERM_STRIDE, LeaseConfiguration, LeaseState, Member, Permission
from ravenshelf.leadership.gate import WAITING_LIMIT, RecordRequirements, ShardGate
from ravenshelf.leadership.inheritance import (
    ADMISSION_STEP_INTERVAL_US,
    LEARNING_PERIOD_US,
    UNLIMITED_LEVEL,
    InheritedState,
)
from ravenshelf.leadership.record import Record, UnreadableRecordError
from standins.controllers import BREAKS, ENDS, World, takeovers
from standins.histories import check

SECOND = 1_000_000
BOUND = 6.0


# --- schedules ---


def play(day):
    seed, count, extreme = day
    return seed, check(World(seed, count, extreme=extreme).run(), BOUND)


def test_no_schedule_of_faults_breaks_a_rule():
    """500 days of 3, 5 and 7 controllers; on every fourth clocks run apart as far as they may."""
    days = [
        (seed, count, seed % 4 == 0)
        for count, seeds in ((3, range(380)), (5, range(1000, 1100)), (7, range(2000, 2020)))
        for seed in seeds
    ]
    with Pool() as pool:
        broken = [(seed, found[0]) for seed, found in pool.imap_unordered(play, days, 8) if found]
    assert not broken


def test_a_seed_plays_the_same_day_to_the_last_event():
    assert World(11, 5).run() == World(11, 5).run()
    assert World(11, 5).run() != World(12, 5).run()


def test_the_days_are_of_some_use():
    """Faults happen, owners change, and most orders leave: a checker of empty days would find nothing."""
    took = tries = lost = 0
    for seed in range(10):
        events = World(seed, 3).run()
        took += sum(e[1] == "owner" for e in events)
        lost += sum(e[1] == "lost" for e in events)
        tries += sum(e[1] == "left" and e[6][0] == "try" for e in events)
    assert took > 90 and lost > 10 and tries > 400


def broken_day(day):
    seed, name = day
    wild = {"extreme": True, "drift": 0.2} if name == "drift ignored" else {"extreme": seed % 4 == 0}
    return seed, bool(check(World(seed, 3, breaks=[name], **wild).run(), BOUND))


def first_found(name, most):
    """The first day on which the checker sees a deliberate break, or None."""
    with Pool() as pool:
        return next(
            (
                seed
                for seed, found in pool.imap(broken_day, [(seed, name) for seed in range(most)], 8)
                if found
            ),
            None,
        )


@pytest.mark.parametrize("name", BREAKS)
def test_each_deliberate_break_is_found(name):
    assert first_found(name, 1200) is not None


def test_a_kill_alone_is_taken_over_within_a_lease_and_a_little():
    took = []
    for seed in range(12):
        world = World(seed, 3, faults=False)
        world.run(6 * SECOND)
        world.nodes[seed % 3].stop()
        took += takeovers(world.run(12 * SECOND))
    assert len(took) >= 12 and max(took) < 2.5


# --- one member by hand ---


class Sent:
    def __init__(self):
        self.messages, self.kept, self.states = [], [], []

    def store_vote(self, *values):
        self.kept.append(values)

    def store_voting(self):
        self.kept.append("votes")

    def send(self, member, message):
        self.messages.append((member, message))

    def lease_changed(self, shard, state, term, record):
        self.states.append((shard, state))


class Trio:
    """Three members in one clock; `cut` holds pairs that don't hear each other. Disks are ideal."""

    def __init__(self, **ways):
        self.now, self.cut, self.ways = (
            0,
            set(),
            LeaseConfiguration(**({"shards": 2, "stability_period_us": 10**9} | ways)),
        )
        self.out = [Sent() for _ in range(3)]
        self.members = [Member(n, 3, self.ways, {}, 0, random.Random(n)) for n in range(3)]

    def carry(self):
        while any(out.messages for out in self.out):
            for sender, out in enumerate(self.out):
                messages, out.messages = out.messages, []
                for to, message in messages:
                    if (sender, to) not in self.cut:
                        self.members[to].receive(self.now, sender, message, self.out[to])

    def passes(self, seconds, frozen=()):
        until = self.now + round(seconds * SECOND)
        while self.now < until:
            self.now += 20_000
            for n, member in enumerate(self.members):
                if n not in frozen:
                    member.tick(self.now, self.out[n])
            self.carry()
        return self

    def alone(self, n):
        self.cut |= {(n, m) for m in range(3)} | {(m, n) for m in range(3)}
        self.cut -= {(n, n)}

    def owners(self, shard):
        return [n for n, m in enumerate(self.members) if m.claims[shard].state is LeaseState.HELD]


def test_one_owner_a_shard_and_an_order_needs_lease_and_record():
    trio = Trio().passes(4)
    (owner,) = trio.owners(0)
    member = trio.members[owner]
    assert member.permission(trio.now, 0) is Permission.FULL
    assert all(m.permission(trio.now, 0) is None for m in trio.members if m is not member)
    seq = member.write_record(trio.now, 0, b"r", trio.out[owner])
    assert member.permission(trio.now, 0, seq) is None  # not on record yet
    trio.carry()
    assert member.permission(trio.now, 0, seq) is Permission.FULL
    assert member.permission(trio.now + trio.ways.lease_us, 0, seq) is None  # one that wakes after its lease


def test_without_a_majority_known_things_are_kept_and_nothing_new_is_granted():
    trio = Trio().passes(4)
    (owner,) = trio.owners(0)
    trio.alone(owner)
    member = trio.members[owner]
    trio.passes(2)
    assert (
        member.claims[0].state is LeaseState.EXPIRED and member.permission(trio.now, 0) is None
    )  # it may have stood still
    trio.passes(4)
    assert (
        member.permission(trio.now, 0) is Permission.REPEAT_ONLY
        and member.write_record(trio.now, 0, b"x", trio.out[owner]) is None
    )
    (successor,) = [n for n in trio.owners(0) if n != owner]
    assert trio.members[successor].claims[0].term > member.claims[0].term
    trio.cut.clear()
    trio.passes(1)
    assert member.permission(trio.now, 0) is None and member.claims[0].state is LeaseState.IDLE


def test_one_that_stood_still_is_never_taken_for_one_without_a_majority():
    trio = Trio().passes(4)
    (owner,) = trio.owners(0)
    trio.alone(owner)
    trio.passes(1)
    trio.passes(60, frozen=[owner])
    assert trio.members[owner].permission(trio.now, 0) is None
    trio.members[owner].tick(trio.now, trio.out[owner])
    assert trio.members[owner].permission(trio.now, 0) is None


def test_a_one_way_cut_leaves_one_owner():
    trio = Trio().passes(4)
    (owner,) = trio.owners(0)
    for other in range(3):
        if other != owner:
            trio.cut.add((owner, other))  # it hears all and is heard by none
    trio.passes(5)
    assert len(trio.owners(0)) == 1 and owner not in trio.owners(0)


def test_a_handover_goes_to_its_heir_at_once():
    trio = Trio().passes(4)
    (owner,) = trio.owners(0)
    heir = (owner + 1) % 3
    trio.members[owner].write_record(trio.now, 0, b"kept", trio.out[owner])
    trio.carry()
    trio.members[owner].release(trio.now, [0], heir, trio.out[owner])
    assert trio.members[owner].permission(trio.now, 0) is None
    trio.passes(0.2)
    assert trio.owners(0) == [heir] and trio.members[heir].claims[0].record == b"kept"


def test_a_late_and_a_draining_member_give_their_shards_away():
    for change in ("loop_delay_us", "draining"):
        trio = Trio(shards=12, stability_period_us=SECOND).passes(6)
        own = [len(m.held_shards()) for m in trio.members]
        assert sum(own) == 12 and min(own) >= 3
        setattr(
            trio.members[0], change, 10 * trio.ways.loop_delay_limit_us if change == "loop_delay_us" else True
        )
        trio.passes(4)
        assert len(trio.members[0].held_shards()) <= (1 if change == "loop_delay_us" else 0)
        assert sum(len(m.held_shards()) for m in trio.members) == 12


def test_a_member_with_an_empty_disk_reads_a_majority_before_it_votes():
    trio = Trio().passes(4)
    promised = [v.promised for v in trio.members[2].votes]
    new = trio.members[2] = Member(2, 3, trio.ways, {}, trio.now, random.Random(9), recovering=True)
    trio.out[2] = Sent()
    trio.cut |= {(0, 2), (2, 0)}
    trio.passes(3)
    assert new.is_recovering  # one of two others is no majority of three
    trio.cut.clear()
    trio.passes(1)
    assert not new.is_recovering and all(v.promised >= p for v, p in zip(new.votes, promised))


def test_at_a_first_start_all_must_be_there_and_then_all_begin():
    trio = Trio()
    trio.members = [Member(n, 3, trio.ways, {}, 0, random.Random(n), recovering=True) for n in range(3)]
    trio.alone(2)
    trio.passes(3)
    assert all(m.is_recovering for m in trio.members)
    trio.cut.clear()
    trio.passes(6)
    assert not any(m.is_recovering for m in trio.members) and len(trio.owners(0)) == 1


def test_a_stray_promise_costs_no_owner_its_voter_for_long():
    trio = Trio().passes(4)
    (owner,) = trio.owners(0)
    voter = trio.members[(owner + 1) % 3].votes[0]
    voter.promised += 5 * TERM_STRIDE
    trio.passes(6)
    assert len(trio.owners(0)) == 1
    assert trio.members[trio.owners(0)[0]].claims[0].term == voter.promised


# --- dividing ---

weights = st.dictionaries(st.integers(0, 6), st.floats(0.1, 10), min_size=2, max_size=6)


@given(weights, st.integers(8, 100), st.data())
@settings(max_examples=60, deadline=None)
def test_only_the_shards_of_the_lost_move(weights, shards, data):
    owners = shard_placement.place_shards([None] * shards, weights)
    assert all(m in weights for m in owners)
    most = shard_placement.shard_limits(shards, weights)
    assert all(owners.count(m) <= most[m] for m in weights)
    lost = data.draw(st.sampled_from(sorted(weights)))
    left = {m: w for m, w in weights.items() if m != lost}
    after = shard_placement.place_shards([None if m == lost else m for m in owners], left)
    assert (
        [a for a, b in zip(after, owners) if b != lost] == [b for b in owners if b != lost]
        or any(owners.count(m) > shard_placement.shard_limits(shards, left)[m] for m in left)
        or _few(owners, after, lost, left, shards)
    )
    assert shard_placement.place_shards(after, left) == after  # settled: nobody moves without a cause


def _few(owners, after, lost, left, shards):
    """Beyond the lost one's, at most one for each that had much less than its due."""
    moved = sum(a != b for a, b in zip(after, owners) if b != lost)
    return moved <= len(left)


def test_one_that_comes_back_gets_its_due_and_no_more_moves():
    three, two = {0: 1.0, 1: 1.0, 2: 1.0}, {0: 1.0, 1: 1.0}
    owners = shard_placement.place_shards([None] * 60, two)
    after = shard_placement.place_shards(owners, three)
    assert 19 <= after.count(2) <= 20 and sum(a != b for a, b in zip(owners, after)) == after.count(2)


def test_nobody_there_and_nothing_to_count_on():
    assert shard_placement.place_shards([None, 1], {}) == [None, None]
    assert shard_placement.place_shards([0, 1], {0: 0.0, 1: 0.0}) == [None, None]
    assert (
        shard_placement.member_weight(1.0, True, 0, 1) == 0
        and shard_placement.member_weight(1.0, False, 2, 1) == 0.25
    )


# --- records ---


def test_a_record_of_a_later_version_keeps_what_this_program_does_not_know():
    import msgspec

    later = msgspec.msgpack.encode(
        {
            "v": 3,
            "tries": {"k": 1},
            "levels": {"read": [5.0, 1]},
            "drains": {},
            "ramps": {},
            "quotas": {"t": 7},
        }
    )
    record = Record.unpack(later)
    record.retries["k2"] = 1
    said = msgspec.msgpack.decode(record.pack())
    assert said["quotas"] == {"t": 7} and said["v"] == 3 and set(said["tries"]) == {"k", "k2"}
    older = msgspec.msgpack.encode({"v": 1, "tries": {}, "levels": {}, "drains": {"s": 4}})
    assert Record.unpack(older).drained_at == {"s": 4} and Record.unpack(older).warming_since == {}
    assert Record.unpack(None) == Record()


@pytest.mark.parametrize("bad", [b"", b"\xc1", b"\x01", b"\x80", b"\x81\xa1v\xa1x"])
def test_what_is_no_record_is_told_so(bad):
    with pytest.raises(UnreadableRecordError):
        Record.unpack(bad)


# --- the gate ---


def test_what_allows_more_waits_for_the_record_and_what_comes_later_waits_behind_it():
    gate = ShardGate(Record())
    assert not gate.submit(1, "table", RecordRequirements())
    assert gate.submit(1, "level", RecordRequirements(levels=[("read", 50.0, 1)]))
    assert not gate.submit(1, "table2", RecordRequirements()) and not gate.submit(
        2, "other", RecordRequirements()
    )
    assert [h.message for h in gate.take_permitted(0, lambda h: True)] == ["table", "other"]
    grown = gate.extended_record({})
    assert grown.covers("read", 50.0, 1) and not gate.record.admission_levels
    gate.record_written(grown, 1)
    assert not gate.take_permitted(0, lambda h: True)
    assert [h.message for h in gate.take_permitted(1, lambda h: True)] == ["level", "table2"]
    assert not gate.submit(
        1, "again", RecordRequirements(levels=[("read", 40.0, 1)])
    )  # no more than is on record
    assert gate.take_permitted(1, lambda h: True) and not len(gate)


def test_what_may_not_leave_holds_those_behind_it_and_a_later_term_lets_them_go():
    gate = ShardGate(Record())
    gate.submit(1, "a", RecordRequirements())
    gate.submit(1, "b", RecordRequirements(drains=[("s", 4)]))
    assert gate.take_permitted(0, lambda h: False) == [] and len(gate) == 2
    assert gate.begin_term(Record())  # the new term's record lacks the drain
    gate.record_written(gate.extended_record({}), 2)
    assert [h.message for h in gate.take_permitted(2, lambda h: True)] == [
        "a",
        "b",
    ] and gate.record.drained_at == {"s": 4}
    assert gate.end_drains(["s"]) and not gate.record.drained_at and not gate.end_drains(["s"])


def test_a_proxy_with_too_much_waiting_is_bound_anew():
    gate = ShardGate(Record())
    for n in range(WAITING_LIMIT + 1):
        gate.submit(1, n, RecordRequirements())
    assert gate.overflowed == {1} and len(gate) == WAITING_LIMIT


# --- what is inherited ---


def test_a_successor_lets_in_step_by_step_what_was_refused():
    inherited = InheritedState(
        0, Record(admission_levels={"read": (40.0, 1), "pay": (UNLIMITED_LEVEL, 1)}), 5
    )
    assert (
        inherited.limit_level(0, "read", 1e6) == 40
        and inherited.limit_level(ADMISSION_STEP_INTERVAL_US, "read", 1e6) == 50
    )
    assert inherited.limit_level(0, "read", 10.0) == 10 and inherited.limit_level(0, "pay", 1e6) == 1e6
    assert inherited.limit_level(LEARNING_PERIOD_US + 1, "read", 1e6) == 1e6


def test_a_drain_holds_until_a_newer_list_ends_it():
    inherited = InheritedState(0, Record(drained_at={"old": 3, "new": 7}), 5)
    assert not inherited.is_drained("old") and inherited.is_drained("new")
    inherited.endpoints_listed(7, ["new"])
    assert inherited.is_drained("new")
    inherited.endpoints_listed(8, ["other"])
    assert inherited.is_drained("new")
    inherited.endpoints_listed(8, ["new"])
    assert not inherited.is_drained("new")


def test_the_checker_needs_little_to_be_broken():
    assert [
        r
        for r, _, _ in check(
            [(1.0, "left", 0, 0, 70, "granting", ("bind",)), (2.0, "left", 1, 0, 65, "granting", ("bind",))],
            1,
        )
    ] == ["one granter"]
    assert [
        r
        for r, _, _ in check(
            [(1.0, "took", 0, 0, 70, ("out", "s", 3)), (2.0, "took", 0, 1, 135, ("back", "s", 3))], 1
        )
    ] == ["drain dropped"]
    assert [
        r
        for r, _, _ in check(
            [(1.0, "owner", 0, 0), (2.0, "lost", 0), (2.5, "whole"), (9.0, "took", 0, 1, 1, ("bind",))], 3
        )
    ] == ["takeover late"]
    assert ENDS > 0


@pytest.mark.parametrize("broken", MODEL_BREAKS)
def test_the_lease_rules_hold_for_all_clocks_and_times_and_each_break_has_a_counterexample(broken):
    assert model(broken)["found"] == ("unsat" if broken == "none" else "sat")


def test_a_lower_level_that_has_left_is_what_a_successor_begins_from():
    gate = ShardGate(Record(admission_levels={"read": (1e6, 2)}))
    assert not gate.submit(
        1, "refuse", RecordRequirements(levels=[("read", 40.0, 1)])
    )  # the record allows more: it leaves at once
    left = gate.take_permitted(0, lambda held: True)
    assert (
        gate.lowered_record(left).admission_levels == {"read": (40.0, 2)} and gate.lowered_record([]) is None
    )
