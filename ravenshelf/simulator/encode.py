"""Encoder of the controller's commands as lines of the simulator's protocol."""

import base64
from collections.abc import Sequence

from ravenshelf.time_units import MICROSECONDS_PER_MILLISECOND

ALL_PEERS = "*"
NO_VALUE = "-"  # the word that stands for a missing value


class WireWriter:
    """A `CommandWriter` that collects the commands of one instance as lines.

    Args:
        instance: Number of the instance.
        names: Names of the endpoints, by index. Names may be added to it later.

    Attributes:
        lines: The encoded commands, in the order of the calls.
    """

    def __init__(self, instance: int, names: Sequence[str]):
        self.lines: list[str] = []
        self._instance = instance
        self._names = names

    def set_weight(self, table: int, endpoint: int, weight: float) -> None:
        """Append the command's line; see `CommandWriter`."""
        self.lines.append(f"set_line {self._instance} {self._names[endpoint]} {table} {weight:.6g}")

    def clear_table(self, table: int) -> None:
        """Append the command's line; see `CommandWriter`."""
        self.lines.append(f"truncate {self._instance} {table}")

    def set_ejected(self, endpoint: int, ejected: bool) -> None:
        """Append the command's line; see `CommandWriter`."""
        self.lines.append(f"bench {self._instance} {int(ejected)} {self._names[endpoint]}")

    def bind_proxy(self, proxy: int, table: int, groups: int = 0) -> None:
        """Append the command's line; see `CommandWriter`."""
        self.lines.append(f"subscribe_to {self._instance} {proxy} {table} {groups}")

    def set_admission_level(self, table: int, groups: int, level: float, retry_mode: int) -> None:
        """Append the command's line; see `CommandWriter`."""
        self.lines.append(f"set_level {self._instance} {level:.6g} {groups} {table} {retry_mode}")

    def request_acknowledgement(self, marker: int, all_proxies: bool = False) -> None:
        """Append the command's line; see `CommandWriter`."""
        self.lines.append(f"mark {self._instance} {marker} {int(all_proxies)}")

    def start_timer(self, at: int, key: str) -> None:
        """Append the command's line; see `CommandWriter`."""
        self.lines.append(f"sleep {self._instance} {at / MICROSECONDS_PER_MILLISECOND:.3f} {key}")

    def watch_endpoints(self, enabled: bool) -> None:
        """Append the command's line; see `CommandWriter`."""
        self.lines.append(f"observe {self._instance} {int(enabled)}")

    def fetch_endpoints(self) -> None:
        """Append the command's line; see `CommandWriter`."""
        self.lines.append(f"get_list {self._instance}")

    def check_health(self, endpoint: int) -> None:
        """Append the command's line; see `CommandWriter`."""
        self.lines.append(f"poll {self._instance} {self._names[endpoint]}")

    def send_peer_message(self, peer: int | None, payload: bytes) -> None:
        """Append the command's line; see `CommandWriter`."""
        receiver = ALL_PEERS if peer is None else peer
        text = base64.b64encode(payload).decode() or NO_VALUE
        self.lines.append(f"announce {self._instance} {receiver} {text}")

    def log(self, text: str) -> None:
        """Append the command's line; see `CommandWriter`."""
        self.lines.append(f"record {self._instance} {_on_one_line(text)}")

    def replace_with_exception(self, text: str) -> None:
        """Replace all commands by a line that reports why the controller failed."""
        self.lines = [f"exception {self._instance} {_on_one_line(text)}"]


def _on_one_line(text: str) -> str:
    return " ".join(text.split())
