"""Decoder of the endpoint registry's JSON: complete lists, and changes to the list."""

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
# These characters separate words and values in messages on a proxy's stream, so an endpoint's name must not
# contain them.
FORBIDDEN_NAME_CHARACTERS = set(" \t\r\n,:=")
START_LIMIT_MS = 1e15
LOGGED_TEXT_LENGTH = 80


class UnreadableListError(RavenshelfError):
    """A text that is not an endpoint list; the error's text says why."""


class EndpointListDecoder:
    """Decoder of endpoint lists, with zones and machine kinds by their names in the settings.

    Args:
        settings: Settings of the deployment.
        index_of: Function that returns the index of an endpoint's name; a new name is assigned an index.
        find_index: Function that returns the index of an endpoint's name, or None if it has none.
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
        """Parse a complete list or a line of a watch, and check its outer structure.

        Returns:
            The JSON object, whose `rev` is an integer and whose `targets` is a list of unchecked entries.

        Raises:
            UnreadableListError: The text is not JSON in UTF-8, or does not have that structure.
        """
        try:
            return self.check_list(json.loads(text))
        except ValueError as error:  # raised for invalid JSON and for invalid UTF-8
            raise UnreadableListError(str(error)) from error

    @staticmethod
    def check_list(listed: object) -> dict[str, Any]:
        """Return a parsed list after checking that it has a version and a list of entries.

        Raises:
            UnreadableListError: The list has another structure.
        """
        if isinstance(listed, dict):
            version = listed.get("rev")
            is_version = isinstance(version, int) and not isinstance(version, bool)
            if is_version and isinstance(listed.get("targets"), list):
                return listed
        raise UnreadableListError("expected an object with an integer rev and a list of targets")

    def decode_entries(
        self, targets: list[Any]
    ) -> tuple[list[ListedEndpoint], dict[int, str], list[tuple[int | None, str]]]:
        """Decode the entries of a list.

        Args:
            targets: The `targets` of the list.

        The last entry of an endpoint counts. If it is a removal that follows a drain, both are returned,
        because an endpoint that was removed after a drain has to be withdrawn.

        Returns:
            The valid entries, the addresses (host:port) by index, and the malformed entries, each with the
            endpoint's index, or None if it has none, and the reason.
        """
        entries: dict[int, ListedEndpoint] = {}
        drains_before_removal: dict[int, ListedEndpoint] = {}
        addresses: dict[int, str] = {}
        malformed_entries: list[tuple[int | None, str]] = []
        for target in targets:
            name = target.get("uid") if isinstance(target, dict) else None
            if not isinstance(name, str) or not name or FORBIDDEN_NAME_CHARACTERS & set(name):
                malformed_entries.append(
                    (None, f"expected a valid uid, found {str(target)[:LOGGED_TEXT_LENGTH]}")
                )
                continue
            try:
                fields = self._decode_fields(target)
            except (KeyError, TypeError, ValueError, OverflowError) as error:
                reason = f"{name}: {type(error).__name__} {error}"
                malformed_entries.append((self.find_index(name), reason))
                continue
            index = self.index_of(name)
            _add_entry(ListedEndpoint(index, *fields), entries, drains_before_removal)
            if isinstance(target.get("endpoint"), str):
                addresses[index] = target["endpoint"]
        return [*drains_before_removal.values(), *entries.values()], addresses, malformed_entries

    def _decode_fields(self, target: dict[str, Any]) -> tuple[int, int, int, EndpointState, float, int]:
        """Return the fields of a `ListedEndpoint` that follow its index."""
        weight = float(target.get("capacity_hint", 1.0))
        start_ms = float(target.get("boot_ms") or 0)
        if not 0 <= weight < float("inf") or not 0 <= start_ms < START_LIMIT_MS:
            raise ValueError(
                "expected a finite capacity_hint of 0 or more and a boot_ms from 0 to below 1e15, "
                f"found capacity_hint {weight}, boot_ms {start_ms}"
            )
        return (
            self.zones[target["az"]],
            self.machine_kinds.get(target.get("model", ""), 0),
            int(target.get("pod_group") or 0),
            STATES[target["state"]],
            weight,
            round(start_ms * 1000),
        )


def _add_entry(
    entry: ListedEndpoint,
    entries: dict[int, ListedEndpoint],
    drains_before_removal: dict[int, ListedEndpoint],
) -> None:
    """Add an entry in place of an earlier one of its endpoint; keep a drain that a removal follows."""
    former_entry = entries.get(entry.endpoint)
    if entry.state is not EndpointState.GONE:
        drains_before_removal.pop(entry.endpoint, None)
    elif former_entry is not None and former_entry.state is EndpointState.DRAINING:
        drains_before_removal[entry.endpoint] = former_entry
    entries[entry.endpoint] = entry
