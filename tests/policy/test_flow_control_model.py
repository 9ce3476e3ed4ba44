"""The channel's belief against a model of the channel by the pages' words, on seeded schedules."""

import random
from collections import deque
from dataclasses import dataclass

import pytest

from ravenshelf.policy.flow_control import SLOWEST_FACTOR, ChannelFlowControl
from ravenshelf.settings import SECOND, ServiceSettings

PROXIES, MOST, USUAL, HEAD, LATE = 500, 26_300, 1500.0, 3, SECOND
SETTINGS = ServiceSettings(
    lines_per_second=USUAL, message_overhead_lines=HEAD, queue_limit_lines=MOST, longest_delivery_us=LATE
)


@dataclass
class Message:
    proxy: int | None  # None once its stream has broken
    lines: int
    mark: int
    entered: int
    leaves: float
    took: float  # of the channel's time, by its pace when this entered
    told: bool = False


class Slow:
    """Messages leave at their time, and wait until all before them have left as well.

    What waits for a stream that breaks is dropped, and what enters later leaves sooner by that: by what it
    would take now, or by what it took when it entered (`own`). The pages leave that open, so the limit is
    kept under both readings.
    """

    def __init__(self, own: bool):
        self.own = own
        self.now, self.pace, self.busy, self.queue, self.most = 0, USUAL, 0.0, deque(), 0

    def enter(self, proxy: int, lines: int, mark: int) -> None:
        lines += HEAD
        took = lines * SECOND / self.pace
        self.busy = max(self.busy, self.now) + took
        self.queue.append(Message(proxy, lines, mark, self.now, self.busy, took))
        self.most = max(self.most, sum(m.lines for m in self.queue))

    def broke(self, proxy: int) -> None:
        for m in self.queue:
            if m.proxy == proxy and m.leaves > self.now:
                self.busy -= m.took if self.own else m.lines * SECOND / self.pace
                m.proxy, m.lines = None, 0

    def turn(self, now: int) -> list[Message]:
        """What has left since the last turn."""
        self.now = now
        left = [m for m in self.queue if m.leaves <= now and m.proxy is not None and not m.told]
        for m in left:
            m.told = True
        while self.queue and self.queue[0].leaves <= now:
            self.queue.popleft()
        return left


class Schedule:
    """A minute of joins, messages of all sizes, three times when most streams break, and a slow spell."""

    def __init__(self, seed: int, channel: ChannelFlowControl, own: bool = False):
        self.chance, self.channel, self.true, self.marks = random.Random(seed), channel, Slow(own), []
        self.slow = sorted(self.chance.sample(range(60), 2)) if seed % 2 else (0, 0)
        self.broken, self.answers, self.entered = self.chance.sample(range(4, 60), 3), [], 0

    def request_acknowledgement(self, number: int) -> None:
        self.marks.append(number)

    def tick(self, n: int) -> None:
        now, channel, chance = n * SECOND // 20, self.channel, self.chance
        slowed = self.slow[0] <= n // 20 < self.slow[1]
        self.true.pace = USUAL * (chance.choice((0.1, 0.3)) if slowed else 1)
        for m in self.true.turn(now):
            if chance.random() > 0.05:  # some answers get lost
                self.answers.append((now + chance.randrange(LATE // 10, LATE), m))
        if n % 20 == 0 and n // 20 in self.broken:
            for proxy in chance.sample(range(PROXIES), PROXIES * 7 // 10):
                self.true.broke(proxy)
                channel.record_disconnection(proxy)
                self.answers = [a for a in self.answers if a[1].proxy != proxy]
        channel.advance(now)
        for at, m in [a for a in self.answers if a[0] <= now]:
            channel.record_acknowledgement(m.proxy, m.mark, at - m.entered)
        self.answers = [a for a in self.answers if a[0] > now]
        sent: dict[int, int] = {}
        for _ in range(chance.choice((1, 3, 80))):
            proxy, lines = chance.randrange(PROXIES), chance.choice((4, 12, 50))
            if channel.has_capacity(lines, [proxy], chance.choice((0, 3, 4))):
                channel.charge([proxy], lines)
                sent[proxy] = sent.get(proxy, 0) + lines
        channel.commit_cycle(now, self)
        for proxy, lines in sent.items():
            self.true.enter(proxy, lines + 1, self.marks[-1])
            self.entered += lines


@pytest.mark.parametrize("own", [False, True], ids=["by the pace now", "by its own"])
@pytest.mark.parametrize(
    "seed", [*range(16), 19, 39, 1027, 1059, 1069, 1119]
)  # the last ones broke it at some time
def test_what_waits_never_passes_the_limit(seed, own):
    schedule = Schedule(seed, ChannelFlowControl(SETTINGS), own)
    for n in range(1200):
        schedule.tick(n)
    assert schedule.true.most <= MOST and schedule.entered > 15_000


class Marks250(ChannelFlowControl):
    """Numbers that come again while their first round waits."""

    def record_acknowledgement(self, proxy, mark, took):
        again = self.batch_number - (self.batch_number - mark) % 250
        super().record_acknowledgement(proxy, again, took)


class NoHeads(ChannelFlowControl):
    def __init__(self, service):
        super().__init__(service)
        self.message_overhead = -1


class DropsAtTheUsualPace(ChannelFlowControl):
    """What breaks is taken for ordered at the usual pace, though the channel may have been slow."""

    def record_disconnection(self, proxy):
        before, free = self.next_position, self.earliest_idle
        super().record_disconnection(proxy)
        self.next_position, self.earliest_idle = (
            before - (before - self.next_position) / SLOWEST_FACTOR,
            free - (free - self.earliest_idle) / SLOWEST_FACTOR,
        )


class AnyAnswerProves(ChannelFlowControl):
    """An answer taken as proof of all that was ordered before it, whatever broke in between."""

    def record_disconnection(self, proxy):
        placed = self.next_position
        super().record_disconnection(proxy)
        self.next_position = placed


@pytest.mark.parametrize("broken", [Marks250, NoHeads, AnyAnswerProves, DropsAtTheUsualPace])
def test_the_model_sees_deliberate_breaks(broken):
    for seed in range(40):
        schedule = Schedule(seed, broken(SETTINGS), own=True)
        for n in range(1200):
            schedule.tick(n)
        if schedule.true.most > MOST:
            return
    raise AssertionError("no schedule broke")


def ordered(channel, proxies, lines=20):
    channel.charge(proxies, lines)
    channel.commit_cycle(
        channel.now, type("Marks", (), {"request_acknowledgement": lambda self, number: None})()
    )
    return channel.batch_number


def test_one_lost_answer_does_not_keep_all_that_was_ordered_later_waiting():
    """South-delivery, join, seed 11: one answer was spoilt, 11,132 lines counted as waiting for 20 s."""
    channel = ChannelFlowControl(SETTINGS)
    first = ordered(channel, range(100))
    for proxy in range(40, 90):  # what they had waiting makes room for what comes next
        channel.record_disconnection(proxy)
    second = ordered(channel, range(200, 400), 2)
    now = 4 * SECOND
    channel.advance(now)
    for mark, proxies in (first, [*range(39), *range(90, 100)]), (second, range(200, 400)):
        for proxy in proxies:  # all but one of the first
            channel.record_acknowledgement(proxy, mark, SECOND)
    assert channel.unconfirmed_lines() > 1000  # the last of it may lie behind what was answered for
    channel.advance(now + SETTINGS.longest_delivery_us + 24 * SECOND // 150 + 1)
    assert channel.unconfirmed_lines() == channel.queued_lines == 0


def test_what_nobody_answers_for_waits_as_long_as_the_slowest_channel_takes():
    channel = ChannelFlowControl(SETTINGS)
    ordered(channel, range(2), 7)  # 22 lines: at a tenth of the pace they pass in 150 ms
    channel.advance(20 * SECOND)
    assert channel.unconfirmed_lines() == 22  # yet nothing is taken for gone before 20 s
    channel.advance(21 * SECOND + 1)
    assert not channel.unconfirmed_lines()
    ordered(channel, range(240), 96)  # 24,000 lines take 160 s
    began = channel.now
    channel.advance(began + 155 * SECOND)
    assert channel.unconfirmed_lines() == 24_000
    channel.advance(began + 162 * SECOND)
    assert not channel.unconfirmed_lines()


def test_what_is_dropped_with_a_stream_counts_until_it_is_sure_not_to_have_left():
    channel = ChannelFlowControl(SETTINGS)
    channel.charge([1, 2], 96)
    channel.commit_cycle(0, type("Marks", (), {"request_acknowledgement": lambda self, number: None})())
    channel.record_disconnection(1)
    assert (
        channel.queued_lines == channel.unconfirmed_lines() == 200
    )  # it may have left, and wait for what is older
    channel.record_uncharged_lines(20)
    assert channel.unconfirmed_lines() == 220  # written beyond the charge: no answer takes it out
    channel.charge([1, 2], 96)
    channel.commit_cycle(0, type("Marks", (), {"request_acknowledgement": lambda self, number: None})())
    channel.record_disconnection(1)
    assert channel.unconfirmed_lines() == 320  # this one can't have left yet
