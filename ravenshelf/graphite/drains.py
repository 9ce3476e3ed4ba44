"""Tracks drains: from the change of the endpoint list to the acknowledgement of the last proxy that was sent
it.

Times are microseconds. No I/O.
"""

from dataclasses import dataclass, field


@dataclass(slots=True)
class Drain:
    """One endpoint's drain; `awaited` has the (proxy, marker) pairs that are not acknowledged yet."""

    started_at: int
    awaited: set[tuple[int, int]] = field(default_factory=set)
    was_sent: bool = False


class DrainTracker:
    """The drains that are pending, by endpoint."""

    def __init__(self) -> None:
        self.pending: dict[int, Drain] = {}

    def start(self, endpoint: int, now: int) -> bool:
        """Start an endpoint's drain; False where one is pending already."""
        if endpoint in self.pending:
            return False
        self.pending[endpoint] = Drain(now)
        return True

    def cancel(self, endpoint: int) -> None:
        """The endpoint is ready again before all proxies have acknowledged."""
        self.pending.pop(endpoint, None)

    def sent(self, endpoint: int, proxy: int, marker: int) -> None:
        """A proxy was sent the endpoint's removal, to be acknowledged with `marker`."""
        drain = self.pending.get(endpoint)
        if drain is not None:
            drain.awaited.add((proxy, marker))
            drain.was_sent = True

    def acknowledged(self, proxy: int, marker: int) -> list[int]:
        """Return the start times of the drains that this acknowledgement completes."""
        for drain in self.pending.values():
            drain.awaited.discard((proxy, marker))
        return self._remove_completed()

    def proxy_left(self, proxy: int) -> None:
        """Nothing is awaited of the proxy any more; a drain that this completes has no duration."""
        for drain in self.pending.values():
            drain.awaited -= {pair for pair in drain.awaited if pair[0] == proxy}
        self._remove_completed()

    def _remove_completed(self) -> list[int]:
        completed = [
            endpoint for endpoint, drain in self.pending.items() if drain.was_sent and not drain.awaited
        ]
        return [self.pending.pop(endpoint).started_at for endpoint in completed]
