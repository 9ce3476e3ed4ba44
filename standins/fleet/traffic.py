"""Requests: they arrive at proxies, are admitted or rejected, sent to an endpoint and retried at others."""

import random
from dataclasses import dataclass, field
from functools import partial
from math import log, sqrt
from typing import Protocol

from standins.fleet.clock import SECOND, EventQueue
from standins.fleet.endpoints import AttemptResult, Outcome, QueueingEndpoint
from standins.fleet.parameters import Parameters, RequestGroup
from standins.fleet.proxies import RequestProxy
from standins.fleet.streams import RandomStreams

MAX_RETRIES = (0, 1, 1, 2)  # the greatest number of retries of a request, indexed by retry mode
RETRY_MODE_IF_NOT_BEGUN = 1
RETRY_MODE_AFTER_ANY_FAILURE = 2


@dataclass
class Request:
    """A request in progress.

    Attributes:
        proxy: The proxy that it arrived at.
        group: The index of its traffic group.
        work: The work of an attempt, in seconds on one core.
        deadline_at: The time of its deadline in microseconds.
        earlier_repeats: The number of times that its client has repeated it before.
        attempted_endpoints: The endpoints that it was sent to.
    """

    proxy: RequestProxy
    group: int
    work: float
    deadline_at: int
    earlier_repeats: int
    attempted_endpoints: set[str] = field(default_factory=set)


class Observer(Protocol):
    """An object that is notified of every attempt and of the end of every request."""

    def attempt_sent(self, request: Request, endpoint: QueueingEndpoint, is_retry: bool) -> None:
        """Handle the sending of an attempt."""

    def attempt_ended(
        self, request: Request, endpoint: QueueingEndpoint, has_failed: bool, latency: int
    ) -> None:
        """Handle the end of an attempt as its proxy sees it; the latency is in microseconds."""

    def request_ended(self, request: Request, is_admitted: bool, is_served: bool) -> None:
        """Handle the end of a request."""


def lognormal(random_source: random.Random, mean: float, variation: float) -> float:
    """Draw from a lognormal distribution with this mean and coefficient of variation."""
    sigma = sqrt(log(1 + variation**2))
    return random_source.lognormvariate(log(mean) - sigma**2 / 2, sigma)


class Traffic:
    """Draws the requests at all proxies and follows each of them to its end.

    Attributes:
        rate_factor: The factor by which all request rates are multiplied.
        stopped_proxies: The numbers of the proxies whose process is not running.
    """

    def __init__(
        self,
        events: EventQueue,
        parameters: Parameters,
        endpoints: dict[str, QueueingEndpoint],
        streams: RandomStreams,
        observer: Observer,
    ):
        self.events = events
        self.parameters = parameters
        self.endpoints = endpoints
        self.observer = observer
        self.arrivals = streams["arrivals"]
        self.work = streams["work"]
        self.picks = streams["picks"]
        self.clients = streams["clients"]
        self.admission = streams["admission"]
        self.errors = streams["errors"]
        self.rate_factor = 1.0
        self.stopped_proxies: set[int] = set()

    def start(self, proxies: list[RequestProxy], rates: list[float]) -> None:
        """Schedule the first request of each proxy; the rates are requests a second by proxy."""
        for proxy, rate in zip(proxies, rates, strict=True):
            self._schedule_next(proxy, rate)

    def _schedule_next(self, proxy: RequestProxy, rate: float) -> None:
        interval = self.arrivals.expovariate(rate * self.rate_factor)
        self.events.call_later(round(interval * SECOND), lambda: self._request_arrived(proxy, rate))

    def _request_arrived(self, proxy: RequestProxy, rate: float) -> None:
        self._schedule_next(proxy, rate)
        shares = [group.share for group in self.parameters.traffic_groups]
        group = self.work.choices(range(len(shares)), shares)[0]
        self._submit(proxy, group, 0)

    def _submit(self, proxy: RequestProxy, group: int, earlier_repeats: int) -> None:
        if proxy.number in self.stopped_proxies:
            return
        traffic_group = self.parameters.traffic_groups[group]
        request = Request(
            proxy,
            group,
            lognormal(self.work, traffic_group.mean_work_s, traffic_group.work_cv),
            self.events.now + traffic_group.deadline,
            earlier_repeats,
        )
        if proxy.admits(traffic_group.name, self.events.now, self.admission):
            self._send(request)
        else:
            self._end(request, is_admitted=False, is_served=False)

    def _send(self, request: Request) -> None:
        now = self.events.now
        proxy = request.proxy
        name = proxy.pick(now, self.picks, request.attempted_endpoints)
        if name is None or now >= request.deadline_at:
            self._end(request, is_admitted=True, is_served=False)
            return
        endpoint = self.endpoints[name]
        is_retry = bool(request.attempted_endpoints)
        request.attempted_endpoints.add(name)
        self.observer.attempt_sent(request, endpoint, is_retry)
        queued_before = endpoint.queued_attempts
        result = endpoint.submit(now, request.work, self.errors.random() < endpoint.failure_share)
        if endpoint.queued_attempts > queued_before:
            self.events.call_later(result.delay, partial(endpoint.release, endpoint.incarnation))
        result = self._apply_timeout(request, result)
        self.events.call_later(result.delay, lambda: self._attempt_ended(request, endpoint, result))

    def _apply_timeout(self, request: Request, result: AttemptResult) -> AttemptResult:
        """Return the result as the proxy sees it.

        The proxy waits until the deadline, or less if it may retry the request.
        """
        timeout = request.deadline_at - self.events.now
        group_retry_mode = request.proxy.retry_mode(self._group_of(request).name)
        if (
            group_retry_mode >= RETRY_MODE_AFTER_ANY_FAILURE
            and len(request.attempted_endpoints) <= MAX_RETRIES[group_retry_mode]
        ):
            timeout = min(
                timeout, round(self.parameters.retryable_timeout * self._group_of(request).latency_objective)
            )
        return result if result.delay <= timeout else AttemptResult(Outcome.TIMED_OUT, timeout)

    def _attempt_ended(self, request: Request, endpoint: QueueingEndpoint, result: AttemptResult) -> None:
        has_failed = result.outcome is not Outcome.SERVED
        request.proxy.record_outcome(endpoint.name, has_failed, self.events.now, self.picks)
        self.observer.attempt_ended(request, endpoint, has_failed, result.delay)
        if not has_failed:
            self._end(request, is_admitted=True, is_served=True)
        elif self._may_retry(request, result.outcome):
            self._send(request)
        else:
            self._end(request, is_admitted=True, is_served=False)

    def _may_retry(self, request: Request, outcome: Outcome) -> bool:
        group_retry_mode = request.proxy.retry_mode(self._group_of(request).name)
        if len(request.attempted_endpoints) > MAX_RETRIES[group_retry_mode]:
            return False
        return group_retry_mode >= RETRY_MODE_AFTER_ANY_FAILURE or outcome is Outcome.REFUSED

    def _end(self, request: Request, is_admitted: bool, is_served: bool) -> None:
        self.observer.request_ended(request, is_admitted, is_served)
        may_repeat = not is_served and request.earlier_repeats < self.parameters.client_repeats
        if may_repeat and self.clients.random() < self.parameters.client_repeat_probability:
            backoff = self.clients.randint(*self.parameters.client_backoff)
            self.events.call_later(
                backoff, lambda: self._submit(request.proxy, request.group, request.earlier_repeats + 1)
            )

    def _group_of(self, request: Request) -> RequestGroup:
        return self.parameters.traffic_groups[request.group]
