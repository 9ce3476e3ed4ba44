"""What a record on disk costs: our journal against sqlite3 in WAL mode, both with a sync before each answer.

Records a second alone and in groups, time to open again with many entries, and bytes on disk.
"""

import argparse
import sqlite3
import tempfile
import time
from pathlib import Path

from benchmarks.measuring import close, quantile
from ravenshelf.store.journal import Journal

BODY = b"x" * 400


class Ours:
    def __init__(self, folder: Path):
        self.journal = Journal(folder, {"cluster": "b", "member": "b"})

    def append(self, changes: list) -> None:
        self.journal.append(changes)

    def close(self) -> int:
        self.journal.close()
        return len(self.journal.entries)


class Sqlite:
    def __init__(self, folder: Path):
        folder.mkdir(parents=True, exist_ok=True)
        self.base = sqlite3.connect(folder / "state.db", isolation_level=None)
        self.base.execute("PRAGMA journal_mode=WAL")
        self.base.execute("PRAGMA synchronous=FULL")
        self.base.execute("CREATE TABLE IF NOT EXISTS state (key INTEGER PRIMARY KEY, value BLOB)")

    def append(self, changes: list) -> None:
        self.base.execute("BEGIN")
        self.base.executemany(
            "INSERT INTO state VALUES (?, ?) ON CONFLICT (key) DO UPDATE SET value = excluded.value", changes
        )
        self.base.execute("COMMIT")

    def close(self) -> int:
        count = self.base.execute("SELECT count(*), max(length(value)) FROM state").fetchone()[0]
        self.base.close()
        return count


def measure(kind, group: int, count: int, keys: int) -> dict:
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name) / "state"
        store, waits, began = kind(folder), [], time.perf_counter()
        for start in range(0, count, group):
            at = time.perf_counter()
            store.append([((start + n) * 7919 % keys, BODY) for n in range(group)])
            waits.append(time.perf_counter() - at)
        took = time.perf_counter() - began
        store.close()
        size = sum(p.stat().st_size for p in folder.iterdir())
        at = time.perf_counter()
        entries = kind(folder).close()
        return {
            "records_a_second": round(count / took),
            "wait_ms_p50": round(quantile(waits, 0.5) * 1000, 3),
            "wait_ms_p99": round(quantile(waits, 0.99) * 1000, 3),
            "open_ms": round((time.perf_counter() - at) * 1000, 1),
            "entries": entries,
            "mb": round(size / 1e6, 2),
        }


def main(short: bool) -> None:
    count = 4_000 if short else 100_000
    figures: dict = {}
    for group in (1, 64):
        for turn in range(2):  # by turns in one run
            for name, kind in (("ours", Ours), ("sqlite", Sqlite)):
                found = measure(kind, group, count if group > 1 else count // 4, 20_000)
                had = figures.get(f"{name}_{group}")
                if had is None or found["records_a_second"] > had["records_a_second"]:
                    figures[f"{name}_{group}"] = found
    ratio = {
        group: round(
            figures[f"ours_{group}"]["records_a_second"] / figures[f"sqlite_{group}"]["records_a_second"], 2
        )
        for group in (1, 64)
    }
    figures["ratio"] = ratio
    close("store", figures, "no slower than sqlite3 alone or in groups of 64", min(ratio.values()) >= 1)


if __name__ == "__main__":
    options = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    options.add_argument("--short", action="store_true")
    main(options.parse_args().short)
