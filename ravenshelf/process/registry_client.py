"""The client of the endpoint registry: fetches and watches the endpoint list, reports each failure once."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ravenshelf import log_events
from ravenshelf.net.connection_end import FETCH, WATCH, ConnectionEnd, end_event_type
from ravenshelf.net.endpoint_codec import EndpointListDecoder, UnreadableListError
from ravenshelf.net.http import STATUS_OK, HttpCall
from ravenshelf.policy.events import EndpointsListed, Event, ListKind, WatchFailed
from ravenshelf.process.list_updates import ListUpdater
from ravenshelf.process.watch_set import WatchSet
from ravenshelf.state.counters import Counters
from ravenshelf.state.endpoint_registry import EndpointRegistry, VersionGapError

LIST_PATH = "/catalog/members"
CALL_TIMEOUT_US = 5_000_000  # A call that has no response after this time has failed.
# The registry sends a line at least this often on a watch.
KEEPALIVE_US = 2_000_000
# A watch that receives nothing for this long is silent, and another one is opened beside it.
IDLE_TIMEOUT_US = 5_000_000
# A silent watch is read for this long after its last line, because it may only be late.
SILENT_WATCH_TIMEOUT_US = 10_000_000
# While no watch answers, another one is opened at this interval, because a connection that was made while the
# network was cut off stays silent for good. It is reduced by a random share, so that not all servers connect
# at the same time.
REDIAL_INTERVAL_US = 600_000
REDIAL_SHARES = (0.8, 1.0)
# A change counts as known this long after the registry wrote it, whether or not it has arrived.
LONGEST_CUT_US = 6_000_000
# Watches are opened at the short interval for this long after the last line or the first attempt. Beyond
# that, the calls could overload a registry that is slow.
REDIAL_PERIOD_US = LONGEST_CUT_US + KEEPALIVE_US + 1_000_000
# After these ends the registry was reached, so another connection at once does not help.
ENDS_OF_REACHED_REGISTRY = (
    ConnectionEnd.ANSWERED,
    ConnectionEnd.CLOSED,
    ConnectionEnd.CUT_OFF,
    ConnectionEnd.DECLINED,
    ConnectionEnd.TOO_LONG,
    ConnectionEnd.UNREADABLE,
)
# If the list has not been updated for this long and a lower version arrives, the registry has been restored
# from a backup.
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


@dataclass
class WatchState:
    """What is known of an open watch.

    Attributes:
        version: Version of the endpoint list to which the next changes from the watch apply.
        opened_at: When the watch was opened, in microseconds.
    """

    version: int
    opened_at: int


class RegistryClient:
    """Client of the endpoint registry that updates the server's endpoint list and publishes its changes.

    Args:
        registry: The server's endpoint list, which is updated.
        decoder: Decoder of endpoint lists.
        counters: Counters of requests, failures and lists.
        calls: Opener of the HTTP calls.
        publish: Function that is called with each event.
        schedule_watch: Function that has `open_watch_if_due` called after a delay in microseconds.
        schedule_redial: Function that has `redial` called after a delay in microseconds, in place of an
            earlier request; with None, it is not called.
        is_pushed: Whether the registry pushes lists. If so, the client always keeps a watch open, and the
            controller requests none.
        reads_late_drains: Whether replaced watches are read for drains. They are needed where the removal of
            an endpoint tells less than its drain.
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
        schedule_redial: Callable[[int | None], None],
        is_pushed: bool,
        reads_late_drains: bool,
        random_source: random.Random,
    ):
        self.registry = registry
        self.decoder = decoder
        self.list_updater = ListUpdater(registry, decoder, counters)
        self.counters = counters
        self.calls = calls
        self.publish = publish
        self.schedule_watch = schedule_watch
        self.schedule_redial = schedule_redial
        self.is_pushed = is_pushed
        self.reads_late_drains = reads_late_drains
        self.random_source = random_source
        self.is_watch_required = is_pushed
        self.watches = WatchSet()
        self.watch_states: dict[HttpCall, WatchState] = {}
        self.address_changes = 0
        # Whether the registry's versions may be numbered anew, so that a watch has to request the complete
        # list. Set when the address changes, or when an update of a restored registry can't be applied; reset
        # by the first list that can be applied.
        self.is_new_address = False
        # When the short interval between attempts ends; None before the first attempt.
        self.redial_until: int | None = None

    # Requests of the controller

    def watch_endpoints(self, enabled: bool) -> None:
        """Replace the watch by a new one, or close it; does nothing if the registry pushes lists.

        With `enabled`, a watch that answered before the present one was opened stays open until the new one
        answers.
        """
        if self.is_pushed:
            return
        self.is_watch_required = enabled
        self.watches.close_attempts()
        if enabled:
            self.open_watch()
        else:
            self.schedule_redial(None)
            self.watches.close_all()

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
        self.redial_until = None
        self.watches.begin_move()
        self.open_watch()

    def open_watch(self) -> None:
        """Open a watch of the changes after the list's version; another one follows if it does not answer.

        If the registry's versions may be numbered anew, as at a new address, the complete list is requested.
        """
        self.counters["discovery_watches"] += 1
        version = 0 if self.is_new_address else self.registry.version
        path = f"{LIST_PATH}?watch=1&after={version}"
        call = self.calls.open(path, self._handle_watch_end, self._handle_watch_line, CALL_TIMEOUT_US)
        now = self.registry.clock()
        self.watch_states[call] = WatchState(version, now)
        self.watches.add(call)
        if self.redial_until is None:
            self.redial_until = now + REDIAL_PERIOD_US
        interval = REDIAL_INTERVAL_US if self._is_redial_period() else CALL_TIMEOUT_US
        self.schedule_redial(round(interval * self.random_source.uniform(*REDIAL_SHARES)))

    def open_watch_if_due(self) -> None:
        """Open a watch if one is required and none is open."""
        if self.watches.current is None and self.is_watch_required:
            self.open_watch()

    def redial(self) -> None:
        """Open a watch beside one that is silent or has not answered, or after one that has failed.

        An attempt whose response has begun counts as silent only when it has been open for `IDLE_TIMEOUT_US`:
        its first line may be an empty one, which comes later.
        """
        silent_in = self._attempts_silent_at() - self.registry.clock()
        if silent_in > 0:
            self.schedule_redial(silent_in)
        elif self.watches.current is not None or (self.is_watch_required and self._is_redial_period()):
            self.counters["discovery_redials"] += 1
            self.open_watch()

    def _attempts_silent_at(self) -> int:
        """Return when the last attempt whose response has begun counts as silent; 0: there is none."""
        begun_attempts = [call for call in self.watches.attempts() if call.status == STATUS_OK]
        opening_times = (self.watch_states[call].opened_at for call in begun_attempts)
        return max((opened_at + IDLE_TIMEOUT_US for opened_at in opening_times), default=0)

    def _is_redial_period(self) -> bool:
        return self.redial_until is not None and self.registry.clock() < self.redial_until

    def _schedule_watch(self) -> None:
        """Schedule a watch if one is required and none is open, because the controller might not request one.

        The controller requests no watch if lists are pushed, or once it has received any list, even from a
        previous address or a fetch. Without this, the server might then never receive another change.
        """
        if self.watches.current is None and self.is_watch_required:
            self.schedule_watch(round(RETRY_DELAY_US * self.random_source.uniform(0.5, 1)))

    def _handle_watch_line(self, call: HttpCall, line: bytes) -> None:
        watches = self.watches
        if call in watches.replaced:
            self._handle_late_line(line)
            return
        if call is watches.former and watches.is_former_silent:
            watches.resume_former()
        if watches.is_attempt_or_current(call):
            watches.prefer(call)
            self.redial_until = self.registry.clock() + REDIAL_PERIOD_US
            self.schedule_redial(IDLE_TIMEOUT_US)
        elif call is not watches.former:
            return
        self.calls.extend(call, SILENT_WATCH_TIMEOUT_US)
        # An empty line means that nothing has changed since the requested version. From a new address, the
        # complete list was requested, so an empty line is not the answer yet.
        if not line:
            if not self.is_new_address:
                self._publish_watch_changes(call)
            return
        self._handle_watched_list(call, line)

    def _handle_watched_list(self, call: HttpCall, line: bytes) -> None:
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
        after_version = self.watch_states[call].version if is_update else None
        try:
            changes = self.list_updater.update(endpoint_list, kind, after_version)
        except VersionGapError:
            self.counters["discovery_gaps"] += 1
            call.close(ConnectionEnd.UNREADABLE)
            return
        state = self.watch_states[call]
        state.version = max(state.version, endpoint_list["rev"])
        self._publish_watch_changes(call, changes)

    def _handle_late_line(self, line: bytes) -> None:
        """Publish the drains that a replaced watch brings; everything else in the line is outdated."""
        try:
            endpoint_list = self.decoder.decode_list(line)
        except UnreadableListError:
            return
        late_drains = self.list_updater.record_late_drains(endpoint_list)
        if late_drains is not None:
            self.counters["discovery_late_drains"] += 1
            self.publish(late_drains)

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
        if call is not self.watches.current or not (self.is_new_address or is_restored):
            return False
        self.is_new_address = is_update and is_lower_version
        # The old and new versions can't be compared, even if they happen to be equal.
        self.registry.version = 0
        self.watch_states[call].version = 0
        return self.is_new_address

    def _publish_watch_changes(self, call: HttpCall, changes: EndpointsListed | None = None) -> None:
        """Publish the changes that a watch brought.

        The first line of the current watch replaces the former watch. It is published even without changes,
        because the controller waits for an answer.
        """
        is_first = call is self.watches.current and not self.watches.has_answered
        if is_first:
            replaced_watch = self.watches.record_answer(self.reads_late_drains)
            if replaced_watch is not None:
                self.calls.extend(replaced_watch, LONGEST_CUT_US)
        if changes is not None or is_first:
            self.publish(changes or EndpointsListed(ListKind.UPDATE, ()))

    def _handle_watch_end(self, call: HttpCall) -> None:
        state = self.watch_states.pop(call, None)
        is_attempt_or_current = self.watches.is_attempt_or_current(call)
        self.watches.remove(call)
        if not is_attempt_or_current:
            return
        # A watch has no regular end, so a complete response is reported like a closed connection.
        end = ConnectionEnd.CLOSED if call.end is ConnectionEnd.ANSWERED else call.end
        assert end is not None
        if self.watches.current is not None:  # Another attempt may still answer.
            self._record_failure(WATCH, end, call)
            if end is ConnectionEnd.NO_CAPACITY:  # The next attempt needs a slot.
                self.watches.close_oldest_attempt()
            return
        if end in ENDS_OF_REACHED_REGISTRY or (end is ConnectionEnd.REFUSED and self._is_new(state)):
            self.schedule_redial(None)
        self._report_failure(WATCH, end, call)
        if end is not ConnectionEnd.STOPPING and (self.is_pushed or self.watches.former is not None):
            self._schedule_watch()

    def _is_new(self, state: WatchState | None) -> bool:
        """Return whether a watch was opened just now.

        A refusal at once shows that the registry was reached. One that comes later ends a connection that was
        made during a cut.
        """
        return state is not None and self.registry.clock() - state.opened_at < REDIAL_INTERVAL_US

    # Responses to a fetch

    def _handle_fetch_end(self, call: HttpCall, address_changes: int) -> None:
        assert call.end is not None
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
        changes = self.list_updater.update(endpoint_list, kind, None)
        self.publish(changes or EndpointsListed(ListKind.UPDATE, ()))
        self._schedule_watch()

    def _report_failure(self, purpose: str, end: ConnectionEnd, call: HttpCall) -> None:
        """Record a failure and report it to the controller, unless the registry pushes lists."""
        if self._record_failure(purpose, end, call) and not self.is_pushed:
            self.publish(WatchFailed())

    def _record_failure(self, purpose: str, end: ConnectionEnd, call: HttpCall) -> bool:
        """Log and count the end of a call, and return whether it is a failure."""
        if end_event_type(purpose, end) is None:
            return False
        self.counters[f"discovery_{end.name.lower()}"] += 1
        log_events.DISCOVERY_REQUEST_FAILED(
            purpose=purpose, end=end.value, status=f" ({call.status})" if call.status else ""
        )
        return True
