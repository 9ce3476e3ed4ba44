"""Host loads of packets that come late, twice, out of order or from hosts whose clock is off."""

import contextlib
import random
from collections import Counter

import pytest

from ravenshelf.collectd import protocol, types
from ravenshelf.collectd.decisions.host_clock import JUMP_THRESHOLD
from ravenshelf.collectd.decisions.host_loads import Host, HostLoads, Reading
from ravenshelf.collectd.decisions.replays import ReplayFilter
from ravenshelf.collectd.protocol import RejectedPacketError
from standins import collectd as sender

SECOND = 1_000_000
START = 1_700_000_000


class Decoder:
    """A decoder with three listed hosts, fed at times that the test says."""

    def __init__(self):
        endpoints = {"a": (0,), "b": (1,), "c": (2, 3)}
        self.counters = Counter()
        self.host_loads = HostLoads(
            lambda host: endpoints.get(host, ()), types.parse(types.BUILT_IN_TYPES), self.counters
        )

    def add(self, at, packet, is_authenticated=False):
        """Return busy share and age in seconds of the loads that follow, by endpoint."""
        now = round(at * SECOND)
        self.host_loads.add(now, protocol.decode_value_lists(packet), is_authenticated)
        loads = self.host_loads.pop_loads(now)
        return {load.endpoint: (round(load.busy_share, 2), load.age / SECOND) for load in loads}


@pytest.fixture
def decoder():
    return Decoder()


def test_a_host_load_is_given_for_each_endpoint_with_its_age(decoder):
    host = sender.SimulatedHost("c", busy=0.2)
    assert decoder.add(START, host.packet(START)) == {}  # one reading is no rate
    host.busy = 0.9
    assert decoder.add(START + 10.5, host.packet(START + 10)) == {
        2: (0.9, pytest.approx(5.5)),
        3: (0.9, pytest.approx(5.5)),
    }


@pytest.mark.parametrize("off", [-7200, -31, 45, 86400])
def test_values_of_a_host_whose_clock_is_off_have_their_true_age(decoder, off):
    host = sender.SimulatedHost("a", clock_offset_s=off)
    decoder.add(START, host.packet(START))
    assert decoder.add(START + 10, host.packet(START + 10)) == {0: (0.2, pytest.approx(5))}
    assert decoder.add(START + 24, host.packet(START + 20)) == {0: (0.2, pytest.approx(9))}  # 4 s on the way


@pytest.mark.parametrize("jump", [-3600, 3600])
def test_a_clock_that_is_set_costs_only_some_readings(decoder, jump):
    host = sender.SimulatedHost("a")
    for n in range(5):
        decoder.add(START + 10 * n, host.packet(START + 10 * n))
    host.clock_offset_s = jump
    loads = [decoder.add(START + 10 * n, host.packet(START + 10 * n)) for n in range(5, 12)]
    assert loads[-1] == {0: (0.2, pytest.approx(5, abs=0.5))} and loads[-2]
    assert [(h, round(s)) for h, s in decoder.host_loads.pop_skewed_clocks()] == [("a", jump)]


def test_late_duplicate_and_out_of_order_packets_are_ignored(decoder):
    host = sender.SimulatedHost("a")
    packets = [host.packet(START + 10 * n) for n in range(4)]
    decoder.add(START, packets[0])
    first = decoder.add(START + 30, packets[3])
    assert first == {0: (0.2, pytest.approx(5))}
    for late in (packets[1], packets[3], packets[0], packets[2]):
        assert decoder.add(START + 31, late) == {}
    assert decoder.counters["collectd_old"] and decoder.counters["collectd_duplicates"]


def test_a_host_that_stops_has_no_load_and_missing_values_are_missing(decoder):
    host = sender.SimulatedHost("a")
    for n in range(3):
        decoder.add(START + 10 * n, host.packet(START + 10 * n))
    assert decoder.host_loads.pop_loads((START + 500) * SECOND) == []
    host = Host(newest_time=100 * SECOND, interval=SECOND)
    host.state_rates = {("0", "idle"): Reading(SECOND, 50.0), ("0", "user"): Reading(100 * SECOND, 5.0)}
    assert host.busy_share() is None  # the idle state is long old: its lack is no load
    host.state_percents = {("0", "idle"): Reading(100 * SECOND, 30.0)}
    assert host.busy_share() == pytest.approx(0.7)


def test_ten_thousand_unlisted_hosts_cost_no_memory(decoder):
    for n in range(10_000):
        decoder.host_loads.add(
            START * SECOND,
            [
                protocol.ValueList(
                    f"x{n}", "cpu", "0", "cpu", "idle", START * SECOND, SECOND, ((protocol.DERIVE, 1),)
                )
            ],
            False,
        )
    assert not decoder.host_loads.hosts and decoder.counters["collectd_unknown_hosts"] == 10_000


def test_series_of_a_host_are_limited_and_values_of_another_kind_than_their_type_are_ignored(decoder):
    decoder.host_loads.max_series = 10
    for n in range(50):
        decoder.host_loads.add(
            START * SECOND,
            [
                protocol.ValueList(
                    "a", "cpu", str(n), "cpu", "idle", START * SECOND, SECOND, ((protocol.DERIVE, 1),)
                )
            ],
            False,
        )
    assert (
        len(decoder.host_loads.hosts["a"].series) == 10 and decoder.counters["collectd_too_many_series"] == 40
    )
    decoder.host_loads.add(
        START * SECOND,
        [
            protocol.ValueList("a", "cpu", "0", "cpu", "x", START * SECOND, SECOND, ((protocol.GAUGE, 1.0),)),
            protocol.ValueList("a", "cpu", "0", "none", "x", START * SECOND, SECOND, ()),
        ],
        False,
    )
    assert decoder.counters["collectd_type_mismatches"] == 2


def test_an_authenticated_packet_is_accepted_once_and_an_old_one_never(decoder):
    replays = ReplayFilter(max_digests=3)
    assert [replays.is_replay(n, 0) for n in (1, 2, 1)] == [False, False, True]
    assert not replays.is_replay(1, 601 * SECOND)
    for n in range(100):
        replays.is_replay(n, 601 * SECOND)
    assert len(replays.arrival_times) <= 4
    host = sender.SimulatedHost("a")
    assert (
        decoder.add(START + 7200, host.packet(START), is_authenticated=True) == {}
        and decoder.counters["collectd_too_old"] == 6
    )
    assert not decoder.host_loads.hosts


@pytest.mark.parametrize("seed", range(6))
def test_whatever_the_network_does_the_last_load_is_of_the_newest_reading(decoder, seed):
    random_source, host = random.Random(seed), sender.SimulatedHost("a")
    made = []
    for n in range(60):
        host.busy = 0.1 + 0.8 * (n > 30)
        made.append((START + 10.0 * n, host.packet(START + 10.0 * n)))
    loads = {}
    for at, packet in sender.NetworkFaults(0.1, 0.2, 0.2, 25.0, 0.1).apply(made, random_source):
        with contextlib.suppress(RejectedPacketError):
            loads |= decoder.add(at, packet)
    assert loads[0][0] == pytest.approx(0.9, abs=0.02)
    assert JUMP_THRESHOLD // SECOND > 25  # what is merely late must not pass for a clock that was set
