"""Random schedules of joins, lost connections, list changes, changes of address, reloads and a stop.

Each runs a complete server on a manual clock, with sockets in memory. At each address a registry double
answers its calls, with its own version numbers. Invariants are checked after every step and at the end. The
last test puts former faults back and checks that the schedules find them.
"""

import json
import random
import re
from functools import partial
from types import SimpleNamespace

import pytest
from conftest import RecordingTransport, feed, target
from hypothesis import given, settings, strategies
from server_doubles import CONFIGURATION, ManualLoopWithFuture

from ravenshelf.net.accepted import AcceptedConnection
from ravenshelf.net.connection_end import ConnectionEnd
from ravenshelf.policy.events import WatchFailed
from ravenshelf.process.control_plane import ControlPlaneServer
from ravenshelf.process.cycle_scheduling import CycleScheduler
from ravenshelf.process.deadline_keys import CallTimeout, ConnectionTimeout, ServerDeadline
from ravenshelf.process.registry_client import IDLE_TIMEOUT_US, RegistryClient
from ravenshelf.time_units import SECOND
from standins.loopback import update_table

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class Registry:
    """The endpoint list at one address, with its own versions; a watch gets the changes after its version."""

    def __init__(self, states, version):
        self.version, self.states, self.changes, self.is_up = version, dict(states), {}, True

    def change(self, uid, state):
        self.version += 1
        self.states[uid], self.changes[uid] = state, self.version
        if state == "DELETED":
            del self.states[uid]
        return self.line([uid], state)

    def line(self, uids, state=None, is_complete=False):
        entries = [
            target(uid, "ab"[int(uid[2:]) % 2], state or self.states.get(uid, "DELETED")) for uid in uids
        ]
        text = json.dumps({"rev": self.version, "all": is_complete, "targets": entries}).encode() + b"\n"
        return b"%x\r\n%s\r\n" % (len(text), text)

    def answer(self, after):
        if after == 0 or after > self.version:
            return HEAD + self.line(self.states, is_complete=True)
        changed_uids = [uid for uid, version in self.changes.items() if version > after]
        return HEAD + (self.line(changed_uids) if changed_uids else b"1\r\n\n\r\n")


class Schedule:
    """A server, its registries and proxies, and one random schedule; `violations` lists broken invariants."""

    def __init__(self, seed):
        self.random_source, self.violations, self.last_endpoint = random.Random(seed), [], 2
        self.loop = ManualLoopWithFuture()
        self.registry = Registry({"s-1": "SERVING", "s-2": "SERVING"}, 4)
        self.registries = {CONFIGURATION["discovery"]: self.registry}
        self.server = ControlPlaneServer(CONFIGURATION, self.loop, lambda: self.loop.now)
        self.opened_at, calls = {}, self.server.outgoing_calls
        self.server.registry_client.calls = SimpleNamespace(
            open=lambda *arguments: self.record_call(calls.open(*arguments)), extend=calls.extend
        )
        # The transports of watches and the times of the last data, both by call, and the calls that get no
        # more data.
        self.transports, self.last_data_at, self.silent_calls = {}, {}, set()
        self.proxies, self.tables = {}, {}
        self.server.reloader.read_configuration = lambda: self.server.configuration
        run_cycle = self.server.control_cycle.run
        self.server.control_cycle.run = lambda now, write: (run_cycle(now, write), self.advance_clock())[0]
        self.server.cycle_scheduler.start()
        self.server.timers.arm()

    def record_call(self, call):
        self.opened_at[call] = self.last_data_at[call] = self.loop.now
        on_end = call.on_end

        def ended(call):
            if (
                call.end is ConnectionEnd.SILENT
                and self.loop.now - self.last_data_at[call] < IDLE_TIMEOUT_US - 1000
            ):
                self.violations.append(
                    "a call that had just been opened or received data was ended as silent"
                )
            on_end(call)

        call.on_end = ended
        return call

    # Events

    def advance_clock(self):
        """Advance the clock as if a control cycle took time.

        The server's clock is then ahead of the time that the controller was given for the cycle.
        """
        self.loop.now += self.random_source.randrange(8000)

    def open_watches(self):
        return [
            call
            for call, transport in self.transports.items()
            if call.end is None and call not in self.silent_calls
        ]

    def send_data(self, call, data):
        if call.end is None and call not in self.silent_calls:
            self.last_data_at[call] = self.loop.now
            feed(call, data)

    def answer_calls(self):
        """Answer new calls to registries that are up, and refuse the others."""
        for call in [
            new_call
            for new_call in self.opened_at
            if new_call.end is None and new_call not in self.transports
        ]:
            registry = self.registries[call.address]
            if registry.is_up:
                self.transports[call] = RecordingTransport()
                call.connection_made(self.transports[call])
                self.send_data(call, registry.answer(int(re.search(r"after=(\d+)", call.path)[1])))
            else:
                call.close(ConnectionEnd.REFUSED)

    def join(self):
        number = self.random_source.randrange(4)
        if number in self.proxies and self.random_source.random() < 0.5:
            # Without this call, the new stream joins before the end of the old one is noticed.
            self.leave(number)
        stream = AcceptedConnection(self.server.buffers, self.server.acceptor)
        stream.connection_made(RecordingTransport())
        table, ejected = self.tables.get(number, ({}, set()))
        self.proxies[number], self.tables[number] = (stream, 0), (table, ejected)
        feed(
            stream,
            f"SUBSCRIBE proxy={number} zone={'ab'[number % 2]} weight=5 fresh={int(not table)}\r\n".encode(),
        )

    def leave(self, number=None):
        number = number if number is not None else self.random_source.choice([*self.proxies, 0])
        if number in self.proxies:
            self.proxies.pop(number)[0].connection_lost(
                self.random_source.choice([None, ConnectionResetError()])
            )

    def change_endpoint(self):
        """Change, remove or add one endpoint in every registry, each under its own next version."""
        uid = self.random_source.choice(list(self.registry.states))
        state = self.random_source.choice(["DRAINING", "DELETED", "SERVING", "SERVING"])
        serving_uids = [
            serving_uid
            for serving_uid, endpoint_state in self.registry.states.items()
            if endpoint_state == "SERVING"
        ]
        if (
            state != "SERVING"
            and len([serving_uid for serving_uid in serving_uids if serving_uid != uid]) < 2
        ):
            self.last_endpoint += 1
            uid, state = f"s-{self.last_endpoint}", "SERVING"
        for host, registry in self.registries.items():
            line = registry.change(uid, state)
            for call in self.open_watches():
                if call.address == host:
                    self.send_data(call, line)

    def end_watch(self):
        for call in self.random_source.sample(self.open_watches(), min(1, len(self.open_watches()))):
            self.random_source.choice(
                [
                    partial(call.connection_lost, None),
                    partial(call.connection_lost, ConnectionResetError()),
                    partial(self.silent_calls.add, call),
                    partial(self.send_data, call, b"5\r\n<html\r\n1\r\n\n\r\n"),
                    partial(self.send_data, call, b"0\r\n\r\n"),
                ]
            )()

    def change_address(self):
        """Move to an address with the same list under a lower, equal or higher version.

        The registry at the old address stays up.
        """
        address = f"127.0.0.1:{len(self.registries) + 1}"
        version = max(1, self.registry.version + self.random_source.choice([-3, 0, 7]))
        self.registry = self.registries[address] = Registry(self.registry.states, version)
        self.registry.changes = dict.fromkeys(self.registry.states, 1)
        self.registry.is_up = self.random_source.random() < 0.7
        self.server.reloader.read_configuration = lambda: CONFIGURATION | {"discovery": address}
        self.server.reload()

    def toggle_registry(self):
        self.registry.is_up = not self.registry.is_up
        if not self.registry.is_up:
            for call in [
                watch for watch in self.open_watches() if self.registries[watch.address] is self.registry
            ]:
                call.connection_lost(None)

    def send_demand_reports(self):
        for number, (stream, _) in list(self.proxies.items()):
            if self.random_source.random() < 0.3:
                feed(stream, f"RATE proxy={number} class=look tries=5 failed=0 span_ms=1000\r\n".encode())

    def close_old_watches(self):
        for call in [
            watch for watch in self.open_watches() if self.registries[watch.address] is not self.registry
        ]:
            call.connection_lost(None)

    def apply_messages(self):
        for number, (stream, read_bytes) in list(self.proxies.items()):
            if stream.end is not None:
                del self.proxies[number]
                continue
            *lines, rest = stream.transport.sent_data[read_bytes:].split(b"\r\n")
            if rest:
                self.violations.append("a message ends half-way")
            self.proxies[number] = stream, len(stream.transport.sent_data)
            for line in lines:
                fields = dict(field.partition("=")[::2] for field in line.decode().split()[1:])
                table, ejected = self.tables[number]
                self.tables[number] = update_table(fields, table, ejected), ejected
                if "ticket" in fields:
                    feed(stream, f"ACK proxy={number} mark={fields['ticket']} took_ms=0\r\n".encode())

    # Invariants

    def check_ownership(self):
        server = self.server
        for key in server.timers.deadlines.deadlines:
            if isinstance(key, (CallTimeout, ConnectionTimeout)) and key[0].end is not None:
                self.violations.append(f"a deadline without an owner: {type(key).__name__}")
        if set(server.outgoing_calls.slots.items.values()) != server.registry_client.watches.calls():
            self.violations.append("a call without an owner")
        if any(connection.end is not None for connection in server.connections.items.values()):
            self.violations.append("a slot without an owner")
        is_watch_due = (
            server.control_cycle.controller.endpoint_watch.retry_at
            or ServerDeadline.WATCH in server.timers.deadlines
            or WatchFailed() in server.control_cycle.events
        )
        if server.registry_client.watches.current is None and not is_watch_due:
            self.violations.append("no watch is open and none is due")

    def step(self, action):
        answered_watches = [
            call
            for call in self.open_watches()
            if self.last_data_at[call] > self.opened_at[call]
            or call is self.server.registry_client.watches.former
        ]
        action()
        superseded_watches = [call for call in answered_watches if call.end is ConnectionEnd.SUPERSEDED]
        if superseded_watches and not self.server.registry_client.watches.has_answered:
            self.violations.append("the only watch that had answered was closed")
        self.apply_messages()
        self.check_ownership()

    def wait(self, seconds):
        for _ in range(round(seconds * 10)):
            self.step(self.send_demand_reports)
            self.step(lambda: self.loop.run_for(0.1, delay=self.random_source.choice([0.0, 0.0, 0.02, 0.3])))
            if round(self.loop.now / SECOND * 10) % 15 == 0:
                for call in self.open_watches():
                    self.step(partial(self.send_data, call, b"1\r\n\n\r\n"))

    def run(self):
        actions = [
            self.join,
            self.join,
            self.leave,
            self.change_endpoint,
            self.change_endpoint,
            self.end_watch,
            self.change_address,
            self.toggle_registry,
            self.close_old_watches,
            self.answer_calls,
            self.answer_calls,
            self.server.reload,
        ]
        for _ in range(self.random_source.randrange(5, 25)):
            self.step(self.random_source.choice(actions))
            if self.random_source.random() < 0.6:
                self.wait(self.random_source.choice([0.1, 0.5, 1.5, 5]))
        self.settle()
        self.stop()
        return self.violations

    def settle(self):
        """Run without faults until silent calls are closed and all calls answered, then check the tables."""
        self.registry.is_up = True
        self.step(self.close_old_watches)
        for _ in range(16):
            self.wait(0.5)
            self.step(self.answer_calls)
        self.wait(6)
        serving_uids = {uid for uid, state in self.registry.states.items() if state == "SERVING"}
        for number in self.proxies:
            table, ejected = self.tables[number]
            if (usable_uids := set(table) - ejected) - serving_uids:
                self.violations.append(f"proxy {number} may still pick {usable_uids - serving_uids}")
            if not usable_uids:
                self.violations.append(f"proxy {number} has nothing to pick")

    def stop(self):
        """Stop the server between a received drain and the next cycle; check that the drain is written."""
        serving_uids = [uid for uid, state in self.registry.states.items() if state == "SERVING"]
        call_count = len(self.opened_at)
        self.server.cycle_scheduler.last_cycle_at = self.loop.now + SECOND
        for call in self.open_watches():
            self.send_data(call, self.registry.change(serving_uids[0], "DRAINING"))
        is_drain_received = bool(self.open_watches())
        self.server.stop()
        for number, (stream, read_bytes) in self.proxies.items():
            text = stream.transport.sent_data[read_bytes:].decode()
            is_usable = (
                self.tables[number][0].get(serving_uids[0]) and serving_uids[0] not in self.tables[number][1]
            )
            if (
                is_drain_received
                and is_usable
                and f"{serving_uids[0]}:0" not in text
                and f"out={serving_uids[0]}" not in text
                and "whole=1" not in text
            ):
                self.violations.append(f"proxy {number} was not sent the drain that was received")
            if text and not text.endswith("\r\n"):
                self.violations.append("a message ends half-way")
        self.loop.run_for(1)
        if (
            not self.server.stopped.done()
            or len(self.opened_at) != call_count
            or self.server.outgoing_calls.slots.items
        ):
            self.violations.append("the stop did not end, or a call was opened after it")


@settings(max_examples=60, deadline=None)
@given(strategies.integers(0, 2**32))
def test_all_invariants_hold_in_a_random_schedule(seed):
    assert Schedule(seed).run() == []


def handle_deadline_by_slot(server, key, now, original_handler=ControlPlaneServer.handle_deadline):
    if isinstance(key, CallTimeout):
        call = server.outgoing_calls.slots.get(key.call.number)
        return call.close(ConnectionEnd.SILENT) if call is not None else None
    return original_handler(server, key, now)


class CallSlot:
    """The slot number of a call, which was once used as the key of its deadline instead of the call."""

    def __init__(self, call):
        self.number, self.end = call.slot, None

    def __hash__(self):
        return self.number

    def __eq__(self, other):
        return self.number == other.number


def close_former_watch_on_request(client, is_enabled, original_request=RegistryClient.watch_endpoints):
    client.watches.close_former()
    original_request(client, is_enabled)


def close_answered_watch_on_address_change(client):
    client.is_new_address, client.address_changes = True, client.address_changes + 1
    if client.watches.current is not None:
        client.watches.close_former()
        client.watches.former, client.watches.current = client.watches.current, None
    client.open_watch()


@pytest.mark.parametrize(
    "fault",
    [
        "deadlines by slot",
        "former watch closed on request",
        "answered watch closed on address change",
        "no watch scheduled",
        "no last cycle",
    ],
)
def test_former_faults_are_found(monkeypatch, fault):
    if fault == "deadlines by slot":
        from ravenshelf.state.deadlines import DeadlineQueue

        pop_expired, set_ = DeadlineQueue.pop_expired, DeadlineQueue.set
        monkeypatch.setattr(DeadlineQueue, "pop_expired", lambda self, now: list(pop_expired(self, now)))
        monkeypatch.setattr(ControlPlaneServer, "handle_deadline", handle_deadline_by_slot)
        key_by_slot = lambda key: CallTimeout(CallSlot(key.call)) if isinstance(key, CallTimeout) else key  # noqa: E731
        monkeypatch.setattr(DeadlineQueue, "set", lambda self, key, at: set_(self, key_by_slot(key), at))
        monkeypatch.setattr(
            DeadlineQueue, "cancel", lambda self, key: self.deadlines.pop(key_by_slot(key), None)
        )
    elif fault == "former watch closed on request":
        monkeypatch.setattr(RegistryClient, "watch_endpoints", close_former_watch_on_request)
    elif fault == "answered watch closed on address change":
        monkeypatch.setattr(RegistryClient, "address_changed", close_answered_watch_on_address_change)
    elif fault == "no watch scheduled":
        monkeypatch.setattr(RegistryClient, "_schedule_watch", lambda self: None)
    else:
        monkeypatch.setattr(
            CycleScheduler,
            "run_cycle",
            lambda self, original_cycle=CycleScheduler.run_cycle: (
                None if self.is_stopping else original_cycle(self)
            ),
        )
    assert any(Schedule(seed).run() for seed in range(400))
