"""Group commit: changes that arrive while a thread writes to disk are stored together by its next write."""

import threading
from collections.abc import Callable
from queue import SimpleQueue
from typing import NamedTuple, TypeAlias

from ravenshelf.store.journal import Entry, Journal

MAX_COMMITS_PER_BATCH = 1024  # a batch of commits is stored by one write and one sync
CLOSE_TIMEOUT_S = 2.0

CommitCallback: TypeAlias = Callable[[Exception | None], None]


class Commit(NamedTuple):
    """Changes to store, and the callback for their result."""

    changes: list[Entry]
    callback: CommitCallback


class Committer:
    """A thread that commits changes to a journal, several commits with one sync.

    `commit_count` and `batch_count` are totals since the start.
    """

    def __init__(self, journal: Journal, call_in_loop: Callable[[Callable[[], None]], None]) -> None:
        """Start the thread.

        Args:
            journal: The journal that is written.
            call_in_loop: Function that the thread calls with a callback, and that runs the callback in the
                event loop.
        """
        self.journal = journal
        self.commit_count = 0
        self.batch_count = 0
        self._call_in_loop = call_in_loop
        self._queue: SimpleQueue[Commit | None] = SimpleQueue()  # a None in the queue ends the thread
        self._thread = threading.Thread(target=self._run, name="store", daemon=True)
        self._thread.start()

    def commit(self, changes: list[Entry], callback: CommitCallback) -> None:
        """Queue changes to be stored, and return at once.

        Args:
            changes: (key, value) pairs; a value of None removes the key.
            callback: Function that is called in the event loop, in the order of the commits. Its argument is
                None once the changes are on disk, or the error. After one failure all later commits fail.
        """
        self._queue.put(Commit(changes, callback))

    def _run(self) -> None:
        while (first_commit := self._queue.get()) is not None:
            batch = self._collect_batch(first_commit)
            error = self._write([change for commit in batch for change in commit.changes])
            self.commit_count += len(batch)
            self.batch_count += 1
            self._report_result(batch, error)

    def _collect_batch(self, first_commit: Commit) -> list[Commit]:
        batch = [first_commit]
        while not self._queue.empty() and len(batch) < MAX_COMMITS_PER_BATCH:
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
        except (
            Exception
        ) as error:  # passed to the callbacks, because unsynced changes must not be acknowledged
            return error
        return None

    def _report_result(self, batch: list[Commit], error: Exception | None) -> None:
        def call_callbacks() -> None:
            """Report the result of the batch to each commit, on the event loop."""
            for commit in batch:
                commit.callback(error)

        self._call_in_loop(call_callbacks)

    def close(self) -> None:
        """End the thread after the commits that are queued, and wait up to CLOSE_TIMEOUT_S seconds for it."""
        self._queue.put(None)
        self._thread.join(CLOSE_TIMEOUT_S)
