"""Measurement of drains, from the change of the endpoint list to the last proxy's acknowledgement.

Nothing here performs I/O; times are microseconds.
"""

from dataclasses import dataclass, field


@dataclass(slots=True)
class Drain:
    """Drain of one endpoint that not all proxies have acknowledged; `started_at` is in microseconds."""

    started_at: int
    # Proxy and marker of each message that removes the endpoint and is not acknowledged yet.
    unacknowledged_messages: set[tuple[int, int]] = field(default_factory=set)
    has_sent_removal: bool = False


class DrainTracker:
    """Record, by endpoint, of the pending drains: drains that not all proxies have acknowledged yet."""

    def __init__(self) -> None:
        self.pending_drains: dict[int, Drain] = {}

    def start(self, endpoint: int, now: int) -> bool:
        """Start an endpoint's drain; return False if one is pending already."""
        if endpoint in self.pending_drains:
            return False
        self.pending_drains[endpoint] = Drain(now)
        return True

    def cancel(self, endpoint: int) -> None:
        """Discard the endpoint's drain: it became ready again before all proxies had acknowledged."""
        self.pending_drains.pop(endpoint, None)

    def record_removal_sent(self, endpoint: int, proxy: int, marker: int) -> None:
        """Record that a proxy was sent the endpoint's removal and will acknowledge it with `marker`."""
        drain = self.pending_drains.get(endpoint)
        if drain is not None:
            drain.unacknowledged_messages.add((proxy, marker))
            drain.has_sent_removal = True

    def acknowledge(self, proxy: int, marker: int) -> list[int]:
        """Record an acknowledgement; return the start times of the drains that it completes."""
        for drain in self.pending_drains.values():
            drain.unacknowledged_messages.discard((proxy, marker))
        return self._remove_completed()

    def remove_proxy(self, proxy: int) -> None:
        """Stop waiting for a proxy that has left.

        A drain that this completes is removed without a duration.
        """
        for drain in self.pending_drains.values():
            drain.unacknowledged_messages -= {
                message for message in drain.unacknowledged_messages if message[0] == proxy
            }
        self._remove_completed()

    def _remove_completed(self) -> list[int]:
        completed_endpoints = [
            endpoint
            for endpoint, drain in self.pending_drains.items()
            if drain.has_sent_removal and not drain.unacknowledged_messages
        ]
        return [self.pending_drains.pop(endpoint).started_at for endpoint in completed_endpoints]
