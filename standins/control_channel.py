"""A model of the control channel: messages leave it one after another, each at a time that is set on entry.

Messages for a stream that breaks are lost, and messages that enter later leave earlier by the time of the
lost ones. A message counts as queued until it and all messages before it have left. Times and durations are
integer microseconds.
"""

from collections import deque
from dataclasses import dataclass
from typing import NamedTuple

from standins.fleet.clock import SECOND


class Stream(NamedTuple):
    """One connection of a proxy; `number` tells it from the proxy's earlier connections."""

    proxy: int
    number: int


@dataclass
class ChannelMessage:
    """One message in the channel.

    Attributes:
        stream: The stream that the message was written to.
        lines: The lines of the message, with its overhead; 0 once it is lost.
        marker: The acknowledgement marker of its batch.
        entered_at: When the message entered the channel.
        leaves_at: When the message leaves the channel.
        duration: The time that the message takes in the channel, at the rate when it entered.
        payload: What the proxy receives.
        is_lost: Whether the stream broke before the message left.
        is_delivered: Whether the message was returned as delivered.
    """

    stream: Stream
    lines: float
    marker: int | None
    entered_at: int
    leaves_at: float
    duration: float
    payload: str = ""
    is_lost: bool = False
    is_delivered: bool = False


class ControlChannel:
    """A channel from which messages leave in order, each at its time.

    The specification leaves open whether the loss of messages shortens the queue by their time at the current
    rate or at the rate when they entered (`uses_entry_duration`), and whether lost messages still keep later
    ones in the queue until they would have left (`lost_messages_hold`).

    Attributes:
        rate: The present rate in lines per second.
        now: The present time.
        idle_at: When everything in the channel has left.
        queue: The messages that count as queued, and lost ones between them.
        longest_queue: The greatest number of queued lines so far.
    """

    def __init__(
        self,
        rate: float,
        message_overhead: float,
        uses_entry_duration: bool = False,
        lost_messages_hold: bool = True,
    ):
        self.rate = rate
        self.message_overhead = message_overhead
        self.uses_entry_duration = uses_entry_duration
        self.lost_messages_hold = lost_messages_hold
        self.now = 0
        self.idle_at = 0.0
        self.queue: deque[ChannelMessage] = deque()
        self.longest_queue = 0.0

    def add_message(
        self, stream: Stream, lines: float, marker: int | None, payload: str = ""
    ) -> ChannelMessage:
        """Let a message enter, and return it; `lines` does not include the overhead."""
        lines += self.message_overhead
        duration = lines * SECOND / self.rate
        self.idle_at = max(self.idle_at, self.now) + duration
        message = ChannelMessage(stream, lines, marker, self.now, self.idle_at, duration, payload)
        self.queue.append(message)
        self.longest_queue = max(self.longest_queue, self.queued_lines())
        return message

    def queued_lines(self) -> float:
        """Return the lines that count as queued."""
        return sum(message.lines for message in self.queue)

    def break_stream(self, proxy: int) -> None:
        """Lose the messages that have not left yet and are for any stream of a proxy."""
        for message in self.queue:
            if message.stream.proxy != proxy or message.is_lost or message.leaves_at <= self.now:
                continue
            lost_duration = (
                message.duration if self.uses_entry_duration else message.lines * SECOND / self.rate
            )
            self.idle_at -= lost_duration
            message.is_lost = True
            message.lines = 0
            if not self.lost_messages_hold:
                message.leaves_at = self.now

    def deliver_until(self, now: int) -> list[ChannelMessage]:
        """Advance to a time, and return the messages that have left since the previous call."""
        self.now = now
        delivered = [
            message
            for message in self.queue
            if message.leaves_at <= now and not message.is_lost and not message.is_delivered
        ]
        for message in delivered:
            message.is_delivered = True
        while self.queue and self.queue[0].leaves_at <= now:
            self.queue.popleft()
        return delivered
