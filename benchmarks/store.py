"""Cost of a stored record: the journal compared with sqlite3 in WAL mode, both synced before they return.

The figures are the records per second, alone and in groups, the time to open a store with many entries,
and the bytes on disk.
"""

import argparse
import sqlite3
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, Protocol

from benchmarks.measuring import close, quantile
from ravenshelf.store.journal import Journal

RECORD_BODY = b"x" * 400
KEYS = 20_000
KEY_STRIDE = 7919  # a prime, so that the keys are not stored in ascending order
GROUPS = (1, 64)  # numbers of records that are stored together
RECORDS = 100_000
SHORT_RECORDS = 4_000
REPETITIONS = 2  # runs of each store, in alternation; the best run is reported


class Store(Protocol):
    """Map on disk from integer keys to bytes."""

    def append(self, changes: list[tuple[int, bytes]]) -> None:
        """Store the changes, and return once they are on disk."""

    def close(self) -> int:
        """Close the files, and return the number of entries."""


class JournalStore:
    """Journal of this program."""

    def __init__(self, folder: Path) -> None:
        self.journal = Journal(folder, {"cluster": "b", "member": "b"})

    def append(self, changes: list[tuple[int, bytes]]) -> None:
        """Store the changes, and return once they are on disk."""
        self.journal.append(changes)

    def close(self) -> int:
        """Close the files, and return the number of entries."""
        self.journal.close()
        return len(self.journal.entries)


class SqliteStore:
    """Table of sqlite3 in WAL mode."""

    def __init__(self, folder: Path) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self.database = sqlite3.connect(folder / "state.db", isolation_level=None)
        self.database.execute("PRAGMA journal_mode=WAL")
        self.database.execute("PRAGMA synchronous=FULL")
        self.database.execute("CREATE TABLE IF NOT EXISTS state (key INTEGER PRIMARY KEY, value BLOB)")

    def append(self, changes: list[tuple[int, bytes]]) -> None:
        """Store the changes, and return once they are on disk."""
        self.database.execute("BEGIN")
        self.database.executemany(
            "INSERT INTO state VALUES (?, ?) ON CONFLICT (key) DO UPDATE SET value = excluded.value", changes
        )
        self.database.execute("COMMIT")

    def close(self) -> int:
        """Close the files, and return the number of entries."""
        count = self.database.execute("SELECT count(*), max(length(value)) FROM state").fetchone()[0]
        self.database.close()
        return count


STORES: dict[str, Callable[[Path], Store]] = {"ours": JournalStore, "sqlite": SqliteStore}


def measure(open_store: Callable[[Path], Store], group: int, count: int) -> dict[str, Any]:
    """Store `count` records in groups, open the store again, and return the figures of both."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name) / "state"
        store = open_store(folder)
        wait_seconds = []
        started_at = time.perf_counter()
        for start in range(0, count, group):
            changes = [((start + offset) * KEY_STRIDE % KEYS, RECORD_BODY) for offset in range(group)]
            appended_at = time.perf_counter()
            store.append(changes)
            wait_seconds.append(time.perf_counter() - appended_at)
        elapsed = time.perf_counter() - started_at
        store.close()
        size = sum(path.stat().st_size for path in folder.iterdir())
        opened_at = time.perf_counter()
        entries = open_store(folder).close()
        return {
            "records_a_second": round(count / elapsed),
            "wait_ms_p50": round(quantile(wait_seconds, 0.5) * 1000, 3),
            "wait_ms_p99": round(quantile(wait_seconds, 0.99) * 1000, 3),
            "open_ms": round((time.perf_counter() - opened_at) * 1000, 1),
            "entries": entries,
            "mb": round(size / 1e6, 2),
        }


def measure_alternately(group: int, count: int) -> dict[str, dict[str, Any]]:
    """Measure the stores alternately, and return the best result of each by its name."""
    best: dict[str, dict[str, Any]] = {}
    for _ in range(REPETITIONS):
        for name, open_store in STORES.items():
            result = measure(open_store, group, count)
            best_result = best.get(name)
            if best_result is None or result["records_a_second"] > best_result["records_a_second"]:
                best[name] = result
    return best


def main(short: bool) -> None:
    """Print the figures and whether the journal is no slower than sqlite3."""
    count = SHORT_RECORDS if short else RECORDS
    figures: dict[str, Any] = {}
    ratio = {}
    for group in GROUPS:
        best = measure_alternately(group, count if group > 1 else count // 4)
        figures |= {f"{name}_{group}": result for name, result in best.items()}
        ratio[group] = round(best["ours"]["records_a_second"] / best["sqlite"]["records_a_second"], 2)
    figures["ratio"] = ratio
    close("store", figures, "no slower than sqlite3 alone or in groups of 64", min(ratio.values()) >= 1)


if __name__ == "__main__":
    options = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    options.add_argument("--short", action="store_true")
    main(options.parse_args().short)
