"""Proxies that do not acknowledge batches, although acknowledgements of others show that the batches left.

Times and durations are integer microseconds.
"""

from collections.abc import Iterable


class SilentProxies:
    """The proxies whose acknowledgement of a batch is overdue, and since when.

    A proxy is silent once an acknowledgement has been missing for the longest delivery time after the batch
    was known to have left the channel. Any acknowledgement ends its silence.
    """

    def __init__(self, longest_delivery: int):
        """Create the state without silent proxies.

        Args:
            longest_delivery: The longest time from leaving the channel until the acknowledgement.
        """
        self._longest_delivery = longest_delivery
        self._missing_since: dict[int, int] = {}

    def record_missing(self, proxies: Iterable[int | None], now: int) -> None:
        """Record that proxies have not acknowledged a batch that has left the channel."""
        for proxy in proxies:
            if proxy is not None:
                self._missing_since.setdefault(proxy, now)

    def discard(self, proxy: int) -> None:
        """Record that a proxy has acknowledged a batch, or that its stream has ended."""
        self._missing_since.pop(proxy, None)

    def includes_all(self, proxies: Iterable[int | None], now: int) -> bool:
        """Return whether all of the proxies are silent; None stands for lines that nobody acknowledges."""
        silent_since = now - self._longest_delivery
        return all(proxy is None or self._missing_since.get(proxy, now) < silent_since for proxy in proxies)
