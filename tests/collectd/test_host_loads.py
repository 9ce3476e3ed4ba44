"""Host loads from late, duplicate and out-of-order packets and from hosts whose clock has an offset."""

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


class HostLoadsHarness:
    """Decoder and host loads for three hosts with listed endpoints; the test sets the arrival times."""

    def __init__(self):
        endpoints = {"a": (0,), "b": (1,), "c": (2, 3)}
        self.counters = Counter()
        self.host_loads = HostLoads(
            lambda host: endpoints.get(host, ()), types.parse(types.BUILT_IN_TYPES), self.counters
        )

    def add(self, arrival_s, packet, is_authenticated=False):
        """Add a packet; return (busy share, age in seconds) of the new loads by endpoint."""
        now = round(arrival_s * SECOND)
        self.host_loads.add(now, protocol.decode_value_lists(packet), is_authenticated)
        loads = self.host_loads.pop_loads(now)
        return {load.endpoint: (round(load.busy_share, 2), load.age / SECOND) for load in loads}


@pytest.fixture
def harness():
    return HostLoadsHarness()


def test_a_host_load_is_reported_for_each_endpoint_with_its_age(harness):
    host = sender.SimulatedHost("c", busy_share=0.2)
    assert harness.add(START, host.packet(START)) == {}  # A rate needs two readings.
    host.busy_share = 0.9
    assert harness.add(START + 10.5, host.packet(START + 10)) == {
        2: (0.9, pytest.approx(5.5)),
        3: (0.9, pytest.approx(5.5)),
    }


@pytest.mark.parametrize("offset_s", [-7200, -31, 45, 86400])
def test_the_age_of_values_is_corrected_for_the_offset_of_the_host_clock(harness, offset_s):
    host = sender.SimulatedHost("a", clock_offset_s=offset_s)
    harness.add(START, host.packet(START))
    assert harness.add(START + 10, host.packet(START + 10)) == {0: (0.2, pytest.approx(5))}
    # This packet has a transmission delay of 4 s.
    assert harness.add(START + 24, host.packet(START + 20)) == {0: (0.2, pytest.approx(9))}


@pytest.mark.parametrize("jump", [-3600, 3600])
def test_host_loads_resume_after_some_readings_when_the_host_clock_is_set(harness, jump):
    host = sender.SimulatedHost("a")
    for reading in range(5):
        harness.add(START + 10 * reading, host.packet(START + 10 * reading))
    host.clock_offset_s = jump
    loads = [harness.add(START + 10 * reading, host.packet(START + 10 * reading)) for reading in range(5, 12)]
    assert loads[-1] == {0: (0.2, pytest.approx(5, abs=0.5))} and loads[-2]
    assert [
        (name, round(seconds_ahead)) for name, seconds_ahead in harness.host_loads.pop_skewed_clocks()
    ] == [("a", jump)]


def test_late_duplicate_and_out_of_order_packets_are_ignored(harness):
    host = sender.SimulatedHost("a")
    packets = [host.packet(START + 10 * reading) for reading in range(4)]
    harness.add(START, packets[0])
    first_loads = harness.add(START + 30, packets[3])
    assert first_loads == {0: (0.2, pytest.approx(5))}
    for late_packet in (packets[1], packets[3], packets[0], packets[2]):
        assert harness.add(START + 31, late_packet) == {}
    assert harness.counters["collectd_old"] and harness.counters["collectd_duplicates"]


def test_a_stopped_host_has_no_load_and_an_outdated_state_is_not_used(harness):
    host = sender.SimulatedHost("a")
    for reading in range(3):
        harness.add(START + 10 * reading, host.packet(START + 10 * reading))
    assert harness.host_loads.pop_loads((START + 500) * SECOND) == []
    host = Host(newest_time=100 * SECOND, interval=SECOND)
    host.state_rates = {("0", "idle"): Reading(SECOND, 50.0), ("0", "user"): Reading(100 * SECOND, 5.0)}
    # The reading of the idle state is outdated, so the busy share is unknown rather than 1.
    assert host.estimate_busy_share() is None
    host.state_percents = {("0", "idle"): Reading(100 * SECOND, 30.0)}
    assert host.estimate_busy_share() == pytest.approx(0.7)


def test_nothing_is_stored_for_ten_thousand_unlisted_hosts(harness):
    for number in range(10_000):
        harness.host_loads.add(
            START * SECOND,
            [
                protocol.ValueList(
                    f"x{number}", "cpu", "0", "cpu", "idle", START * SECOND, SECOND, ((protocol.DERIVE, 1),)
                )
            ],
            False,
        )
    assert not harness.host_loads.hosts and harness.counters["collectd_unknown_hosts"] == 10_000


def test_series_of_a_host_are_limited_and_values_of_another_kind_than_their_type_are_ignored(harness):
    harness.host_loads.max_series = 10
    for number in range(50):
        harness.host_loads.add(
            START * SECOND,
            [
                protocol.ValueList(
                    "a", "cpu", str(number), "cpu", "idle", START * SECOND, SECOND, ((protocol.DERIVE, 1),)
                )
            ],
            False,
        )
    assert (
        len(harness.host_loads.hosts["a"].series) == 10 and harness.counters["collectd_too_many_series"] == 40
    )
    harness.host_loads.add(
        START * SECOND,
        [
            protocol.ValueList("a", "cpu", "0", "cpu", "x", START * SECOND, SECOND, ((protocol.GAUGE, 1.0),)),
            protocol.ValueList("a", "cpu", "0", "none", "x", START * SECOND, SECOND, ()),
        ],
        False,
    )
    assert harness.counters["collectd_type_mismatches"] == 2


def test_an_authenticated_packet_is_accepted_once_and_an_old_one_never(harness):
    replay_filter = ReplayFilter(max_digests=3)
    assert [replay_filter.is_replay(digest, 0) for digest in (1, 2, 1)] == [False, False, True]
    assert not replay_filter.is_replay(1, 601 * SECOND)
    for digest in range(100):
        replay_filter.is_replay(digest, 601 * SECOND)
    assert len(replay_filter.arrival_times) <= 4
    host = sender.SimulatedHost("a")
    assert (
        harness.add(START + 7200, host.packet(START), is_authenticated=True) == {}
        and harness.counters["collectd_too_old"] == 6
    )
    assert not harness.host_loads.hosts


@pytest.mark.parametrize("seed", range(6))
def test_the_last_load_is_of_the_newest_reading_despite_network_faults(harness, seed):
    random_source, host = random.Random(seed), sender.SimulatedHost("a")
    sent_packets = []
    for reading in range(60):
        host.busy_share = 0.1 + 0.8 * (reading > 30)
        sent_packets.append((START + 10.0 * reading, host.packet(START + 10.0 * reading)))
    loads = {}
    for arrival_s, packet in sender.NetworkFaults(0.1, 0.2, 0.2, 25.0, 0.1).apply(
        sent_packets, random_source
    ):
        with contextlib.suppress(RejectedPacketError):
            loads |= harness.add(arrival_s, packet)
    assert loads[0][0] == pytest.approx(0.9, abs=0.02)
    # The delays of NetworkFaults (25 s) must not count as a jump of the host's clock.
    assert JUMP_THRESHOLD // SECOND > 25
