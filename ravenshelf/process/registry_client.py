"""The client of the endpoint registry: fetches and watches the endpoint list, reports each failure once."""

import random
from collections.abc import Callable
from typing import Protocol

from ravenshelf import log_events
from ravenshelf.net.connection_end import FETCH, WATCH, ConnectionEnd, end_event_type
from ravenshelf.net.endpoint_codec import EndpointListDecoder, UnreadableListError
from ravenshelf.net.http import HttpCall
from ravenshelf.policy.events import EndpointsListed, Event, ListKind, WatchFailed
from ravenshelf.state.counters import Counters
from ravenshelf.state.endpoint_registry import EndpointRegistry, VersionGapError

LIST_PATH = "/catalog/members"
CALL_TIMEOUT_US = 5_000_000  # A call that has no response after this time has failed.
# A watch that receives nothing for this long has failed: the registry sends a line at least every 2 s.
IDLE_TIMEOUT_US = 5_000_000
# A change arrives within 6 s. If the list has not been updated for this long and a lower version arrives, the
# registry has been restored from a backup.
RESTORED_REGISTRY_IDLE_US = 30_000_000
# Maximum delay before a watch that the controller does not request is opened again. The delay is random, so
# that not all servers open theirs at the same time.
RETRY_DELAY_US = 1_000_000


class CallOpener(Protocol):
    """The part of the interface of `OutgoingCalls` that its users need."""

    def open(
        self,
        path: str,
        on_end: Callable[[HttpCall], None],
        on_line: Callable[[HttpCall, bytes], None] | None,
        timeout_us: int,
        address: str | None = None,
    ) -> HttpCall:
        """Open a call; see `OutgoingCalls.open`."""

    def extend(self, call: HttpCall, timeout_us: int) -> None:
        """Move an open call's deadline; see `OutgoingCalls.extend`."""


class RegistryClient:
    """Client of the endpoint registry that updates the server's endpoint list and publishes its changes.

    Args:
        registry: The server's endpoint list, which is updated.
        decoder: Decoder of endpoint lists.
        counters: Counters of requests, failures and lists.
        calls: Opener of the HTTP calls.
        publish: Function that is called with each event.
        schedule_watch: Function that has `open_watch_if_due` called after a delay in microseconds.
        is_pushed: Whether the registry pushes lists. If so, the client always keeps a watch open, and the
            controller requests none.
        random_source: Source of the random part of delays.
    """

    def __init__(
        self,
        registry: EndpointRegistry,
        decoder: EndpointListDecoder,
        counters: Counters,
        calls: CallOpener,
        publish: Callable[[Event], None],
        schedule_watch: Callable[[int], None],
        is_pushed: bool,
        random_source: random.Random,
    ):
        self.registry = registry
        self.decoder = decoder
        self.counters = counters
        self.calls = calls
        self.publish = publish
        self.schedule_watch = schedule_watch
        self.is_pushed = is_pushed
        self.random_source = random_source
        self.is_watch_required = is_pushed
        self.watch: HttpCall | None = None
        # Watch at the registry's previous address, read until the watch at the new address answers.
        self.former_watch: HttpCall | None = None
        self.address_changes = 0
        # Whether the registry's versions may be numbered anew, so that a watch has to request the complete
        # list. Set when the address changes, or when an update of a restored registry can't be applied; reset
        # by the first list that can be applied.
        self.is_new_address = False
        self.has_watch_answered = False
        self.watch_version = 0  # Version of the endpoint list to which the next changes from the watch apply.

    # Requests of the controller

    def watch_endpoints(self, enabled: bool) -> None:
        """Replace the watch by a new one, or close it; does nothing if the registry pushes lists.

        With `enabled`, a watch at a previous address stays open until the new watch answers.
        """
        if self.is_pushed:
            return
        self.is_watch_required = enabled
        self._close_watch()
        if enabled:
            self.open_watch()
        else:
            self._close_former_watch()

    def fetch(self) -> None:
        """Request the complete list once."""
        self.counters["discovery_fetches"] += 1
        address_changes = self.address_changes
        self.calls.open(
            LIST_PATH, lambda call: self._handle_fetch_end(call, address_changes), None, CALL_TIMEOUT_US
        )

    # The watch

    def address_changed(self) -> None:
        """Open a watch at the registry's new address.

        Until the new watch answers, changes are still read from the last watch that answered, which is
        connected to a previous address.
        """
        self.is_new_address = True
        self.address_changes += 1
        if self.watch is not None and self.former_watch is not None and not self.has_watch_answered:
            # The watch did not answer before the address changed again. The former watch is kept.
            self._close_watch()
        elif self.watch is not None:
            self._close_former_watch()
            self.former_watch = self.watch
            self.watch = None
        self.open_watch()

    def open_watch(self) -> None:
        """Open a watch of the changes after the list's version.

        If the registry's versions may be numbered anew, as at a new address, the complete list is requested.
        """
        self.counters["discovery_watches"] += 1
        self.has_watch_answered = False
        self.watch_version = 0 if self.is_new_address else self.registry.version
        path = f"{LIST_PATH}?watch=1&after={self.watch_version}"
        self.watch = self.calls.open(path, self._handle_watch_end, self._handle_watch_line, CALL_TIMEOUT_US)

    def open_watch_if_due(self) -> None:
        """Open a watch if one is required and none is open."""
        if self.watch is None and self.is_watch_required:
            self.open_watch()

    def _close_watch(self) -> None:
        watch = self.watch
        self.watch = None
        if watch is not None:
            watch.close(ConnectionEnd.SUPERSEDED)

    def _close_former_watch(self) -> None:
        closing_watch = self.former_watch
        self.former_watch = None
        if closing_watch is not None:
            closing_watch.close(ConnectionEnd.SUPERSEDED)

    def _schedule_watch(self) -> None:
        """Schedule a watch if one is required and none is open, because the controller might not request one.

        The controller requests no watch if lists are pushed, or once it has received any list, even from a
        previous address or a fetch. Without this, the server might then never receive another change.
        """
        if self.watch is None and self.is_watch_required:
            self.schedule_watch(round(RETRY_DELAY_US * self.random_source.uniform(0.5, 1)))

    def _handle_watch_line(self, call: HttpCall, line: bytes) -> None:
        if call is not self.watch and call is not self.former_watch:
            return
        self.calls.extend(call, IDLE_TIMEOUT_US)
        # An empty line means that nothing has changed since the requested version. From a new address, the
        # complete list was requested, so an empty line is not the answer yet.
        if not line:
            if not self.is_new_address:
                self._publish_watch_changes(call)
            return
        try:
            endpoint_list = self.decoder.decode_list(line)
        except UnreadableListError as error:
            log_events.WATCH_EVENT_MALFORMED(why=str(error))
            call.close(ConnectionEnd.UNREADABLE)
            return
        is_update = not endpoint_list.get("all", False)
        if self._needs_complete_list(call, is_update, endpoint_list["rev"]):
            call.close(ConnectionEnd.UNREADABLE)
            return
        kind = ListKind.UPDATE if is_update else ListKind.REPLACE
        try:
            changes = self._update(endpoint_list, kind, self.watch_version if is_update else None)
        except VersionGapError:
            self.counters["discovery_gaps"] += 1
            call.close(ConnectionEnd.UNREADABLE)
            return
        self.watch_version = max(self.watch_version, endpoint_list["rev"])
        self._publish_watch_changes(call, changes)

    def _needs_complete_list(self, call: HttpCall, is_update: bool, version: int) -> bool:
        """Reset the list's version if the registry's versions are numbered anew.

        The versions are numbered anew at a new address, and after the registry was restored from a backup
        and continues from a lower version. Without the reset, its lists would never be accepted again. The
        drawback is that a list which arrives more than half a minute late is mistaken for one of a restored
        registry, until the next changes arrive.

        Returns:
            Whether the line can't be applied because it is an update to a list that the server does not have.
            If so, the watch has to be opened again to get the complete list.
        """
        is_lower_version = version < self.registry.version
        idle_us = self.registry.clock() - self.registry.updated_at
        is_restored = is_lower_version and idle_us > RESTORED_REGISTRY_IDLE_US
        if call is not self.watch or not (self.is_new_address or is_restored):
            return False
        self.is_new_address = is_update and is_lower_version
        # The old and new versions can't be compared, even if they happen to be equal.
        self.registry.version = 0
        self.watch_version = 0
        return self.is_new_address

    def _publish_watch_changes(self, call: HttpCall, changes: EndpointsListed | None = None) -> None:
        """Publish the changes that a watch brought.

        The first line of the current watch closes the former watch. It is published even without changes,
        because the controller waits for an answer.
        """
        is_first = call is self.watch and not self.has_watch_answered
        if is_first:
            self.has_watch_answered = True
            self._close_former_watch()
        if changes is not None or is_first:
            self.publish(changes or EndpointsListed(ListKind.UPDATE, ()))

    def _handle_watch_end(self, call: HttpCall) -> None:
        if call is self.former_watch:
            self.former_watch = None
        if call is not self.watch:
            return
        self.watch = None
        # A watch has no regular end, so a complete response is reported like a closed connection.
        end = ConnectionEnd.CLOSED if call.end is ConnectionEnd.ANSWERED else call.end
        self._report_failure(WATCH, end, call)
        if call.end is not ConnectionEnd.STOPPING and (self.is_pushed or self.former_watch is not None):
            self._schedule_watch()

    # Responses to a fetch

    def _handle_fetch_end(self, call: HttpCall, address_changes: int) -> None:
        if call.end is not ConnectionEnd.ANSWERED:
            self._report_failure(FETCH, call.end, call)
            return
        # The list's version is that of a previous address of the registry.
        if address_changes != self.address_changes:
            self._report_failure(FETCH, ConnectionEnd.DECLINED, call)
            return
        try:
            endpoint_list = self.decoder.decode_list(call.body)
        except UnreadableListError as error:
            log_events.ENDPOINT_LIST_MALFORMED(why=str(error))
            self._report_failure(FETCH, ConnectionEnd.UNREADABLE, call)
            return
        kind = ListKind.REPLACE if endpoint_list.get("all", True) else ListKind.UPDATE
        changes = self._update(endpoint_list, kind, None)
        self.publish(changes or EndpointsListed(ListKind.UPDATE, ()))
        self._schedule_watch()

    def _report_failure(self, purpose: str, end: ConnectionEnd | None, call: HttpCall) -> None:
        assert end is not None
        if end_event_type(purpose, end) is None:
            return
        self.counters[f"discovery_{end.name.lower()}"] += 1
        log_events.DISCOVERY_REQUEST_FAILED(
            purpose=purpose, end=end.value, status=f" ({call.status})" if call.status else ""
        )
        if not self.is_pushed:
            self.publish(WatchFailed())

    # Endpoint lists

    def _update(
        self, endpoint_list: dict, kind: ListKind, after_version: int | None
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
