"""The limit on the messages that a proxy gets within a counting window.

A part of the limit, the reserve, is used at intervals. So withdrawals that follow one another for a long time
never find the limit used up: after a reserve message, the next one may be sent one interval later at the
latest. Times and durations are integer microseconds.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Iterable
from math import ceil

from ravenshelf.policy.urgency import WITHDRAWAL

# By urgency: this share of a proxy's messages per counting window may be used.
MESSAGE_SHARES = (0.6, 0.7, 0.8, 0.8, 1.0)
# Messages are sent some time after they are counted, so they are counted over a window longer by this factor.
COUNT_WINDOW_MARGIN = 1.05
# A withdrawal may wait for its message for this share of the drain grace. The rest is for its way to the
# proxy.
WAITING_SHARE = 0.5
# At least this many messages are outside the reserve, so that two changes can follow each other at once.
MINIMUM_FREE_MESSAGES = 2


class _ProxyMessages:
    """The recent messages of one proxy.

    Attributes:
        times: The times of the messages within the counting window, oldest first.
        reserve_used_at: When the last message of the reserve was sent; None: never.
    """

    __slots__ = ("reserve_used_at", "times")

    def __init__(self) -> None:
        self.times: deque[int] = deque()
        self.reserve_used_at: int | None = None


class MessageBudget:
    """The messages that proxies have got recently, and whether they may get another one.

    A proxy that has got `free_messages` within the counting window gets each further one at least
    `reserve_interval` after the last of these. At most `reserve` of them fit into a window, so there is
    always one left when the interval has passed.

    Attributes:
        limit: The messages that a proxy may get within the counting window; 0: unlimited.
        window: The counting window.
        reserve: The messages of the limit that are sent at intervals.
        free_messages: The other messages of the limit.
        reserve_interval: The time from one reserve message to the next.
        withdrawals_wait: Whether withdrawals wait for messages. Only they may use the reserve then, because
            a withdrawal needs a message for all its proxies at the same time.
    """

    def __init__(self, limit: int, count_window: int, drain_grace: int | None):
        """Create a budget without messages.

        Args:
            limit: The messages that a proxy may get within the counting window; 0: unlimited.
            count_window: The counting window of the settings.
            drain_grace: The time within which a withdrawal has to take effect; None: not stated, so there is
                no reserve.
        """
        self.limit = limit
        self.window = round(COUNT_WINDOW_MARGIN * count_window)
        self.reserve = 0
        if drain_grace:
            required_reserve = ceil(self.window / (WAITING_SHARE * drain_grace))
            self.reserve = max(0, min(required_reserve, limit - MINIMUM_FREE_MESSAGES))
        self.free_messages = limit - self.reserve
        self.reserve_interval = ceil(self.window / self.reserve) if self.reserve else 0
        self.withdrawals_wait = False
        self._messages_by_proxy: dict[int | None, _ProxyMessages] = {}

    def allows(self, proxies: Collection[int], now: int, urgency: int) -> bool:
        """Return whether each of the proxies may get a message of an urgency."""
        if not self.limit:
            return True
        message_limit = round(self.limit * MESSAGE_SHARES[urgency])
        may_use_reserve = urgency == WITHDRAWAL or not self.withdrawals_wait
        return all(self._allows(proxy, now, message_limit, may_use_reserve) for proxy in proxies)

    def _allows(self, proxy: int, now: int, message_limit: int, may_use_reserve: bool) -> bool:
        messages = self._recent_messages(proxy, now)
        if len(messages.times) >= message_limit:
            return False
        if len(messages.times) < self.free_messages:
            return True
        used_at = messages.reserve_used_at
        return may_use_reserve and (used_at is None or now - used_at >= self.reserve_interval)

    def _recent_messages(self, proxy: int | None, now: int) -> _ProxyMessages:
        messages = self._messages_by_proxy.setdefault(proxy, _ProxyMessages())
        while messages.times and messages.times[0] <= now - self.window:
            messages.times.popleft()
        return messages

    def record_message(self, proxy: int | None, now: int) -> None:
        """Count a message that a proxy gets."""
        if not self.limit:
            return
        messages = self._recent_messages(proxy, now)
        if len(messages.times) >= self.free_messages:
            messages.reserve_used_at = now
        messages.times.append(now)

    def restore(self, proxy: int, times: Iterable[int]) -> None:
        """Count messages again that a proxy got on a connection to which it has returned."""
        if not self.limit or not times:
            return
        messages = self._messages_by_proxy.setdefault(proxy, _ProxyMessages())
        messages.times = deque(sorted({*messages.times, *times}))
        if len(messages.times) > self.free_messages:
            messages.reserve_used_at = messages.times[-1]

    def message_times(self, proxy: int) -> list[int]:
        """Return the times of a proxy's counted messages, oldest first."""
        messages = self._messages_by_proxy.get(proxy)
        return list(messages.times) if messages is not None else []

    def reset(self, proxy: int) -> None:
        """Discard the messages of a proxy, which are counted from its joining."""
        self._messages_by_proxy.pop(proxy, None)
