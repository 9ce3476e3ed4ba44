"""Requests: they arrive at proxies, are admitted or rejected, sent to an endpoint and retried elsewhere."""

import random
from dataclasses import dataclass, field
from functools import partial
from math import log, sqrt
from typing import Protocol

from standins.fleet.clock import SECOND, EventQueue
from standins.fleet.endpoints import Answer, Outcome, QueueingEndpoint
from standins.fleet.parameters import Parameters, RequestGroup
from standins.fleet.proxies import RequestProxy
from standins.fleet.streams import Streams

MAX_RETRIES = (0, 1, 1, 2)  # by retry mode
MODE_AFTER_PROOF = 1
MODE_AFTER_ANY = 2


@dataclass
class Request:
    """A request under way."""

    proxy: RequestProxy
    group: int
    work: float  # seconds on one core
    deadline_at: int
    repeats: int  # how often its client has repeated it
    attempted: set[str] = field(default_factory=set)


class Observer(Protocol):
    """Is notified of every attempt and of every request's end."""

    def sent(self, request: Request, endpoint: QueueingEndpoint, repeated: bool) -> None:
        """An attempt was sent."""

    def attempted(self, request: Request, endpoint: QueueingEndpoint, failed: bool, latency: int) -> None:
        """An attempt has ended, as its proxy sees it; `latency` in microseconds."""

    def ended(self, request: Request, admitted: bool, served: bool) -> None:
        """A request has ended."""


def lognormal(random_source: random.Random, mean: float, variation: float) -> float:
    """Draw from a lognormal distribution of this mean and coefficient of variation."""
    sigma = sqrt(log(1 + variation**2))
    return random_source.lognormvariate(log(mean) - sigma**2 / 2, sigma)


class Traffic:
    """Draws requests at every proxy and follows each of them to its end."""

    def __init__(
        self,
        events: EventQueue,
        parameters: Parameters,
        endpoints: dict[str, QueueingEndpoint],
        streams: Streams,
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
        self.factor = 1.0  # of all rates
        self.down: set[int] = set()  # numbers of proxies whose process does not run

    def begin(self, proxies: list[RequestProxy], rates: list[float]) -> None:
        """Schedule the first request of each proxy; `rates`: requests a second."""
        for proxy, rate in zip(proxies, rates, strict=True):
            self._next(proxy, rate)

    def _next(self, proxy: RequestProxy, rate: float) -> None:
        wait = self.arrivals.expovariate(rate * self.factor)
        self.events.call_later(round(wait * SECOND), lambda: self._arrived(proxy, rate))

    def _arrived(self, proxy: RequestProxy, rate: float) -> None:
        self._next(proxy, rate)
        shares = [group.share for group in self.parameters.traffic_groups]
        group = self.work.choices(range(len(shares)), shares)[0]
        self._submit(proxy, group, 0)

    def _submit(self, proxy: RequestProxy, group: int, repeats: int) -> None:
        if proxy.number in self.down:
            return
        kind = self.parameters.traffic_groups[group]
        request = Request(
            proxy,
            group,
            lognormal(self.work, kind.work_s, kind.work_cv),
            self.events.now + kind.deadline,
            repeats,
        )
        if proxy.admits(kind.name, self.events.now, self.admission):
            self._send(request)
        else:
            self._end(request, admitted=False, served=False)

    def _send(self, request: Request) -> None:
        now = self.events.now
        proxy = request.proxy
        name = proxy.pick(now, self.picks, request.attempted)
        if name is None or now >= request.deadline_at:
            self._end(request, admitted=True, served=False)
            return
        endpoint = self.endpoints[name]
        repeated = bool(request.attempted)
        request.attempted.add(name)
        self.observer.sent(request, endpoint, repeated)
        taken = endpoint.queued
        answer = endpoint.offer(now, request.work, self.errors.random() < endpoint.failure_share)
        if endpoint.queued > taken:
            self.events.call_later(answer.after, partial(endpoint.release, endpoint.incarnation))
        answer = self._limit_patience(request, answer)
        self.events.call_later(answer.after, lambda: self._answered(request, endpoint, answer))

    def _limit_patience(self, request: Request, answer: Answer) -> Answer:
        """Return the answer as the proxy sees it: it gives up at the deadline, or earlier if it may retry."""
        patience = request.deadline_at - self.events.now
        mode = request.proxy.retry_mode(self._group_of(request).name)
        if mode >= MODE_AFTER_ANY and len(request.attempted) <= MAX_RETRIES[mode]:
            patience = min(
                patience, round(self.parameters.first_wait * self._group_of(request).latency_objective)
            )
        return answer if answer.after <= patience else Answer(Outcome.TIMED_OUT, patience)

    def _answered(self, request: Request, endpoint: QueueingEndpoint, answer: Answer) -> None:
        failed = answer.outcome is not Outcome.SERVED
        request.proxy.record_outcome(endpoint.name, failed, self.events.now, self.picks)
        self.observer.attempted(request, endpoint, failed, answer.after)
        if not failed:
            self._end(request, admitted=True, served=True)
        elif self._may_retry(request, answer.outcome):
            self._send(request)
        else:
            self._end(request, admitted=True, served=False)

    def _may_retry(self, request: Request, outcome: Outcome) -> bool:
        mode = request.proxy.retry_mode(self._group_of(request).name)
        if len(request.attempted) > MAX_RETRIES[mode]:
            return False
        return mode >= MODE_AFTER_ANY or outcome is Outcome.REFUSED

    def _end(self, request: Request, admitted: bool, served: bool) -> None:
        self.observer.ended(request, admitted, served)
        again = not served and request.repeats < self.parameters.client_repeats
        if again and self.clients.random() < self.parameters.client_comes_again:
            wait = self.clients.randint(*self.parameters.client_backoff)
            self.events.call_later(
                wait, lambda: self._submit(request.proxy, request.group, request.repeats + 1)
            )

    def _group_of(self, request: Request) -> RequestGroup:
        return self.parameters.traffic_groups[request.group]
