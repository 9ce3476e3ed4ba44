"""Calls to the endpoint registry and to endpoints that a test answers by hand."""

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
    """A call that was opened; the test says what comes back."""

    def __init__(self, path, done, on_line, timeout_us, address=None):
        self.path, self.done, self.on_line, self.address = path, done, on_line, address
        self.end, self.status, self.body = None, 200, b""

    def says(self, rev, *targets, all=False):
        self.on_line(self, json.dumps({"rev": rev, "all": all, "targets": targets}).encode())

    def close(self, end):
        if self.end is None:
            self.end = end
            self.done(self)

    def answers(self, rev, *targets, all=True):
        self.body = json.dumps({"rev": rev, "all": all, "targets": targets}).encode()
        self.close(ConnectionEnd.ANSWERED)


class Service:
    def __init__(self, pushed=False):
        self.calls, self.told, self.again = [], [], []
        self.now = 0
        self.registry = EndpointRegistry(lambda: self.now, lambda index: False)
        settings = decode_settings(SETTINGS)
        self.registry.update(
            ListKind.REPLACE,
            5,
            [ListedEndpoint(self.registry.index_of("s-1"), 0, 0, 0, EndpointState.READY, 4.0, 0)],
            {0: "127.0.0.1:9"},
        )

        def news(event):
            if isinstance(event, EndpointsListed):  # of an entry only what tells the cases apart
                event = (event.kind, [(entry.endpoint, entry.state) for entry in event.entries])
            self.told.append(event)

        self.counters = Counters()
        self.discovery = RegistryClient(
            self.registry,
            EndpointListDecoder(settings, self.registry.index_of, self.registry.index_by_name.get),
            self.counters,
            self,
            news,
            self.again.append,
            pushed,
            random.Random(5),
        )
        self.extended = []
        self.probes = HealthChecks(
            settings,
            self.registry,
            self.counters,
            self,
            self.told.append,
            lambda: 0,
        )

    def open(self, *said):
        self.calls.append(RecordedCall(*said))
        return self.calls[-1]

    def extend(self, call, timeout_us):
        self.extended.append(call)

    def watched(self):
        """A watch that has spoken: of s-2, in version 6."""
        self.discovery.watch_endpoints(True)
        self.calls[-1].says(6, target("s-2"))
        return self.calls[-1]
