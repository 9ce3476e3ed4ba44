"""Discovery as the pilot asks it: one answer for each call, changes while a watch lasts, its end told once."""
from typing import Callable

from ravenshelf import events
from ravenshelf.memory.counters import Counters
from ravenshelf.memory.listing import Listing
from ravenshelf.net.catalog import Catalog, Unreadable
from ravenshelf.net.ends import FETCH, WATCH, End, outcome
from ravenshelf.net.http import Call

LIST = "/catalog/members"
ANSWER_BY = 5_000_000       # a call that is not answered by then has failed
SILENCE = 5_000_000         # an open watch says something every 2 s
AGAIN = 1_000_000           # after this a watch that the pilot keeps by itself is begun anew


class Discovery:
    """`open_call(purpose, path, done, piece, by)` dials; `news(name, values)` tells the module."""

    def __init__(self, listing: Listing, catalog: Catalog, counters: Counters, open_call: Callable,
                 news: Callable, pushed: bool):
        self.listing, self.catalog, self.counters = listing, catalog, counters
        self.open_call, self.news, self.pushed = open_call, news, pushed
        self.watch: Call | None = None
        self.former: Call | None = None     # at the address left behind, heard until the new one answers
        self.moved = False                  # whether the address is new: its versions may be others
        self.answered, self.after, self.again = False, 0, None
        self.extend: Callable = lambda call, time: None
        self.later: Callable = lambda time: None

    # --- what the module asks for ---

    def observe(self, on: bool) -> None:
        if self.pushed:
            return
        self.end_watch()
        if on:
            self.begin()

    def move(self) -> None:
        """Discovery has another address. What is open at the old one is heard until the new one answers."""
        self.moved = True
        if self.watch is not None:
            self._leave_former()
            self.former, self.watch = self.watch, None
        self.begin()

    def _leave_former(self) -> None:
        former, self.former = self.former, None
        if former is not None:
            former.close(End.SUPERSEDED)

    def begin(self) -> None:
        self.counters["discovery_watches"] += 1
        self.answered, self.after = False, self.listing.rev
        path = f"{LIST}?watch=1&after={self.listing.rev}"
        self.watch = self.open_call(WATCH, path, self._watch_ended, self._watch_said, ANSWER_BY)

    def end_watch(self) -> None:
        self._leave_former()
        watch, self.watch = self.watch, None
        if watch is not None:
            watch.close(End.SUPERSEDED)

    def fetch(self) -> None:
        self.counters["discovery_fetches"] += 1
        self.open_call(FETCH, LIST, self._fetched, None, ANSWER_BY)

    # --- what comes back ---

    def _watch_said(self, call: Call, line: bytes) -> None:
        if call is self.watch:
            self._leave_former()
        elif call is not self.former:
            return
        self.extend(call, SILENCE)
        if not line:
            self.moved = self.moved and call is not self.watch
            if not self.answered:       # nothing has changed since the version we hold
                self.answered = True
                self.news("listed", ("update", ()))
            return
        try:
            said = self.catalog.read(line)
        except Unreadable as why:
            events.WATCH_UNREADABLE(why=str(why))
            call.close(End.UNREADABLE)
            return
        changes = not said.get("all", False)
        if call is self.watch and self.moved:
            self.moved = False
            if said["rev"] < self.listing.rev:      # versions of its own: only its whole list tells where it stands
                self.listing.rev = self.after = 0
                if changes:
                    call.close(End.UNREADABLE)
                    return
        taken = self._take(said, "update" if changes else "replace", self.after if changes else None)
        if taken == "gap":
            self.counters["discovery_gaps"] += 1
            call.close(End.UNREADABLE)
            return
        self.after = max(self.after, said["rev"])
        if taken is not None:
            self.news("listed", taken)
        elif not self.answered:
            self.news("listed", ("update", ()))
        self.answered = True

    def _watch_ended(self, call: Call) -> None:
        if call is self.former:
            self.former = None
        if call is not self.watch:
            return
        self.watch = None
        end = End.CLOSED if call.end is End.ANSWERED else call.end     # a watch is never over by itself
        self._failed(WATCH, end, call)
        if self.pushed and call.end is not End.STOPPING:
            self.later(AGAIN)

    def _fetched(self, call: Call) -> None:
        if call.end is not End.ANSWERED:
            self._failed(FETCH, call.end, call)
            return
        try:
            said = self.catalog.read(call.body)
        except Unreadable as why:
            events.LIST_UNREADABLE(why=str(why))
            self._failed(FETCH, End.UNREADABLE, call)
            return
        taken = self._take(said, "replace" if said.get("all", True) else "update", None)
        self.news("listed", taken or ("update", ()))

    def _failed(self, purpose: str, end: End, call: Call) -> None:
        name = outcome(purpose, end)
        if name is None:
            return
        self.counters[f"discovery_{end.name.lower()}"] += 1
        events.DISCOVERY_ENDED(purpose=purpose, end=end.value, status=f" ({call.status})" if call.status else "")
        if not self.pushed:
            self.news(name, ())

    def _take(self, said: dict, how: str, after: int | None):
        entries, addresses, broken = self.catalog.entries(said["targets"])
        for index, why in broken:
            self.counters["list_entries_broken"] += 1
            events.ENTRY_BROKEN(why=why)
            if how == "replace" and index in self.listing.entries:      # kept as it was: a slip is no removal
                entries.append(self.listing.entries[index])
        if how == "replace" and any(index is None for index, _ in broken):
            had = {entry[0] for entry in entries}
            entries += [entry for index, entry in self.listing.entries.items() if index not in had]
        taken = self.listing.take(how, said["rev"], entries, addresses, after)
        self.counters["lists_taken" if taken else "lists_old"] += 1
        return taken
