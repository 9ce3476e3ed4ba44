"""The network between members: messages are lost, duplicated, delayed and partitioned."""

import random
from collections.abc import Callable, Iterable

from ravenshelf.leadership.decisions import Message
from standins.controllers.parameters import MESSAGE_LOSS_PROBABILITY, MILLISECOND
from standins.controllers.scheduler import Process, Scheduler

LOCAL_DELAY_US = 10
MIN_DELAY_US = 200
MAX_NOMINAL_DELAY_US = 3 * MILLISECOND
MAX_LONG_DELAY_US = 900 * MILLISECOND
DUPLICATION_PROBABILITY = 0.02
NOMINAL_DELAY_PROBABILITY = 0.98

Pair = tuple[int, int]  # the numbers of the sender and the receiver


class Network:
    """The network between members.

    Messages between partitioned pairs of members are lost, as are others with probability `loss_probability`.
    """

    def __init__(
        self,
        rng: random.Random,
        scheduler: Scheduler,
        process: Callable[[int], Process],
        receive: Callable[[int, int, Message], None],
    ) -> None:
        """Create a network without partitions.

        Args:
            rng: Source of random losses, duplicates and delays.
            scheduler: The queue in which arrivals are scheduled.
            process: Function that returns the process of a member.
            receive: Function that is called with sender, receiver and message when a message arrives.
        """
        self.loss_probability = MESSAGE_LOSS_PROBABILITY
        self._rng = rng
        self._scheduler = scheduler
        self._process = process
        self._receive = receive
        self._partitioned_pairs: set[Pair] = set()

    def partition(self, pairs: Iterable[Pair]) -> None:
        """Lose the messages of some pairs from now on."""
        self._partitioned_pairs |= set(pairs)

    def reconnect(self, pairs: Iterable[Pair]) -> None:
        """Deliver the messages of some pairs again."""
        self._partitioned_pairs.difference_update(pairs)

    def heal(self) -> None:
        """End all partitions, and return to the nominal loss of messages."""
        self._partitioned_pairs = set()
        self.loss_probability = MESSAGE_LOSS_PROBABILITY

    def send(self, sender: int, receiver: int, message: Message) -> None:
        """Send a message, which may be lost or duplicated."""
        if sender == receiver:
            process = self._process(receiver)
            self._scheduler.call_later(
                LOCAL_DELAY_US, lambda: self._receive(sender, receiver, message), process
            )
            return
        if (sender, receiver) in self._partitioned_pairs or self._rng.random() < self.loss_probability:
            return
        for _ in range(2 if self._rng.random() < DUPLICATION_PROBABILITY else 1):
            self._scheduler.call_later(self._draw_delay(), lambda: self._arrive(sender, receiver, message))

    def _draw_delay(self) -> int:
        if self._rng.random() < NOMINAL_DELAY_PROBABILITY:
            return self._rng.randrange(MIN_DELAY_US, MAX_NOMINAL_DELAY_US)
        return self._rng.randrange(MAX_LONG_DELAY_US)

    def _arrive(self, sender: int, receiver: int, message: Message) -> None:
        process = self._process(receiver)
        if process.is_alive and (sender, receiver) not in self._partitioned_pairs:
            self._scheduler.call_later(0, lambda: self._receive(sender, receiver, message), process)
