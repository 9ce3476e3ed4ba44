"""The network between members: messages are lost, duplicated, delayed and partitioned."""

import random
from collections.abc import Callable, Iterable

from ravenshelf.leadership.decisions import Message
from standins.controllers.parameters import MESSAGE_LOSS, MILLISECOND
from standins.controllers.scheduler import Process, Scheduler

OWN_DELAY_US = 10
SHORTEST_DELAY_US = 200
NOMINAL_DELAY_LIMIT_US = 3 * MILLISECOND
LONG_DELAY_LIMIT_US = 900 * MILLISECOND
DUPLICATION = 0.02
NOMINAL_DELAY_SHARE = 0.98

Pair = tuple[int, int]  # sender and receiver


class Network:
    """`receive(sender, receiver, message)` hands a message to a member, `process` gives its process."""

    def __init__(
        self,
        rng: random.Random,
        scheduler: Scheduler,
        process: Callable[[int], Process],
        receive: Callable[[int, int, Message], None],
    ) -> None:
        self.message_loss = MESSAGE_LOSS
        self._rng = rng
        self._scheduler = scheduler
        self._process = process
        self._receive = receive
        self._partitioned: set[Pair] = set()

    def partition(self, pairs: Iterable[Pair]) -> None:
        """Messages of these pairs are lost from now on."""
        self._partitioned |= set(pairs)

    def reconnect(self, pairs: Iterable[Pair]) -> None:
        """Messages of these pairs arrive again."""
        self._partitioned.difference_update(pairs)

    def heal(self) -> None:
        """No partition, and the usual loss."""
        self._partitioned = set()
        self.message_loss = MESSAGE_LOSS

    def send(self, sender: int, receiver: int, message: Message) -> None:
        """A message leaves a member."""
        if sender == receiver:
            process = self._process(receiver)
            self._scheduler.call_later(
                OWN_DELAY_US, lambda: self._receive(sender, receiver, message), process
            )
            return
        if (sender, receiver) in self._partitioned or self._rng.random() < self.message_loss:
            return
        for _ in range(2 if self._rng.random() < DUPLICATION else 1):
            self._scheduler.call_later(self._delay(), lambda: self._arrive(sender, receiver, message))

    def _delay(self) -> int:
        if self._rng.random() < NOMINAL_DELAY_SHARE:
            return self._rng.randrange(SHORTEST_DELAY_US, NOMINAL_DELAY_LIMIT_US)
        return self._rng.randrange(LONG_DELAY_LIMIT_US)

    def _arrive(self, sender: int, receiver: int, message: Message) -> None:
        process = self._process(receiver)
        if process.is_alive and (sender, receiver) not in self._partitioned:
            self._scheduler.call_later(0, lambda: self._receive(sender, receiver, message), process)
