"""Encodes the controller's commands as lines of the simulator's wire."""

import base64
from collections.abc import Sequence

EVERY_PEER = "*"
NOTHING = "-"  # in the place of a value
MICROSECONDS_PER_MILLISECOND = 1000


class WireWriter:
    """A `CommandWriter` for one instance: `lines` holds what was ordered, in that order.

    `names` are the endpoint names by index; it may grow meanwhile.
    """

    def __init__(self, instance: int, names: Sequence[str]):
        self.lines: list[str] = []
        self._instance = instance
        self._names = names

    def set_weight(self, table: int, endpoint: int, weight: float) -> None:
        """See `CommandWriter`."""
        self.lines.append(f"set_line {self._instance} {self._names[endpoint]} {table} {weight:.6g}")

    def clear_table(self, table: int) -> None:
        """See `CommandWriter`."""
        self.lines.append(f"truncate {self._instance} {table}")

    def set_ejected(self, endpoint: int, ejected: bool) -> None:
        """See `CommandWriter`."""
        self.lines.append(f"bench {self._instance} {int(ejected)} {self._names[endpoint]}")

    def bind_proxy(self, proxy: int, table: int, groups: int = 0) -> None:
        """See `CommandWriter`."""
        self.lines.append(f"subscribe_to {self._instance} {proxy} {table} {groups}")

    def set_admission_level(self, table: int, groups: int, level: float, retry_mode: int) -> None:
        """See `CommandWriter`."""
        self.lines.append(f"set_level {self._instance} {level:.6g} {groups} {table} {retry_mode}")

    def request_acknowledgement(self, marker: int, all_proxies: bool = False) -> None:
        """See `CommandWriter`."""
        self.lines.append(f"mark {self._instance} {marker} {int(all_proxies)}")

    def start_timer(self, at: int, key: str) -> None:
        """See `CommandWriter`."""
        self.lines.append(f"sleep {self._instance} {at / MICROSECONDS_PER_MILLISECOND:.3f} {key}")

    def watch_endpoints(self, enabled: bool) -> None:
        """See `CommandWriter`."""
        self.lines.append(f"observe {self._instance} {int(enabled)}")

    def fetch_endpoints(self) -> None:
        """See `CommandWriter`."""
        self.lines.append(f"get_list {self._instance}")

    def check_health(self, endpoint: int) -> None:
        """See `CommandWriter`."""
        self.lines.append(f"poll {self._instance} {self._names[endpoint]}")

    def send_peer_message(self, peer: int | None, payload: bytes) -> None:
        """See `CommandWriter`."""
        receiver = EVERY_PEER if peer is None else peer
        text = base64.b64encode(payload).decode() or NOTHING
        self.lines.append(f"announce {self._instance} {receiver} {text}")

    def log(self, text: str) -> None:
        """See `CommandWriter`."""
        self.lines.append(f"record {self._instance} {_on_one_line(text)}")

    def replace_by_fault(self, text: str) -> None:
        """The controller has failed: report why, and nothing of what it ordered before."""
        self.lines = [f"exception {self._instance} {_on_one_line(text)}"]


def _on_one_line(text: str) -> str:
    return " ".join(text.split())
