"""Listener for collectd: conversion of packets to events, replays, and the bound of its queue."""

from ravenshelf.background.decisions import JobQueue
from ravenshelf.background.scheduler import BackgroundScheduler
from ravenshelf.collectd import types, users
from ravenshelf.collectd.decisions.host_loads import HostLoads
from ravenshelf.collectd.listener import MAX_QUEUED_PACKETS, CollectdListener
from ravenshelf.operator_config.tables import Collectd
from ravenshelf.policy.events import HostLoadSampled
from ravenshelf.state.counters import Counters
from standins import collectd as sender

SECOND = 1_000_000
START = 1_700_000_000


class ListenerHarness:
    """Listener whose clock the test controls; the only host with a listed endpoint is "h"."""

    def __init__(self, **table):
        self.now, self.events, self.counters = START * SECOND, [], Counters()
        self.background = BackgroundScheduler(
            JobQueue(64, 20_000, 900_000, SECOND),
            lambda: self.now,
            lambda time: None,
            lambda: False,
            self.counters,
        )
        host_loads = HostLoads(
            lambda host: (0,) if host == "h" else (), types.parse(types.BUILT_IN_TYPES), self.counters
        )
        self.listener = CollectdListener(
            Collectd(**table),
            users.Users({"u": b"pw"}),
            host_loads,
            self.background,
            self.counters,
            lambda: self.now,
            self.events.append,
        )

    def receive(self, *packets, seconds=0.0):
        for packet in packets:
            self.listener.datagram_received(packet, ("127.0.0.1", 1))
        self.now += round(seconds * SECOND)
        while len(self.background.queue):
            self.now += 10_000
            self.background.run_turn()


def test_signed_packets_become_events_and_replayed_ones_are_rejected():
    harness, host = ListenerHarness(security="sign"), sender.SimulatedHost("h")
    packets = [sender.sign(host.packet(START + second), "u", "pw") for second in (0, 10, 20)]
    harness.receive(packets[0])
    harness.receive(packets[1], seconds=10)
    assert [type(event) for event in harness.events] == [HostLoadSampled]
    harness.receive(packets[1], packets[0], host.packet(START + 30), seconds=10)
    assert len(harness.events) == 1
    assert (
        harness.counters["collectd_rejected_replayed"] == 2
        and harness.counters["collectd_rejected_unsigned"] == 1
    )


def test_packets_beyond_the_limit_of_the_queue_are_dropped_and_counted():
    harness = ListenerHarness()
    for _ in range(5000):
        harness.listener.datagram_received(b"\0" * 100, ("127.0.0.1", 1))
    assert (
        len(harness.listener.queued_packets) == MAX_QUEUED_PACKETS
        and harness.counters["collectd_overflow"] == 5000 - MAX_QUEUED_PACKETS
    )
    harness.receive()
    assert (
        harness.counters["collectd_rejected_malformed"] == MAX_QUEUED_PACKETS
        and not harness.listener.queued_packets
    )


def test_values_of_plugins_that_are_not_configured_are_skipped():
    harness, host = ListenerHarness(plugins=["load"]), sender.SimulatedHost("h")
    for second in (0, 10):
        harness.receive(host.packet(START + second), seconds=10)
    assert not harness.events and not harness.listener.host_loads.hosts
