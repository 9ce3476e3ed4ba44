"""Discovery as the pilot asks it: one answer for each call, changes while a watch lasts, its end told once."""

import random
from collections.abc import Callable

from ravenshelf import log_events
from ravenshelf.net.connection_end import FETCH, WATCH, ConnectionEnd, outcome
from ravenshelf.net.endpoint_codec import EndpointListDecoder, UnreadableListError
from ravenshelf.net.http import HttpCall
from ravenshelf.policy.events import EndpointsListed, ListKind, WatchFailed
from ravenshelf.state.counters import Counters
from ravenshelf.state.endpoint_registry import EndpointRegistry, VersionGapError

LIST = "/catalog/members"
CALL_TIMEOUT = 5_000_000  # a call that is not answered by then has failed
IDLE_TIMEOUT = 5_000_000  # an open watch says something every 2 s
RESTORED = (
    30_000_000  # what is told is told within 6 s: versions lower than ours for so long are the service's own
)
RETRY_DELAY = (
    1_000_000  # within this a watch that the module does not ask for is begun anew, not by all at one time
)


class RegistryClient:
    """`open_call(purpose, path, done, piece, by)` dials; `news(name, values)` tells the module."""

    def __init__(
        self,
        listing: EndpointRegistry,
        catalog: EndpointListDecoder,
        counters: Counters,
        open_call: Callable,
        news: Callable,
        pushed: bool,
        chance: random.Random,
    ):
        self.listing, self.catalog, self.counters = listing, catalog, counters
        self.open_call, self.news, self.pushed, self.chance = open_call, news, pushed, chance
        self.wanted = pushed  # whether there is to be a watch
        self.watch: HttpCall | None = None
        self.former: HttpCall | None = None  # at the address left behind, heard until the new one answers
        self.moves = 0
        self.moved = False  # whether the address is new: its versions may be others
        self.answered, self.after = False, 0
        self.extend: Callable = lambda call, time: None
        self.schedule: Callable = lambda time: None

    # --- what the module asks for ---

    def observe(self, on: bool) -> None:
        """A new watch takes the place of one that may not have answered; one at a former address is heard on."""
        if self.pushed:
            return
        self.wanted = on
        self._end_watch()
        if on:
            self.begin()
        else:
            self._leave_former()

    def move(self) -> None:
        """Discovery has another address. The watch that speaks is heard until one at the new address answers."""
        self.moved, self.moves = True, self.moves + 1
        if self.watch is not None and self.former is not None and not self.answered:
            self._end_watch()  # at an address between, that never spoke
        elif self.watch is not None:
            self._leave_former()
            self.former, self.watch = self.watch, None
        self.begin()

    def _leave_former(self) -> None:
        former, self.former = self.former, None
        if former is not None:
            former.close(ConnectionEnd.SUPERSEDED)

    def begin(self) -> None:
        """Versions count at the address that gave them: a new one is asked for all it has."""
        self.counters["discovery_watches"] += 1
        self.answered, self.after = False, 0 if self.moved else self.listing.version
        path = f"{LIST}?watch=1&after={self.after}"
        self.watch = self.open_call(WATCH, path, self._watch_ended, self._watch_said, CALL_TIMEOUT)

    def begin_if_due(self) -> None:
        if self.watch is None and self.wanted:
            self.begin()

    def _end_watch(self) -> None:
        watch, self.watch = self.watch, None
        if watch is not None:
            watch.close(ConnectionEnd.SUPERSEDED)

    def _schedule_watch(self) -> None:
        """Has a watch begun where the module may not ask: where lists are pushed, or come from elsewhere meanwhile.

        Guards against a list that never speaks again: any list is an answer to the module, which asks no more then."""
        if self.watch is None and self.wanted:
            self.schedule(round(RETRY_DELAY * self.chance.uniform(0.5, 1)))

    def fetch(self) -> None:
        self.counters["discovery_fetches"] += 1
        moves = self.moves
        self.open_call(FETCH, LIST, lambda call: self._fetched(call, moves), None, CALL_TIMEOUT)

    # --- what comes back ---

    def _watch_said(self, call: HttpCall, line: bytes) -> None:
        if call is not self.watch and call is not self.former:
            return
        self.extend(call, IDLE_TIMEOUT)
        if (
            not line
        ):  # nothing has changed since the version we hold, or at a new address: its list is to come
            if not self.moved:
                self._answers(call)
            return
        try:
            said = self.catalog.read(line)
        except UnreadableListError as why:
            log_events.WATCH_EVENT_MALFORMED(why=str(why))
            call.close(ConnectionEnd.UNREADABLE)
            return
        changes, lower = not said.get("all", False), said["rev"] < self.listing.version
        # guards against a registry that was restored from a backup, whose list would never be taken again; harm: a list that
        # is late by more than half a minute is taken for one, until the changes that follow
        restored = lower and self.listing.clock() - self.listing.updated_at > RESTORED
        if call is self.watch and (self.moved or restored):
            self.moved = changes and lower
            self.listing.version = self.after = (
                0  # versions of its own, which only by chance are as high as ours
            )
            if self.moved:  # only its whole list tells where it stands
                call.close(ConnectionEnd.UNREADABLE)
                return
        kind = ListKind.UPDATE if changes else ListKind.REPLACE
        try:
            taken = self._take(said, kind, self.after if changes else None)
        except VersionGapError:
            self.counters["discovery_gaps"] += 1
            call.close(ConnectionEnd.UNREADABLE)
            return
        self.after = max(self.after, said["rev"])
        self._answers(call, taken)

    def _answers(self, call: HttpCall, taken: EndpointsListed | None = None) -> None:
        """What a watch brought is news; the first it says is its answer, and lets the former go, even with no news."""
        first = call is self.watch and not self.answered
        if first:
            self.answered = True
            self._leave_former()
        if taken is not None or first:
            self.news(taken or EndpointsListed(ListKind.UPDATE, ()))

    def _watch_ended(self, call: HttpCall) -> None:
        if call is self.former:
            self.former = None
        if call is not self.watch:
            return
        self.watch = None
        end = (
            ConnectionEnd.CLOSED if call.end is ConnectionEnd.ANSWERED else call.end
        )  # a watch is never over by itself
        self._failed(WATCH, end, call)
        if call.end is not ConnectionEnd.STOPPING and (self.pushed or self.former is not None):
            self._schedule_watch()

    def _fetched(self, call: HttpCall, moves: int) -> None:
        if (
            call.end is not ConnectionEnd.ANSWERED or moves != self.moves
        ):  # the versions of an address that we left
            self._failed(
                FETCH, ConnectionEnd.DECLINED if call.end is ConnectionEnd.ANSWERED else call.end, call
            )
            return
        try:
            said = self.catalog.read(call.body)
        except UnreadableListError as why:
            log_events.ENDPOINT_LIST_MALFORMED(why=str(why))
            self._failed(FETCH, ConnectionEnd.UNREADABLE, call)
            return
        taken = self._take(said, ListKind.REPLACE if said.get("all", True) else ListKind.UPDATE, None)
        self.news(taken or EndpointsListed(ListKind.UPDATE, ()))
        self._schedule_watch()

    def _failed(self, purpose: str, end: ConnectionEnd, call: HttpCall) -> None:
        if outcome(purpose, end) is None:
            return
        self.counters[f"discovery_{end.name.lower()}"] += 1
        log_events.DISCOVERY_REQUEST_FAILED(
            purpose=purpose, end=end.value, status=f" ({call.status})" if call.status else ""
        )
        if not self.pushed:
            self.news(WatchFailed())

    def _take(self, said: dict, kind: ListKind, after: int | None) -> EndpointsListed | None:
        entries, addresses, broken = self.catalog.entries(said["targets"])
        for index, why in broken:
            self.counters["list_entries_broken"] += 1
            log_events.ENDPOINT_ENTRY_MALFORMED(why=why)
            if (
                kind is ListKind.REPLACE and index in self.listing.entries
            ):  # kept as it was: a slip is no removal
                entries.append(self.listing.entries[index])
        if kind is ListKind.REPLACE and any(index is None for index, _ in broken):
            had = {entry.endpoint for entry in entries}
            entries += [entry for index, entry in self.listing.entries.items() if index not in had]
        try:
            taken = self.listing.update(kind, said["rev"], entries, addresses, after)
        except VersionGapError:
            self.counters["lists_taken"] += 1
            raise
        self.counters["lists_taken" if taken else "lists_old"] += 1
        return taken
