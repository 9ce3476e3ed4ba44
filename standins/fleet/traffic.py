"""Requests: they arrive at proxies, are let in or refused, sent to an endpoint and tried again elsewhere."""

import random
from dataclasses import dataclass, field
from math import log, sqrt
from typing import Protocol

from standins.fleet.clock import SECOND, EventQueue
from standins.fleet.parameters import Parameters, RequestClass
from standins.fleet.proxies import RequestProxy
from standins.fleet.servers import Answer, Outcome, QueueServer
from standins.fleet.streams import Streams

FURTHER_TRIES = (0, 1, 1, 2)  # by retry mode
MODE_AFTER_PROOF, MODE_AFTER_ANY = 1, 2


@dataclass
class Request:
    proxy: RequestProxy
    group: int
    work: float  # seconds on one core
    deadline_at: int
    repeats: int  # how often its client has come again
    tried: set[str] = field(default_factory=set)


class Observer(Protocol):
    """Told of every try and of every request's end."""

    def sent(self, request: Request, server: QueueServer, repeated: bool) -> None: ...
    def tried(self, request: Request, server: QueueServer, failed: bool, latency: int) -> None: ...
    def ended(self, request: Request, admitted: bool, served: bool) -> None: ...


def lognormal(chance: random.Random, mean: float, variation: float) -> float:
    sigma = sqrt(log(1 + variation**2))
    return chance.lognormvariate(log(mean) - sigma**2 / 2, sigma)


class Traffic:
    """Draws requests at every proxy and follows each of them to its end."""

    def __init__(
        self,
        events: EventQueue,
        parameters: Parameters,
        servers: dict[str, QueueServer],
        streams: Streams,
        observer: Observer,
    ):
        self.events, self.parameters, self.servers, self.observer = events, parameters, servers, observer
        self.arrivals, self.work, self.picks = streams["arrivals"], streams["work"], streams["picks"]
        self.clients, self.admission, self.errors = (
            streams["clients"],
            streams["admission"],
            streams["errors"],
        )
        self.factor = 1.0  # of all rates
        self.down: set[int] = set()  # proxies whose process does not run

    def begin(self, proxies: list[RequestProxy], rates: list[float]) -> None:
        for proxy, rate in zip(proxies, rates):
            self._next(proxy, rate)

    def _next(self, proxy: RequestProxy, rate: float) -> None:
        wait = self.arrivals.expovariate(rate * self.factor)
        self.events.later(round(wait * SECOND), lambda: self._arrived(proxy, rate))

    def _arrived(self, proxy: RequestProxy, rate: float) -> None:
        self._next(proxy, rate)
        shares = [group.share for group in self.parameters.classes]
        group = self.work.choices(range(len(shares)), shares)[0]
        self._ask(proxy, group, 0)

    def _ask(self, proxy: RequestProxy, group: int, repeats: int) -> None:
        if proxy.number in self.down:
            return
        kind = self.parameters.classes[group]
        request = Request(
            proxy,
            group,
            lognormal(self.work, kind.work_s, kind.work_cv),
            self.events.now + kind.deadline,
            repeats,
        )
        if proxy.lets_in(kind.name, self.events.now, self.admission):
            self._send(request)
        else:
            self._end(request, admitted=False, served=False)

    def _send(self, request: Request) -> None:
        now, proxy = self.events.now, request.proxy
        name = proxy.pick(now, self.picks, request.tried)
        if name is None or now >= request.deadline_at:
            self._end(request, admitted=True, served=False)
            return
        server, repeated = self.servers[name], bool(request.tried)
        request.tried.add(name)
        self.observer.sent(request, server, repeated)
        taken = server.held
        answer = server.offer(now, request.work, self.errors.random() < server.failing)
        if server.held > taken:
            self.events.later(answer.after, lambda process=server.processes: server.release(process))
        answer = self._awaited(request, answer)
        self.events.later(answer.after, lambda: self._answered(request, server, answer))

    def _awaited(self, request: Request, answer: Answer) -> Answer:
        """The answer as the proxy meets it: it gives up at the deadline, or sooner where it may try again."""
        patience = request.deadline_at - self.events.now
        mode = request.proxy.retry_mode(self._kind(request).name)
        if mode >= MODE_AFTER_ANY and len(request.tried) <= FURTHER_TRIES[mode]:
            patience = min(patience, round(self.parameters.first_wait * self._kind(request).aim))
        return answer if answer.after <= patience else Answer(Outcome.TIMED_OUT, patience)

    def _answered(self, request: Request, server: QueueServer, answer: Answer) -> None:
        failed = answer.outcome is not Outcome.SERVED
        request.proxy.note(server.name, failed, self.events.now, self.picks)
        self.observer.tried(request, server, failed, answer.after)
        if not failed:
            self._end(request, admitted=True, served=True)
        elif self._may_follow(request, answer.outcome):
            self._send(request)
        else:
            self._end(request, admitted=True, served=False)

    def _may_follow(self, request: Request, outcome: Outcome) -> bool:
        mode = request.proxy.retry_mode(self._kind(request).name)
        if len(request.tried) > FURTHER_TRIES[mode]:
            return False
        return mode >= MODE_AFTER_ANY or outcome is Outcome.REFUSED

    def _end(self, request: Request, admitted: bool, served: bool) -> None:
        self.observer.ended(request, admitted, served)
        again = not served and request.repeats < self.parameters.client_repeats
        if again and self.clients.random() < self.parameters.client_comes_again:
            wait = self.clients.randint(*self.parameters.client_backoff)
            self.events.later(wait, lambda: self._ask(request.proxy, request.group, request.repeats + 1))

    def _kind(self, request: Request) -> RequestClass:
        return self.parameters.classes[request.group]
