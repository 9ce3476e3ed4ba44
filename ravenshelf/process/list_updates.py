"""Application of the endpoint registry's lists to the server's endpoint list."""

from typing import Any

from ravenshelf import log_events
from ravenshelf.net.endpoint_codec import EndpointListDecoder
from ravenshelf.policy.events import EndpointsListed, ListedEndpoint, ListKind
from ravenshelf.state.counters import Counters
from ravenshelf.state.endpoint_registry import EndpointRegistry, VersionGapError


class ListUpdater:
    """Updater of the server's endpoint list.

    Args:
        registry: The server's endpoint list, which is updated.
        decoder: Decoder of endpoint lists.
        counters: Counters of lists and malformed entries.
    """

    def __init__(self, registry: EndpointRegistry, decoder: EndpointListDecoder, counters: Counters):
        self.registry = registry
        self.decoder = decoder
        self.counters = counters

    def update(
        self, endpoint_list: dict[str, Any], kind: ListKind, after_version: int | None
    ) -> EndpointsListed | None:
        """Apply a list from the endpoint registry to the server's endpoint list.

        A malformed entry does not remove its endpoint, which keeps its previous entry. If the endpoint of a
        malformed entry in a complete list can't be identified, all endpoints missing from the list keep
        their entries.

        Args:
            endpoint_list: The decoded list from the registry.
            kind: Whether the list is complete or an update.
            after_version: Version of the list to which an update applies, or None if it is not checked.

        Returns:
            The changes, or None if the list is older than the server's.

        Raises:
            VersionGapError: The update applies to a later version than the server's, so changes are missing.
        """
        entries, addresses, malformed_entries = self.decoder.decode_entries(endpoint_list["targets"])
        for index, reason in malformed_entries:
            self.counters["list_entries_malformed"] += 1
            log_events.ENDPOINT_ENTRY_MALFORMED(why=reason)
            if kind is ListKind.REPLACE and index is not None and index in self.registry.entries:
                entries.append(self.registry.entries[index])
        if kind is ListKind.REPLACE and any(index is None for index, _ in malformed_entries):
            listed_endpoints = {entry.endpoint for entry in entries}
            current_entries = self.registry.entries.items()
            entries += [entry for index, entry in current_entries if index not in listed_endpoints]
        try:
            changes = self.registry.update(kind, endpoint_list["rev"], entries, addresses, after_version)
        except VersionGapError:
            self.counters["lists_taken"] += 1
            raise
        self.counters["lists_taken" if changes else "lists_outdated"] += 1
        return changes

    def record_late_drains(self, endpoint_list: dict[str, Any]) -> EndpointsListed | None:
        """Record the drains in a list that a watch brought after it was replaced.

        The newer list counts in everything else. But if it lacks an endpoint, only the late list tells that
        the endpoint drained before it was removed.

        Returns:
            The drains and removals of endpoints that are not listed any more, or None if there are none.
        """
        entries, _, _ = self.decoder.decode_entries(endpoint_list["targets"])
        changes: list[ListedEndpoint] = []
        for entry in entries:
            changes += self.registry.record_late_drain(entry)
        return EndpointsListed(ListKind.UPDATE, tuple(changes)) if changes else None
