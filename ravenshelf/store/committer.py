"""Group commit on a thread of its own: what arrives while the disk is at work goes to it together."""

import threading
from collections.abc import Callable
from queue import SimpleQueue
from typing import NamedTuple, TypeAlias

from ravenshelf.store.journal import Entry, Journal

BATCH_LIMIT = 1024  # commits that go to disk together
CLOSE_TIMEOUT_S = 2.0

CommitCallback: TypeAlias = Callable[[Exception | None], None]


class Commit(NamedTuple):
    """Changes, and what to call once they are on disk."""

    changes: list[Entry]
    callback: CommitCallback


class Committer:
    """Commits changes to a journal. `call_in_loop` brings a call from this thread to the event loop."""

    def __init__(self, journal: Journal, call_in_loop: Callable[[Callable[[], None]], None]) -> None:
        self.journal = journal
        self.commits = 0
        self.batches = 0
        self._call_in_loop = call_in_loop
        self._queue: SimpleQueue[Commit | None] = SimpleQueue()  # None: the end
        self._thread = threading.Thread(target=self._run, name="store", daemon=True)
        self._thread.start()

    def commit(self, changes: list[Entry], callback: CommitCallback) -> None:
        """Stores changes; `callback` is called in the event loop, in the order of the commits.

        It gets None once they are on disk, or the error; after one failure all fail.
        """
        self._queue.put(Commit(changes, callback))

    def _run(self) -> None:
        while (first := self._queue.get()) is not None:
            batch = self._batch(first)
            error = self._write([change for commit in batch for change in commit.changes])
            self.commits += len(batch)
            self.batches += 1
            self._report(batch, error)

    def _batch(self, first: Commit) -> list[Commit]:
        batch = [first]
        while not self._queue.empty() and len(batch) < BATCH_LIMIT:
            commit = self._queue.get()
            if commit is None:
                self._queue.put(None)
                break
            batch.append(commit)
        return batch

    def _write(self, changes: list[Entry]) -> Exception | None:
        try:
            if changes:
                self.journal.append(changes)
        except Exception as error:  # reported to the callers: what was not synced must not be acknowledged
            return error
        return None

    def _report(self, batch: list[Commit], error: Exception | None) -> None:
        def call_all() -> None:
            for commit in batch:
                commit.callback(error)

        self._call_in_loop(call_all)

    def close(self) -> None:
        """Ends the thread once all commits so far are done."""
        self._queue.put(None)
        self._thread.join(CLOSE_TIMEOUT_S)
