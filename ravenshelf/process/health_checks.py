"""Probes: one answer for each, from /_load where the deployment has reports, else from /ping."""

from collections.abc import Callable

from ravenshelf.net.connection_end import PROBE, ConnectionEnd, outcome
from ravenshelf.net.http import HttpCall
from ravenshelf.net.stream_codec import load_report, pairs
from ravenshelf.policy.events import HealthCheckCompleted
from ravenshelf.settings import Settings
from ravenshelf.state.counters import Counters
from ravenshelf.state.endpoint_registry import EndpointRegistry

ANSWER_MORE = 1_000_000  # an answer may take so much longer than the dial


class HealthChecks:
    def __init__(
        self,
        settings: Settings,
        listing: EndpointRegistry,
        counters: Counters,
        open_call: Callable,
        news: Callable,
        clock: Callable[[], int],
    ):
        self.allowed = settings.limits.health_checks_allowed
        self.by = (settings.limits.dial_timeout_us or 250_000) + ANSWER_MORE
        self.reports = settings.telemetry.source != "none"
        self.columns = settings.telemetry.columns
        self.listing, self.counters, self.open_call = listing, counters, open_call
        self.news, self.clock = news, clock

    def begin(self, endpoint: int) -> None:
        address = self.listing.addresses.get(endpoint)
        if not self.allowed or address is None:
            self.counters["probes_not_sent"] += 1
            if self.allowed:
                self.news(HealthCheckCompleted(endpoint, False, 0, ()))
            return
        self.counters["probes_sent"] += 1
        began, path = self.clock(), "/_load" if self.reports else "/ping"
        self.open_call(PROBE, path, lambda call: self._ended(call, endpoint, began), None, self.by, address)

    def _ended(self, call: HttpCall, endpoint: int, began: int) -> None:
        if outcome(PROBE, call.end) is None:
            return
        good = call.end is ConnectionEnd.ANSWERED
        text = call.body.decode("utf-8", "replace").strip() if good and self.reports else ""
        report = load_report(pairs(text, "="), self.columns)
        self.news(HealthCheckCompleted(endpoint, good, self.clock() - began, report))
