"""Health checks of endpoints: a request for /_load if endpoints report their load, otherwise for /ping."""

from collections.abc import Callable

from ravenshelf.net.connection_end import HEALTH_CHECK, ConnectionEnd, end_event_type
from ravenshelf.net.http import HttpCall
from ravenshelf.net.stream_codec import decode_load_columns, parse_named_values
from ravenshelf.policy.events import Event, HealthCheckCompleted
from ravenshelf.process.registry_client import CallOpener
from ravenshelf.settings import Settings
from ravenshelf.state.counters import Counters
from ravenshelf.state.endpoint_registry import EndpointRegistry

DEFAULT_DIAL_TIMEOUT_US = 250_000
RESPONSE_TIMEOUT_US = 1_000_000  # Time for the response, in microseconds, which is added to the dial timeout.


class HealthChecks:
    """Runner of health checks that publishes one HealthCheckCompleted for each.

    Args:
        settings: Settings of the deployment: whether health checks are allowed, timeouts, load columns.
        registry: The server's endpoint list, which has the endpoints' addresses.
        counters: Counters of health checks.
        calls: Opener of the HTTP calls.
        publish: Function that is called with each result.
        clock: Function that returns the time in microseconds.
    """

    def __init__(
        self,
        settings: Settings,
        registry: EndpointRegistry,
        counters: Counters,
        calls: CallOpener,
        publish: Callable[[Event], None],
        clock: Callable[[], int],
    ):
        self.is_allowed = settings.limits.health_checks_allowed
        self.timeout_us = (settings.limits.dial_timeout_us or DEFAULT_DIAL_TIMEOUT_US) + RESPONSE_TIMEOUT_US
        self.has_load = settings.telemetry.source != "none"
        self.columns = settings.telemetry.columns
        self.registry = registry
        self.counters = counters
        self.calls = calls
        self.publish = publish
        self.clock = clock

    def begin(self, endpoint: int) -> None:
        """Start a health check of an endpoint.

        If the endpoint has no address, the check fails at once. If the settings allow no health checks,
        nothing is sent or published.
        """
        address = self.registry.addresses.get(endpoint)
        if not self.is_allowed or address is None:
            self.counters["health_checks_not_sent"] += 1
            if self.is_allowed:
                self.publish(HealthCheckCompleted(endpoint, False, 0, ()))
            return
        self.counters["health_checks_sent"] += 1
        started_at = self.clock()
        path = "/_load" if self.has_load else "/ping"
        self.calls.open(
            path,
            lambda call: self._publish_result(call, endpoint, started_at),
            None,
            self.timeout_us,
            address,
        )

    def _publish_result(self, call: HttpCall, endpoint: int, started_at: int) -> None:
        assert call.end is not None
        if end_event_type(HEALTH_CHECK, call.end) is None:
            return
        has_succeeded = call.end is ConnectionEnd.ANSWERED
        text = call.body.decode("utf-8", "replace").strip() if has_succeeded and self.has_load else ""
        load = decode_load_columns(parse_named_values(text, "="), self.columns)
        self.publish(HealthCheckCompleted(endpoint, has_succeeded, self.clock() - started_at, load))
