"""Commands of the controller: the writer that receives them, and types for those that are executed later.

Commands about tables and proxies are method calls on a `CommandWriter`, because one control cycle may write
thousands of them. The other commands are rare; an implementation of the writer may store them as the types
below.
"""

from typing import NamedTuple, Protocol

# An admission level that is set for the table of this number applies to all tables, and so to every joined
# proxy.
ALL_TABLES = 65_535


class StartTimer(NamedTuple):
    """A command to report `TimerExpired(key)` at the time `at`, in microseconds."""

    at: int
    key: str


class WatchEndpoints(NamedTuple):
    """A command to open a watch on the endpoint registry, or to close it."""

    enabled: bool


class FetchEndpoints(NamedTuple):
    """A command to request the complete endpoint list once."""


class CheckHealth(NamedTuple):
    """A command to send one health check to an endpoint."""

    endpoint: int


class SendPeerMessage(NamedTuple):
    """A command to send a message to one control-plane server, or to all of them if `peer` is None."""

    peer: int | None
    payload: bytes


class LogMessage(NamedTuple):
    """A command to write a line to the log."""

    text: str


Command = StartTimer | WatchEndpoints | FetchEndpoints | CheckHealth | SendPeerMessage | LogMessage


class CommandWriter(Protocol):
    """The receiver of the commands of one control cycle.

    Every command takes effect at the time of the cycle, in the order of the calls.
    """

    def set_weight(self, table: int, endpoint: int, weight: float) -> None:
        """Set an endpoint's weight in a table; 0 removes the endpoint."""

    def clear_table(self, table: int) -> None:
        """Remove all endpoints and admission levels of a table."""

    def set_ejected(self, endpoint: int, ejected: bool) -> None:
        """Eject an endpoint from every table, or readmit it."""

    def bind_proxy(self, proxy: int, table: int, groups: int = 0) -> None:
        """Bind a proxy to a table for the traffic groups of a bit mask (0: all)."""

    def set_admission_level(self, table: int, groups: int, level: float, retry_mode: int) -> None:
        """Set a table's admission level and retry mode for the traffic groups of a bit mask."""

    def request_acknowledgement(self, marker: int, all_proxies: bool = False) -> None:
        """Have proxies acknowledge this cycle's commands under a marker.

        Args:
            marker: The number that the acknowledgements refer to.
            all_proxies: Whether all joined proxies acknowledge, or only those that commands of this cycle are
                sent to.
        """

    def start_timer(self, at: int, key: str) -> None:
        """Write a `StartTimer` command."""

    def watch_endpoints(self, enabled: bool) -> None:
        """Write a `WatchEndpoints` command."""

    def fetch_endpoints(self) -> None:
        """Write a `FetchEndpoints` command."""

    def check_health(self, endpoint: int) -> None:
        """Write a `CheckHealth` command."""

    def send_peer_message(self, peer: int | None, payload: bytes) -> None:
        """Write a `SendPeerMessage` command."""

    def log(self, text: str) -> None:
        """Write a `LogMessage` command."""
