"""The codec of the endpoint registry's JSON: complete lists and changes into entries."""

import json
from collections.abc import Callable
from typing import Any

from ravenshelf.errors import RavenshelfError
from ravenshelf.policy.events import EndpointState, ListedEndpoint
from ravenshelf.settings import Settings

STATES = {
    "SERVING": EndpointState.READY,
    "DRAINING": EndpointState.DRAINING,
    "DELETED": EndpointState.GONE,
}
FORBIDDEN_IN_NAMES = set(" \t\r\n,:=")  # no message on a proxy's stream could name such an endpoint
START_LIMIT_MS = 1e15
LOGGED_TEXT_LENGTH = 80


class UnreadableListError(RavenshelfError):
    """A list, or a line of a watch, that is no list; the text says why."""


class EndpointListDecoder:
    """Decodes lists by the names that the settings give.

    `index_of` gives a listed endpoint's name its index, `find_index` only that of a name that has one.
    """

    def __init__(
        self,
        settings: Settings,
        index_of: Callable[[str], int],
        find_index: Callable[[str], int | None],
    ):
        self.zones = {name: number for number, name in enumerate(settings.zones)}
        self.machine_kinds = {name: number for number, name in enumerate(settings.machine_kinds)}
        self.index_of = index_of
        self.find_index = find_index

    def decode_list(self, text: bytes | str) -> dict[str, Any]:
        """Parse and check a list; raises UnreadableListError."""
        try:
            return self.check_list(json.loads(text))
        except ValueError as error:  # bad JSON or bad UTF-8
            raise UnreadableListError(str(error)) from error

    @staticmethod
    def check_list(listed: object) -> dict[str, Any]:
        """Return a list with its version and entries checked; raises UnreadableListError."""
        if isinstance(listed, dict):
            version = listed.get("rev")
            is_version = isinstance(version, int) and not isinstance(version, bool)
            if is_version and isinstance(listed.get("targets"), list):
                return listed
        raise UnreadableListError("expected an object with rev and targets")

    def decode_entries(
        self, targets: list[Any]
    ) -> tuple[list[ListedEndpoint], dict[int, str], list[tuple[int | None, str]]]:
        """Return entries, addresses by index, and malformed ones: the index, if known, and why."""
        entries: dict[int, ListedEndpoint] = {}
        addresses: dict[int, str] = {}
        malformed: list[tuple[int | None, str]] = []
        for target in targets:
            name = target.get("uid") if isinstance(target, dict) else None
            if not isinstance(name, str) or not name or FORBIDDEN_IN_NAMES & set(name):
                malformed.append((None, f"no uid in {str(target)[:LOGGED_TEXT_LENGTH]}"))
                continue
            try:
                fields = self._fields(target)
            except (KeyError, TypeError, ValueError, OverflowError) as error:
                reason = f"{name}: {type(error).__name__} {error}"
                malformed.append((self.find_index(name), reason))
                continue
            index = self.index_of(name)
            entries[index] = ListedEndpoint(index, *fields)
            if isinstance(target.get("endpoint"), str):
                addresses[index] = target["endpoint"]
        return list(entries.values()), addresses, malformed

    def _fields(self, target: dict[str, Any]) -> tuple[int, int, int, EndpointState, float, int]:
        """Return the fields of a ListedEndpoint after its index."""
        weight = float(target.get("capacity_hint", 1.0))
        start_ms = float(target.get("boot_ms") or 0)
        if not 0 <= weight < float("inf") or not 0 <= start_ms < START_LIMIT_MS:
            raise ValueError(f"capacity_hint {weight}, boot_ms {start_ms}")
        return (
            self.zones[target["az"]],
            self.machine_kinds.get(target.get("model", ""), 0),
            int(target.get("pod_group") or 0),
            STATES[target["state"]],
            weight,
            round(start_ms * 1000),
        )
