"""The listener: packets become events, a flood costs a bounded queue."""

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


class ListenerRig:
    """A listener with the clock of the test, whose only listed host is h."""

    def __init__(self, **table):
        self.now, self.events, self.counters = START * SECOND, [], Counters()
        self.background = BackgroundScheduler(
            JobQueue(64, 20_000, 900_000, SECOND),
            lambda: self.now,
            lambda at: None,
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


def test_signed_packets_become_events_and_a_replay_does_not():
    rig, host = ListenerRig(security="sign"), sender.SimulatedHost("h")
    packets = [sender.sign(host.packet(START + n), "u", "pw") for n in (0, 10, 20)]
    rig.receive(packets[0])
    rig.receive(packets[1], seconds=10)
    assert [type(event) for event in rig.events] == [HostLoadSampled]
    rig.receive(packets[1], packets[0], host.packet(START + 30), seconds=10)
    assert len(rig.events) == 1
    assert rig.counters["collectd_rejected_replayed"] == 2 and rig.counters["collectd_rejected_unsigned"] == 1


def test_a_flood_costs_a_bounded_queue():
    rig = ListenerRig()
    for _ in range(5000):
        rig.listener.datagram_received(b"\0" * 100, ("127.0.0.1", 1))
    assert (
        len(rig.listener.queued_packets) == MAX_QUEUED_PACKETS
        and rig.counters["collectd_overflow"] == 5000 - MAX_QUEUED_PACKETS
    )
    rig.receive()
    assert (
        rig.counters["collectd_rejected_malformed"] == MAX_QUEUED_PACKETS and not rig.listener.queued_packets
    )


def test_plugins_that_are_not_configured_are_skipped():
    rig, host = ListenerRig(plugins=["load"]), sender.SimulatedHost("h")
    for n in (0, 10):
        rig.receive(host.packet(START + n), seconds=10)
    assert not rig.events and not rig.listener.host_loads.hosts
