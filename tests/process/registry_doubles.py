"""A registry client and health checks whose HTTP calls are recorded and answered by the test."""

import json
import random

from conftest import SETTINGS, target

from ravenshelf.net.connection_end import ConnectionEnd
from ravenshelf.net.endpoint_codec import EndpointListDecoder
from ravenshelf.policy.events import (
    EndpointsListed,
    EndpointState,
    ListedEndpoint,
    ListKind,
)
from ravenshelf.process.health_checks import HealthChecks
from ravenshelf.process.registry_client import RegistryClient
from ravenshelf.settings import decode_settings
from ravenshelf.state.counters import Counters
from ravenshelf.state.endpoint_registry import EndpointRegistry


class RecordedCall:
    """An open call, whose response the test sends."""

    def __init__(self, path, on_end, on_line, timeout_us, address=None):
        self.path, self.on_end, self.on_line, self.address = path, on_end, on_line, address
        self.end, self.status, self.body = None, 200, b""

    def send_list(self, version, *targets, is_complete=False):
        self.on_line(self, json.dumps({"rev": version, "all": is_complete, "targets": targets}).encode())

    def close(self, end):
        if self.end is None:
            self.end = end
            self.on_end(self)

    def respond(self, version, *targets, is_complete=True):
        self.body = json.dumps({"rev": version, "all": is_complete, "targets": targets}).encode()
        self.close(ConnectionEnd.ANSWERED)


class RegistryClientDriver:
    """A registry client and health checks with a manual clock, on a list with the ready endpoint s-1.

    `events` holds the published events; of an endpoint list, only its kind and the endpoints' states.
    """

    def __init__(self, is_pushed=False, reads_late_drains=False):
        self.calls, self.events, self.watch_delays_us, self.redial_delays_us = [], [], [], []
        self.now = 0
        self.registry = EndpointRegistry(lambda: self.now, lambda index: False)
        settings = decode_settings(SETTINGS)
        self.registry.update(
            ListKind.REPLACE,
            5,
            [ListedEndpoint(self.registry.index_of("s-1"), 0, 0, 0, EndpointState.READY, 4.0, 0)],
            {0: "127.0.0.1:9"},
        )

        def record_event(event):
            if isinstance(event, EndpointsListed):
                event = (event.kind, [(entry.endpoint, entry.state) for entry in event.entries])
            self.events.append(event)

        self.counters = Counters()
        self.registry_client = RegistryClient(
            self.registry,
            EndpointListDecoder(settings, self.registry.index_of, self.registry.index_by_name.get),
            self.counters,
            self,
            record_event,
            self.watch_delays_us.append,
            self.redial_delays_us.append,
            is_pushed,
            reads_late_drains,
            random.Random(5),
        )
        self.extended_calls = []
        self.health_checks = HealthChecks(
            settings,
            self.registry,
            self.counters,
            self,
            self.events.append,
            lambda: 0,
        )

    def open(self, *arguments):
        self.calls.append(RecordedCall(*arguments))
        return self.calls[-1]

    def extend(self, call, timeout_us):
        self.extended_calls.append(call)

    def open_answered_watch(self):
        """Return an open watch that has sent version 6 with the new endpoint s-2."""
        self.registry_client.watch_endpoints(True)
        self.calls[-1].send_list(6, target("s-2"))
        return self.calls[-1]
