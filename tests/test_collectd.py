"""collectd: the decoder against packets made apart from it, what is refused, and what holds of odd values."""

import random
import struct
from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ravenshelf.background.decisions import JobQueue
from ravenshelf.background.scheduler import BackgroundScheduler
from ravenshelf.collectd import types, users, wire
from ravenshelf.collectd.decisions import JUMP, Machine, Replays, Series, Signals
from ravenshelf.collectd.listener import MOST_WAITING, Listener
from ravenshelf.collectd.wire import RejectedPacketError
from ravenshelf.operator_config.tables import Collectd
from ravenshelf.policy.events import HostLoadSampled
from ravenshelf.state.counters import Counters
from standins import collectd as sender

SECOND = 1_000_000
START = 1_700_000_000


def known(name):
    return {"u": [b"pw"], "v": [b"other"]}.get(name, [])


def refused(data, least="none"):
    with pytest.raises(RejectedPacketError) as why:
        body, _ = wire.opened(data, known, least)
        wire.value_lists(body)
    return why.value.reason


# --- the protocol ---


def test_all_parts_and_kinds_are_read():
    packet = (
        sender.text(sender.HOST, "h")
        + sender.number(sender.TIME, START)
        + sender.number(sender.INTERVAL, 10)
        + sender.text(sender.PLUGIN, "p")
        + sender.text(sender.PLUGIN_INSTANCE, "pi")
        + sender.text(sender.TYPE, "t")
        + sender.text(sender.TYPE_INSTANCE, "ti")
        + sender.values(
            (sender.COUNTER, 2**64 - 1), (sender.GAUGE, -1.5), (sender.DERIVE, -7), (sender.ABSOLUTE, 9)
        )
        + sender.part(0x0100, b"a notification\0")
        + sender.number(sender.TIME_HR, sender.hr(START + 0.5))
        + sender.number(sender.INTERVAL_HR, sender.hr(2.5))
        + sender.values((sender.GAUGE, 3.0))
    )
    first, second = wire.value_lists(packet)
    assert (first.host, first.plugin, first.plugin_instance, first.type, first.type_instance) == (
        "h",
        "p",
        "pi",
        "t",
        "ti",
    )
    assert first.values == ((0, 2**64 - 1), (1, -1.5), (2, -7), (3, 9))
    assert (first.time, first.interval) == (START * SECOND, 10 * SECOND)
    assert (second.time, second.interval) == (START * SECOND + SECOND // 2, 2_500_000)


PACKETS = {
    "plain": sender.Host("h").packet(START),
    "old times": sender.Host("h").packet(START, high=False),
    "signed": sender.signed(sender.Host("h").packet(START), "u", "pw"),
    "sealed": sender.sealed(sender.Host("h").packet(START), "u", "pw", bytes(range(16))),
}


@pytest.mark.parametrize("name", PACKETS)
def test_a_whole_packet_is_taken(name):
    body, vouched = wire.opened(PACKETS[name], known, "none")
    assert len(wire.value_lists(body)) == 6 and vouched == (name in ("signed", "sealed"))


@pytest.mark.parametrize("name", PACKETS)
def test_a_packet_cut_at_every_octet_gives_nothing_or_a_whole_shorter_one(name):
    packet = PACKETS[name]
    whole = wire.value_lists(wire.opened(packet, known, "none")[0])
    for cut in range(len(packet)):
        try:
            got = wire.value_lists(wire.opened(packet[:cut], known, "none")[0])
        except RejectedPacketError:
            continue
        assert name in ("plain", "old times") and got == whole[: len(got)]  # cut between two parts


@pytest.mark.parametrize("by", [-1, 1])
def test_each_parts_length_wrong_by_one_is_refused(by):
    packet, at, parts = PACKETS["plain"], 0, 0
    while at < len(packet):
        size = struct.unpack_from("!H", packet, at + 2)[0]
        bad = packet[: at + 2] + struct.pack("!H", size + by) + packet[at + 4 :]
        assert refused(bad) == "malformed"
        at, parts = at + size, parts + 1
    assert parts == 20


@pytest.mark.parametrize(
    "packet, least, reason",
    [
        (PACKETS["plain"], "sign", "unsigned"),
        (PACKETS["plain"], "encrypt", "unencrypted"),
        (PACKETS["signed"], "encrypt", "unencrypted"),
        (sender.signed(PACKETS["plain"], "v", "pw"), "sign", "wrong signature"),
        (sender.signed(PACKETS["plain"], "w", "pw"), "sign", "unknown user"),
        (PACKETS["signed"][:-1] + bytes([PACKETS["signed"][-1] ^ 1]), "sign", "wrong signature"),
        (
            PACKETS["signed"].replace(b"u" + PACKETS["plain"][:3], b"v" + PACKETS["plain"][:3], 1),
            "sign",
            "wrong signature",
        ),
        (sender.sealed(PACKETS["plain"], "v", "pw"), "encrypt", "wrong signature"),
        (sender.sealed(PACKETS["plain"], "w", "pw"), "none", "unknown user"),
        (PACKETS["sealed"] + b"\0", "none", "malformed"),
        (PACKETS["plain"] + PACKETS["sealed"], "none", "malformed"),
        (b"", "none", "malformed"),
        (sender.text(0, "h") * 3 + sender.values((1, 1.0)), "none", "malformed"),
        (sender.part(0, b"h\0h\0"), "none", "malformed"),
        (sender.part(0, b"\xff\0"), "none", "malformed"),
    ],
    ids=[
        "plain where signatures are required",
        "plain where encryption is required",
        "signed where encryption is required",
        "signed with another user's password",
        "signed by an unknown user",
        "signed and altered",
        "signed and the user replaced",
        "encrypted with another user's password",
        "encrypted by an unknown user",
        "bytes behind an encrypted part",
        "an encrypted part behind plain ones",
        "empty",
        "values without a type",
        "a zero byte inside a text",
        "a text that is not UTF-8",
    ],
)
def test_what_is_refused_and_why(packet, least, reason):
    assert refused(packet, least) == reason


def test_who_keeps_no_users_takes_a_signed_packet_as_an_open_one():
    body, vouched = wire.opened(sender.signed(PACKETS["plain"], "w", "pw"), known, "none")
    assert body == PACKETS["plain"] and not vouched


@given(
    st.binary(max_size=300)
    | st.tuples(st.sampled_from(sorted(PACKETS)), st.integers(0, 400), st.integers(0, 255))
)
@settings(max_examples=400, deadline=None)
def test_no_octets_make_the_decoder_fail_otherwise_than_by_refusing(said):
    if not isinstance(said, bytes):
        name, at, octet = said
        packet = bytearray(PACKETS[name])
        packet[at % len(packet)] = octet
        said = bytes(packet)
    try:
        body, _ = wire.opened(said, known, "none")
        lists = wire.value_lists(body)
    except RejectedPacketError:
        return
    signals = Signals(lambda host: (0,), types.read(types.OWN), Counter())
    signals.take(START * SECOND, lists, False)
    for _, busy, age in signals.signals(START * SECOND):
        assert 0 <= busy <= 1 and age >= 0


def test_types_are_read_and_a_bad_line_is_named():
    read = types.read("# none\nif_octets rx:DERIVE:0:U, tx:derive:0:100\n")
    assert read["if_octets"] == (("rx", 2, 0.0, float("inf")), ("tx", 2, 0.0, 100.0))
    for bad in ("x", "x value:DERIVE:0", "x value:SOME:0:U", "x value:GAUGE:a:U"):
        with pytest.raises(types.TypesFileError, match="file:2: .*expected name:KIND"):
            types.read(f"load a:GAUGE:0:U\n{bad}", "file")


# --- users ---


def test_a_changed_password_is_taken_beside_the_old_for_a_while_and_a_user_who_is_gone_is_gone():
    kept = users.Users({"u": b"old", "v": b"v"})
    kept.renew({"u": b"new"}, 0)
    assert kept.passwords("u", 59 * SECOND) == [b"new", b"old"] and kept.passwords("v", 1) == []
    assert kept.passwords("u", 60 * SECOND) == [b"new"]


@pytest.mark.parametrize("text", ["u", "u:", ": pw", "u: a\nu: b"])
def test_a_bad_line_of_the_users_file_is_named(text):
    with pytest.raises(users.UsersFileError, match=r"auth:\d: expected"):
        users.read(text, "auth")


# --- what holds of odd values ---

RATES = [
    ("a difference over its own time", wire.DERIVE, 100, 300, 10, 20.0),
    ("late by its own time, not by ours", wire.DERIVE, 100, 300, 20, 10.0),
    ("the same time twice", wire.DERIVE, 100, 300, 0, None),
    ("older than the newest", wire.DERIVE, 100, 300, -10, None),
    ("a counter that wraps at 32 bits", wire.COUNTER, 2**32 - 100, 100, 10, 20.0),
    ("a counter that wraps at 64 bits", wire.COUNTER, 2**64 - 100, 100, 10, 20.0),
    ("a counter that was reset", wire.COUNTER, 3 * 10**9, 100, 10, None),
    ("a counter beyond 32 bits that was reset", wire.COUNTER, 10**12, 100, 10, None),
    ("a DERIVE that falls", wire.DERIVE, 300, 100, 10, None),
    ("an ABSOLUTE since the one before", wire.ABSOLUTE, 7, 50, 10, 5.0),
    ("a gauge as it is", wire.GAUGE, 7, 50, 10, 50),
    ("a gap of many intervals", wire.DERIVE, 100, 300, 31, None),
]


@pytest.mark.parametrize("what, kind, first, second, passed, rate", RATES, ids=[r[0] for r in RATES])
def test_rates(what, kind, first, second, passed, rate):
    series = Series(START * SECOND, first)
    got = series.rate(kind, second, (START + passed) * SECOND, 10 * SECOND)
    assert got == (None if rate is None else pytest.approx(rate))


class Room:
    """A decoder with three listed hosts, fed at times that the test says."""

    def __init__(self):
        self.counts = Counter()
        self.signals = Signals(
            lambda host: {"a": (0,), "b": (1,), "c": (2, 3)}.get(host, ()), types.read(types.OWN), self.counts
        )

    def take(self, at, packet, vouched=False):
        self.signals.take(round(at * SECOND), wire.value_lists(packet), vouched)
        return {
            e: (round(busy, 2), age / SECOND) for e, busy, age in self.signals.signals(round(at * SECOND))
        }


def test_a_busy_host_is_told_for_each_of_its_endpoints_with_the_age_of_what_it_says():
    room, host = Room(), sender.Host("c", busy=0.2)
    assert room.take(START, host.packet(START)) == {}  # one reading is no rate
    host.busy = 0.9
    assert room.take(START + 10.5, host.packet(START + 10)) == {
        2: (0.9, pytest.approx(5.5)),
        3: (0.9, pytest.approx(5.5)),
    }


@pytest.mark.parametrize("off", [-7200, -31, 45, 86400])
def test_a_host_whose_clock_is_off_is_taken_with_its_true_age(off):
    room, host = Room(), sender.Host("a", clock_off=off)
    room.take(START, host.packet(START))
    assert room.take(START + 10, host.packet(START + 10)) == {0: (0.2, pytest.approx(5))}
    assert room.take(START + 24, host.packet(START + 20)) == {0: (0.2, pytest.approx(9))}  # 4 s on the way


@pytest.mark.parametrize("jump", [-3600, 3600])
def test_a_clock_that_is_set_in_service_costs_some_readings_alone(jump):
    room, host = Room(), sender.Host("a")
    for n in range(5):
        room.take(START + 10 * n, host.packet(START + 10 * n))
    host.clock_off = jump
    told = [room.take(START + 10 * n, host.packet(START + 10 * n)) for n in range(5, 12)]
    assert told[-1] == {0: (0.2, pytest.approx(5, abs=0.5))} and told[-2]
    assert [(h, round(s)) for h, s in room.signals.clocks()] == [("a", jump)]


def test_late_twice_and_out_of_order_change_nothing():
    room, host = Room(), sender.Host("a")
    packets = [host.packet(START + 10 * n) for n in range(4)]
    room.take(START, packets[0])
    first = room.take(START + 30, packets[3])
    assert first == {0: (0.2, pytest.approx(5))}
    for late in (packets[1], packets[3], packets[0], packets[2]):
        assert room.take(START + 31, late) == {}
    assert room.counts["collectd_old"] and room.counts["collectd_twice"]


def test_a_host_that_stops_says_nothing_more_and_absent_values_are_absent():
    room, host = Room(), sender.Host("a")
    for n in range(3):
        room.take(START + 10 * n, host.packet(START + 10 * n))
    assert room.signals.signals((START + 500) * SECOND) == []
    gone = Machine(newest=100 * SECOND, interval=SECOND)
    gone.states = {("0", "idle"): (SECOND, 50.0), ("0", "user"): (100 * SECOND, 5.0)}
    assert gone.busy() is None  # the idle state is long old: its lack is no load
    gone.percents = {("0", "idle"): (100 * SECOND, 30.0)}
    assert gone.busy() == pytest.approx(0.7)


def test_ten_thousand_hosts_on_no_list_cost_no_memory():
    room = Room()
    for n in range(10_000):
        room.signals.take(
            START * SECOND,
            [wire.ValueList(f"x{n}", "cpu", "0", "cpu", "idle", START * SECOND, SECOND, ((wire.DERIVE, 1),))],
            False,
        )
    assert not room.signals.machines and room.counts["collectd_strangers"] == 10_000


def test_a_listed_host_has_a_bound_and_values_of_another_kind_than_their_type_are_left_out():
    room = Room()
    room.signals.most_series = 10
    for n in range(50):
        room.signals.take(
            START * SECOND,
            [wire.ValueList("a", "cpu", str(n), "cpu", "idle", START * SECOND, SECOND, ((wire.DERIVE, 1),))],
            False,
        )
    assert len(room.signals.machines["a"].series) == 10 and room.counts["collectd_too_many_series"] == 40
    room.signals.take(
        START * SECOND,
        [
            wire.ValueList("a", "cpu", "0", "cpu", "x", START * SECOND, SECOND, ((wire.GAUGE, 1.0),)),
            wire.ValueList("a", "cpu", "0", "none", "x", START * SECOND, SECOND, ()),
        ],
        False,
    )
    assert room.counts["collectd_not_of_type"] == 2


def test_a_packet_is_taken_once_and_one_of_long_ago_not_at_all():
    replays = Replays(most=3)
    assert [replays.again(n, 0) for n in (1, 2, 1)] == [False, False, True]
    assert not replays.again(1, 601 * SECOND)
    for n in range(100):
        replays.again(n, 601 * SECOND)
    assert len(replays.seen) <= 4
    room, host = Room(), sender.Host("a")
    assert (
        room.take(START + 7200, host.packet(START), vouched=True) == {}
        and room.counts["collectd_too_old"] == 6
    )
    assert not room.signals.machines


@pytest.mark.parametrize("seed", range(6))
def test_whatever_the_way_does_the_last_signal_is_of_the_newest_reading(seed):
    chance, room, host = random.Random(seed), Room(), sender.Host("a")
    made = []
    for n in range(60):
        host.busy = 0.1 + 0.8 * (n > 30)
        made.append((START + 10.0 * n, host.packet(START + 10.0 * n)))
    told = {}
    for at, packet in sender.Faults(0.1, 0.2, 0.2, 25.0, 0.1).play(made, chance):
        try:
            told |= room.take(at, packet)
        except RejectedPacketError:
            pass
    assert told[0][0] == pytest.approx(0.9, abs=0.02)
    assert JUMP // SECOND > 25  # what is merely late must not pass for a clock that was set


# --- the listener ---


class Ear:
    def __init__(self, **table):
        self.now, self.told, self.counters, self.wakes = START * SECOND, [], Counters(), []
        self.background = BackgroundScheduler(
            JobQueue(64, 20_000, 900_000, SECOND),
            lambda: self.now,
            self.wakes.append,
            lambda: False,
            self.counters,
        )
        signals = Signals(lambda host: (0,) if host == "h" else (), types.read(types.OWN), self.counters)
        self.listener = Listener(
            Collectd(**table),
            users.Users({"u": b"pw"}),
            signals,
            self.background,
            self.counters,
            lambda: self.now,
            self.told.append,
        )

    def hear(self, *packets, seconds=0.0):
        for packet in packets:
            self.listener.datagram_received(packet, ("127.0.0.1", 1))
        self.now += round(seconds * SECOND)
        while len(self.background.queue):
            self.now += 10_000
            self.background.run_turn()


def test_signed_packets_reach_the_decisions_and_a_replay_does_not():
    ear, host = Ear(security="sign"), sender.Host("h")
    packets = [sender.signed(host.packet(START + n), "u", "pw") for n in (0, 10, 20)]
    ear.hear(packets[0])
    ear.hear(packets[1], seconds=10)
    assert [type(event) for event in ear.told] == [HostLoadSampled]
    ear.hear(packets[1], packets[0], host.packet(START + 30), seconds=10)
    assert len(ear.told) == 1
    assert ear.counters["collectd_refused_replayed"] == 2 and ear.counters["collectd_refused_unsigned"] == 1


def test_a_flood_costs_a_bounded_queue():
    ear = Ear()
    for _ in range(5000):
        ear.listener.datagram_received(b"\0" * 100, ("127.0.0.1", 1))
    assert (
        len(ear.listener.waiting) == MOST_WAITING and ear.counters["collectd_overflow"] == 5000 - MOST_WAITING
    )
    ear.hear()
    assert ear.counters["collectd_refused_malformed"] == MOST_WAITING and not ear.listener.waiting


def test_plugins_that_are_not_wanted_are_read_past():
    ear, host = Ear(plugins=["load"]), sender.Host("h")
    for n in (0, 10):
        ear.hear(host.packet(START + n), seconds=10)
    assert not ear.told and not ear.listener.signals.machines
