"""Cuts of the network between the server and the endpoint registry, on a manual clock.

A connection that is open or made during a cut stays silent for good. What the registry lists then counts as
known 6 s later at the latest, so the server has to reach it again in time, however long the cut is.
"""

import json
from random import Random

import pytest
from conftest import RecordingTransport, feed, target
from server_doubles import CONFIGURATION, ManualLoopWithFuture

from ravenshelf.net.accepted import AcceptedConnection
from ravenshelf.net.connection_end import ConnectionEnd
from ravenshelf.process.configuration import MINIMUM_SOCKETS
from ravenshelf.process.control_plane import ControlPlaneServer
from ravenshelf.process.registry_client import CALL_TIMEOUT_US, REDIAL_INTERVAL_US
from ravenshelf.time_units import SECOND
from standins.loopback import update_table

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
KEEPALIVE_S = 2.0
TICK_S = 0.02
CUT_S = 6.0
KNOWN_AFTER_S = 6.0
# The shortest grace of a drain and the allowance on sockets, less the longest delivery of a message.
WITHDRAWN_WITHIN_S = KNOWN_AFTER_S + 1.5 + 0.3 - 0.6
OLD_ADDRESS_CLOSES_AFTER_S = 1.5
NEW_ADDRESS = "127.0.0.1:2"


def chunk(line):
    return b"%x\r\n%s\r\n" % (len(line), line)


class CutNetwork:
    """A server, one proxy, and a registry behind a network that is cut off once.

    Args:
        cut: The seconds at which the cut begins and ends.
        comes_up: Whether connections made during the cut come up, and are silent then.
        resets: Whether connections of the cut are reset at its end.
        answers_late: Whether the first line comes with the first keepalive if nothing has changed.
        sockets: The descriptors that the process may use, of which a sixteenth are for calls.
    """

    def __init__(self, cut, comes_up=True, resets=False, answers_late=False, sockets=1024):
        self.cut, self.comes_up, self.resets, self.answers_late = cut, comes_up, resets, answers_late
        self.loop = ManualLoopWithFuture()
        self.started_at = self.loop.now
        self.version, self.state = 4, "SERVING"
        configuration = CONFIGURATION | {"limits": {"sockets": sockets}}
        self.server = ControlPlaneServer(configuration, self.loop, lambda: self.loop.now)
        self.open_call = self.server.outgoing_calls.open
        self.server.registry_client.calls = self
        self.extend = self.server.outgoing_calls.extend
        self.dialed_at, self.last_line_at, self.dead_calls = {}, {}, set()
        self.most_calls = 0
        self.withdrawn_at = None
        self.server._restore_endpoints()
        self.server.cycle_scheduler.start()
        self.server.timers.arm()

    def open(self, *arguments):
        call = self.open_call(*arguments)
        self.dialed_at[call] = self.elapsed()
        if self.is_cut():
            self.dead_calls.add(call)
        return call

    def elapsed(self):
        return (self.loop.now - self.started_at) / SECOND

    def is_cut(self):
        return self.cut[0] <= self.elapsed() < self.cut[1]

    def open_calls(self):
        return [call for call in self.dialed_at if call.end is None]

    # The proxy

    def join(self):
        self.stream = AcceptedConnection(self.server.buffers, self.server.acceptor)
        self.stream.connection_made(RecordingTransport())
        self.read_bytes, self.table, self.ejected = 0, {}, set()
        feed(self.stream, b"SUBSCRIBE proxy=0 zone=a weight=5 fresh=1\r\n")

    def apply_messages(self):
        text = self.stream.transport.sent_data[self.read_bytes :].decode()
        self.read_bytes = len(self.stream.transport.sent_data)
        for line in text.splitlines():
            fields = dict(field.partition("=")[::2] for field in line.split()[1:])
            self.table = update_table(fields, self.table, self.ejected)
            if "ticket" in fields:
                feed(self.stream, f"ACK proxy=0 mark={fields['ticket']} took_ms=0\r\n".encode())
        if self.withdrawn_at is None and self.version > 4 and "s-1" not in set(self.table) - self.ejected:
            self.withdrawn_at = self.elapsed()

    # The registry

    def line(self, after):
        if after == 0:
            entries = [target("s-1", state=self.state), target("s-2", "b")]
            return json.dumps({"rev": self.version, "all": True, "targets": entries}).encode() + b"\n"
        if after == self.version:
            return b"\n"
        entries = [target("s-1", state=self.state)]
        return json.dumps({"rev": self.version, "all": False, "targets": entries}).encode() + b"\n"

    def drain(self):
        self.version, self.state = 5, "DRAINING"
        for call in self.last_line_at:
            if call.end is None and call not in self.dead_calls:
                self.send(call, chunk(self.line(4)))

    def move(self):
        self.server.reloader.read_configuration = lambda: CONFIGURATION | {"discovery": NEW_ADDRESS}
        self.server.reload()
        self.loop.call_later(OLD_ADDRESS_CLOSES_AFTER_S, self.close_old_address)

    def close_old_address(self):
        for call in self.open_calls():
            if call.address != NEW_ADDRESS and call not in self.dead_calls:
                call.connection_lost(None)

    def send(self, call, data):
        self.last_line_at[call] = self.elapsed()
        feed(call, data)

    def accept(self, call):
        call.connection_made(RecordingTransport())
        if call in self.dead_calls:
            return
        after = int(call.path.rpartition("after=")[2])
        is_late = self.answers_late and after == self.version
        self.send(call, HEAD + (b"" if is_late else chunk(self.line(after))))

    def pass_network_time(self):
        if self.is_cut():
            self.dead_calls.update(self.open_calls())
        for call in self.open_calls():
            is_connected = call.transport is not None
            if not is_connected and (self.comes_up or call not in self.dead_calls):
                self.accept(call)
            elif is_connected and call not in self.dead_calls:
                if self.elapsed() - self.last_line_at[call] >= KEEPALIVE_S:
                    self.send(call, chunk(b"\n"))
            elif self.resets and self.elapsed() >= self.cut[1] and is_connected:
                call.connection_lost(ConnectionResetError())
            elif self.resets and self.elapsed() >= self.cut[1]:
                call.close(ConnectionEnd.REFUSED)  # a reset that answers the dial

    def run_until(self, second):
        while self.elapsed() < second:
            self.loop.run_for(TICK_S)
            self.pass_network_time()
            self.most_calls = max(self.most_calls, len(self.open_calls()))
            if self.elapsed() > 0.5:
                self.apply_messages()


def play(network, changes_at, moves_at=None):
    """Drain an endpoint, and move the registry if `moves_at` is given; return how long the drain took."""
    network.loop.call_later(0.3, network.join)
    network.loop.call_later(changes_at, network.drain)
    if moves_at is not None:
        network.loop.call_later(moves_at, network.move)
    network.run_until(changes_at + WITHDRAWN_WITHIN_S + 1)
    assert network.withdrawn_at is not None, "the drain has not reached the proxy"
    return network.withdrawn_at - changes_at


def cut_and_change(random_source, begins_at):
    """Return a cut that begins at a time in seconds, and the time of a change in it, often at its limits."""
    length = CUT_S * random_source.choice([1.0, random_source.random()])
    return (begins_at, begins_at + length), begins_at + length * random_source.choice(
        [0, random_source.random()]
    )


def random_network(random_source, cut):
    comes_up, resets, answers_late = (random_source.random() < 0.5 for _ in range(3))
    return CutNetwork(cut, comes_up, resets, answers_late)


@pytest.mark.parametrize("seed", range(40))
def test_a_drain_is_learnt_in_time_after_a_cut_of_an_open_watch(seed):
    """Guards against a server that waits in turn for a silent watch and for a connection made in the cut."""
    random_source = Random(seed)
    cut, changes_at = cut_and_change(random_source, 6 + random_source.uniform(0, KEEPALIVE_S))
    network = random_network(random_source, cut)
    assert play(network, changes_at) <= WITHDRAWN_WITHIN_S
    assert network.most_calls <= CALL_TIMEOUT_US // REDIAL_INTERVAL_US + 4


@pytest.mark.parametrize("seed", range(40))
def test_a_drain_is_learnt_in_time_with_few_descriptors(seed):
    """Guards against silent connections of a cut that take all descriptors for calls."""
    random_source = Random(seed)
    cut, changes_at = cut_and_change(random_source, 6 + random_source.uniform(0, KEEPALIVE_S))
    assert play(CutNetwork(cut, sockets=MINIMUM_SOCKETS), changes_at) <= WITHDRAWN_WITHIN_S


@pytest.mark.parametrize("seed", range(20))
def test_a_drain_is_learnt_in_time_if_the_first_connection_never_answers(seed):
    """Guards against a server that starts during a cut and waits for its first connection."""
    random_source = Random(seed)
    cut, changes_at = cut_and_change(random_source, 0)
    # The time limits begin 1 s after the start.
    assert play(random_network(random_source, cut), max(1.0, changes_at)) <= WITHDRAWN_WITHIN_S


@pytest.mark.parametrize("seed", range(60))
def test_a_drain_is_learnt_in_time_if_the_registry_moves_around_a_cut(seed):
    """Guards against a server that waits for the new address's first connection or the old one's watch."""
    random_source = Random(seed)
    cut, changes_at = cut_and_change(random_source, 6 + random_source.uniform(0, KEEPALIVE_S))
    network = random_network(random_source, cut)
    assert play(network, changes_at, cut[0] + random_source.uniform(-1, CUT_S)) <= WITHDRAWN_WITHIN_S


@pytest.mark.parametrize("answers_late", [False, True])
def test_a_registry_that_answers_is_called_once(answers_late):
    network = CutNetwork((99, 99), answers_late=answers_late)
    network.loop.call_later(0.3, network.join)
    network.run_until(30)
    assert len(network.dialed_at) == 1


def test_a_registry_that_is_too_slow_is_not_called_without_end():
    """Guards against calls at the short interval that overload a registry which never answers in time."""
    network = CutNetwork((0, 300))
    network.loop.call_later(0.3, network.join)
    network.run_until(20)
    calls_at_first = len(network.dialed_at)
    network.run_until(120)
    assert calls_at_first <= 25 and len(network.dialed_at) - calls_at_first <= 100 / 1.5


def test_a_silent_watch_that_was_only_late_is_used_again():
    network = CutNetwork((6, 6))
    network.loop.call_later(0.3, network.join)
    network.run_until(4.5)
    watch = network.server.registry_client.watches.current
    network.dead_calls.add(watch)
    network.accept = lambda call: None
    network.run_until(11)
    assert network.server.registry_client.watches.former is watch
    attempts = [call for call in network.open_calls() if call is not watch]
    network.version, network.state = 5, "DRAINING"
    network.send(watch, chunk(network.line(4)))
    network.loop.run_for(0.1)
    network.apply_messages()
    assert network.withdrawn_at is not None and network.server.registry_client.watches.current is watch
    assert attempts and all(call.end.name == "SUPERSEDED" for call in attempts)


def test_connections_of_a_cut_close_within_their_time_limit():
    network = CutNetwork((6, 12), resets=False)
    network.loop.call_later(0.3, network.join)
    network.run_until(25)
    assert len(network.open_calls()) == 1 and network.most_calls > 3
