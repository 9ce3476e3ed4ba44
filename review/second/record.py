"""The record of a run: one line for each thing that was sent, answered or run."""

import time
from pathlib import Path


class Record:
    """The file `record.txt` of a case; times are seconds since its start.

    Each line is written out at once, so that a run that is ended early leaves what happened before.
    """

    def __init__(self, path: Path):
        self._file = path.open("w", encoding="utf-8", buffering=1)
        self.started_at = time.monotonic()

    def write(self, kind: str, **fields: object) -> None:
        """Add a line."""
        words = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{time.monotonic() - self.started_at:8.3f} {kind} {words}\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()
