"""Group commit: what comes while the disk is at work goes to it together, on a thread of its own."""

import threading
from collections.abc import Callable
from queue import SimpleQueue
from typing import Any

from ravenshelf.store.journal import Journal


class Committer:
    """`back(call)` brings a call to the loop. `commit(changes, done)`: `done(why)` is called there in the order of the
    commits, with None once they are on disk, or with why they are not; after one failure all fail."""

    def __init__(self, journal: Journal, back: Callable[[Callable[[], None]], None]):
        self.journal, self.back = journal, back
        self.queue: SimpleQueue = SimpleQueue()
        self.commits = self.batches = 0
        self.thread = threading.Thread(target=self._run, name="store", daemon=True)
        self.thread.start()

    def commit(self, changes: list[tuple[Any, Any]], done: Callable[[Exception | None], None]) -> None:
        self.queue.put((changes, done))

    def _run(self) -> None:
        while (first := self.queue.get()) is not None:
            batch = [first]
            while not self.queue.empty() and len(batch) < 1024:
                more = self.queue.get()
                if more is None:
                    self.queue.put(None)
                    break
                batch.append(more)
            why = None
            try:
                changes = [change for changes, _ in batch for change in changes]
                if changes:
                    self.journal.append(changes)
            except Exception as failed:  # told to whoever waits; what was not synced must not be answered for
                why = failed
            self.commits += len(batch)
            self.batches += 1
            self.back(lambda batch=batch, why=why: [done(why) for _, done in batch])

    def close(self) -> None:
        self.queue.put(None)
        self.thread.join(2)
