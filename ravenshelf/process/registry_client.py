"""The client of the endpoint registry: requests the list, watches it, and reports each failure once."""

import random
from collections.abc import Callable
from typing import Protocol

from ravenshelf import log_events
from ravenshelf.net.connection_end import FETCH, WATCH, ConnectionEnd, outcome
from ravenshelf.net.endpoint_codec import EndpointListDecoder, UnreadableListError
from ravenshelf.net.http import HttpCall
from ravenshelf.policy.events import EndpointsListed, Event, ListKind, WatchFailed
from ravenshelf.state.counters import Counters
from ravenshelf.state.endpoint_registry import EndpointRegistry, VersionGapError

LIST_PATH = "/catalog/members"
CALL_TIMEOUT_US = 5_000_000  # a call that is not answered by then has failed
IDLE_TIMEOUT_US = 5_000_000  # an open watch says something every 2 s
# a change arrives within 6 s: versions lower than ours for so long are of a registry that was restored
RESTORED_AFTER_US = 30_000_000
# within this a watch that the controller does not request is opened again, not by all servers at one time
RETRY_DELAY_US = 1_000_000


class CallOpener(Protocol):
    """Opens calls to the endpoint registry; see `OutgoingCalls`."""

    def open(
        self,
        path: str,
        done: Callable[[HttpCall], None],
        on_line: Callable[[HttpCall, bytes], None] | None,
        timeout_us: int,
        address: str | None = None,
    ) -> HttpCall:
        """Open a call."""

    def extend(self, call: HttpCall, timeout_us: int) -> None:
        """Move an open call's deadline."""


class RegistryClient:
    """Keeps `registry` up to date and publishes what changed.

    `is_pushed`: the registry pushes lists, so a watch is always wanted and the controller requests none.
    `schedule_watch(wait_us)` has `open_watch_if_due` called after a time.
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
        self.is_watch_wanted = is_pushed
        self.watch: HttpCall | None = None
        self.former_watch: HttpCall | None = None  # at the former address, read until the new one answers
        self.address_changes = 0
        self.is_new_address = False  # its versions may be others
        self.has_watch_answered = False
        self.watch_version = 0  # that the watch's next changes follow

    # --- what the controller requests ---

    def watch_endpoints(self, enabled: bool) -> None:
        """Open a new watch in place of one that may not have answered, or close it.

        A watch at a former address is read on.
        """
        if self.is_pushed:
            return
        self.is_watch_wanted = enabled
        self._close_watch()
        if enabled:
            self.open_watch()
        else:
            self._close_former_watch()

    def fetch(self) -> None:
        """Request the complete list once."""
        self.counters["discovery_fetches"] += 1
        address_changes = self.address_changes
        self.calls.open(LIST_PATH, lambda call: self._fetched(call, address_changes), None, CALL_TIMEOUT_US)

    # --- the watch ---

    def address_changed(self) -> None:
        """Open a watch at a new address; the one that speaks is read until the new one answers."""
        self.is_new_address = True
        self.address_changes += 1
        if self.watch is not None and self.former_watch is not None and not self.has_watch_answered:
            self._close_watch()  # at an address between, that never answered
        elif self.watch is not None:
            self._close_former_watch()
            self.former_watch = self.watch
            self.watch = None
        self.open_watch()

    def open_watch(self) -> None:
        """Open a watch from the version held; a new address, whose versions are its own, is asked for all."""
        self.counters["discovery_watches"] += 1
        self.has_watch_answered = False
        self.watch_version = 0 if self.is_new_address else self.registry.version
        path = f"{LIST_PATH}?watch=1&after={self.watch_version}"
        self.watch = self.calls.open(path, self._watch_ended, self._watch_line, CALL_TIMEOUT_US)

    def open_watch_if_due(self) -> None:
        """Open a watch where one is wanted and none is open."""
        if self.watch is None and self.is_watch_wanted:
            self.open_watch()

    def _close_watch(self) -> None:
        watch = self.watch
        self.watch = None
        if watch is not None:
            watch.close(ConnectionEnd.SUPERSEDED)

    def _close_former_watch(self) -> None:
        former = self.former_watch
        self.former_watch = None
        if former is not None:
            former.close(ConnectionEnd.SUPERSEDED)

    def _schedule_watch(self) -> None:
        """Have a watch opened where the controller may not request one.

        That is where lists are pushed, or come from elsewhere meanwhile. It guards against a list that never
        speaks again: any list is an answer to the controller, which then requests no more.
        """
        if self.watch is None and self.is_watch_wanted:
            self.schedule_watch(round(RETRY_DELAY_US * self.random_source.uniform(0.5, 1)))

    def _watch_line(self, call: HttpCall, line: bytes) -> None:
        if call is not self.watch and call is not self.former_watch:
            return
        self.calls.extend(call, IDLE_TIMEOUT_US)
        if not line:  # nothing changed since the version held; of a new address, the list is still to come
            if not self.is_new_address:
                self._watch_answered(call)
            return
        try:
            listed = self.decoder.read(line)
        except UnreadableListError as error:
            log_events.WATCH_EVENT_MALFORMED(why=str(error))
            call.close(ConnectionEnd.UNREADABLE)
            return
        is_update = not listed.get("all", False)
        if self._needs_complete_list(call, is_update, listed["rev"]):
            call.close(ConnectionEnd.UNREADABLE)
            return
        kind = ListKind.UPDATE if is_update else ListKind.REPLACE
        try:
            changed = self._update(listed, kind, self.watch_version if is_update else None)
        except VersionGapError:
            self.counters["discovery_gaps"] += 1
            call.close(ConnectionEnd.UNREADABLE)
            return
        self.watch_version = max(self.watch_version, listed["rev"])
        self._watch_answered(call, changed)

    def _needs_complete_list(self, call: HttpCall, is_update: bool, version: int) -> bool:
        """Forget the version held where the registry counts anew; return whether changes can't be taken then.

        A registry that was restored from a backup counts on from a lower version: without this, its list
        would never be taken again. The price: a list that is late by more than half a minute is taken for
        one, until the changes that follow.
        """
        is_lower = version < self.registry.version
        idle_us = self.registry.clock() - self.registry.updated_at
        is_restored = is_lower and idle_us > RESTORED_AFTER_US
        if call is not self.watch or not (self.is_new_address or is_restored):
            return False
        self.is_new_address = is_update and is_lower
        self.registry.version = 0  # the versions of the new one are as high as ours by random_source only
        self.watch_version = 0
        return self.is_new_address

    def _watch_answered(self, call: HttpCall, changed: EndpointsListed | None = None) -> None:
        """Publish what a watch brought; its first line, even without news, ends the former watch."""
        is_first = call is self.watch and not self.has_watch_answered
        if is_first:
            self.has_watch_answered = True
            self._close_former_watch()
        if changed is not None or is_first:
            self.publish(changed or EndpointsListed(ListKind.UPDATE, ()))

    def _watch_ended(self, call: HttpCall) -> None:
        if call is self.former_watch:
            self.former_watch = None
        if call is not self.watch:
            return
        self.watch = None
        # a watch is never complete by itself
        end = ConnectionEnd.CLOSED if call.end is ConnectionEnd.ANSWERED else call.end
        self._report_failure(WATCH, end, call)
        if call.end is not ConnectionEnd.STOPPING and (self.is_pushed or self.former_watch is not None):
            self._schedule_watch()

    # --- the answer to a request ---

    def _fetched(self, call: HttpCall, address_changes: int) -> None:
        if call.end is not ConnectionEnd.ANSWERED:
            self._report_failure(FETCH, call.end, call)
            return
        if address_changes != self.address_changes:  # the versions are those of a former address
            self._report_failure(FETCH, ConnectionEnd.DECLINED, call)
            return
        try:
            listed = self.decoder.read(call.body)
        except UnreadableListError as error:
            log_events.ENDPOINT_LIST_MALFORMED(why=str(error))
            self._report_failure(FETCH, ConnectionEnd.UNREADABLE, call)
            return
        kind = ListKind.REPLACE if listed.get("all", True) else ListKind.UPDATE
        changed = self._update(listed, kind, None)
        self.publish(changed or EndpointsListed(ListKind.UPDATE, ()))
        self._schedule_watch()

    def _report_failure(self, purpose: str, end: ConnectionEnd | None, call: HttpCall) -> None:
        assert end is not None
        if outcome(purpose, end) is None:
            return
        self.counters[f"discovery_{end.name.lower()}"] += 1
        log_events.DISCOVERY_REQUEST_FAILED(
            purpose=purpose, end=end.value, status=f" ({call.status})" if call.status else ""
        )
        if not self.is_pushed:
            self.publish(WatchFailed())

    # --- lists ---

    def _update(self, listed: dict, kind: ListKind, after_version: int | None) -> EndpointsListed | None:
        """Take a list into the registry; a malformed entry stays as it was: a slip is no removal."""
        entries, addresses, malformed = self.decoder.entries(listed["targets"])
        for index, reason in malformed:
            self.counters["list_entries_malformed"] += 1
            log_events.ENDPOINT_ENTRY_MALFORMED(why=reason)
            if kind is ListKind.REPLACE and index is not None and index in self.registry.entries:
                entries.append(self.registry.entries[index])
        if kind is ListKind.REPLACE and any(index is None for index, _ in malformed):
            present = {entry.endpoint for entry in entries}
            held = self.registry.entries.items()
            entries += [entry for index, entry in held if index not in present]
        try:
            changed = self.registry.update(kind, listed["rev"], entries, addresses, after_version)
        except VersionGapError:
            self.counters["lists_taken"] += 1
            raise
        self.counters["lists_taken" if changed else "lists_outdated"] += 1
        return changed
