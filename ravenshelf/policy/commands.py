"""What the controller orders: a writer for proxy state, and types for commands carried out later.

Orders about tables and proxies go to a `CommandWriter`, method by method, because a control cycle may give
thousands of them. The rest are rare; whoever implements the writer may keep them as the types below.
"""

from typing import NamedTuple, Protocol

ALL_TABLES = 65_535  # as the table of an admission level: it holds for every joined proxy


class StartTimer(NamedTuple):
    """Report `TimerExpired(key)` at `at`."""

    at: int
    key: str


class WatchEndpoints(NamedTuple):
    """Open a watch on the endpoint registry, or close it."""

    enabled: bool


class FetchEndpoints(NamedTuple):
    """Request the complete endpoint list once."""


class CheckHealth(NamedTuple):
    """Send one health check to an endpoint."""

    endpoint: int


class SendPeerMessage(NamedTuple):
    """Send a message to one control-plane server, or to all of them where `peer` is None."""

    peer: int | None
    payload: bytes


class LogMessage(NamedTuple):
    """Write a line to the log."""

    text: str


Command = StartTimer | WatchEndpoints | FetchEndpoints | CheckHealth | SendPeerMessage | LogMessage


class CommandWriter(Protocol):
    """Takes the orders of one control cycle.

    Each takes effect at the cycle's time, in the order of the calls.
    """

    def set_weight(self, table: int, endpoint: int, weight: float) -> None:
        """Set an endpoint's weight in a table; 0 removes it."""

    def clear_table(self, table: int) -> None:
        """Remove all endpoints and admission levels of a table."""

    def set_ejected(self, endpoint: int, ejected: bool) -> None:
        """Eject an endpoint from every table, or readmit it."""

    def bind_proxy(self, proxy: int, table: int, groups: int = 0) -> None:
        """Have a proxy use a table for the traffic groups of a bit mask (0: all)."""

    def set_admission_level(self, table: int, groups: int, level: float, retry_mode: int) -> None:
        """Set a table's admission level and retry mode for the traffic groups of a bit mask."""

    def request_acknowledgement(self, marker: int, all_proxies: bool = False) -> None:
        """Have the proxies written to in this cycle (or all of them) acknowledge it under a marker."""

    def start_timer(self, at: int, key: str) -> None:
        """See `StartTimer`."""

    def watch_endpoints(self, enabled: bool) -> None:
        """See `WatchEndpoints`."""

    def fetch_endpoints(self) -> None:
        """See `FetchEndpoints`."""

    def check_health(self, endpoint: int) -> None:
        """See `CheckHealth`."""

    def send_peer_message(self, peer: int | None, payload: bytes) -> None:
        """See `SendPeerMessage`."""

    def log(self, text: str) -> None:
        """See `LogMessage`."""
