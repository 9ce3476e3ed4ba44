"""Log lines on standard error: bounded in rate, written by a thread so that a full pipe never blocks the loop."""

import json
import queue
import sys
import threading
import time
from collections.abc import Callable
from datetime import UTC

from loguru import logger

from ravenshelf.log_events import LEVELS

__all__ = ["LEVELS", "Sink", "start"]
A_SECOND, BURST, WAITING = 20, 200, 1000
FLUSH_TIMEOUT = (
    0.15  # seconds for the last lines; with the 0.25 that streams may take, well within the 0.7 until SIGKILL
)


class Sink:
    """`form` is "text" or "json"; it may change while the log is written. It must have no method `write`: loguru
    would take it for a file and call that, past the bound and the thread."""

    def __init__(self, out: Callable[[str], None], form: str = "text"):
        self.lines, self.out, self.lost, self.form = queue.Queue(WAITING), out, 0, form
        self.left, self.at = float(BURST), 0.0
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def __call__(self, message) -> None:
        at = message.record["time"].timestamp()
        self.left = min(BURST, self.left + max(0.0, at - self.at) * A_SECOND) if self.at else self.left
        self.at = at
        if self.left < 1 and message.record["level"].no < 40:
            self.lost += 1
            return
        self.left = max(0.0, self.left - 1)
        if self.form == "json":
            text = as_json(message.record, self.lost)
        else:
            text = f"({self.lost} lines left out) {message}" if self.lost else str(message)
        try:
            self.lines.put_nowait(text)
            self.lost = 0
        except queue.Full:
            self.lost += 1

    def _run(self) -> None:
        while (text := self.lines.get()) is not None:
            try:
                self.out(text)
            except (OSError, ValueError):
                pass  # nobody reads; the pilot goes on

    def finish(self, seconds: float) -> None:
        """Writes what waits, for so long at most."""
        by = time.monotonic() + seconds
        try:
            self.lines.put(None, timeout=seconds)
        except queue.Full:
            return
        self.thread.join(max(0.0, by - time.monotonic()))


def as_json(record: dict, lost: int = 0) -> str:
    """One object: when, level, the event's stable name, its fields, its words."""
    said = {
        "at": record["time"].astimezone(UTC).isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        "event": "",
        **record["extra"],
        "message": record["message"],
    }
    if record["exception"] is not None:
        from traceback import format_exception

        why = record["exception"]
        said["trace"] = "".join(format_exception(why.type, why.value, why.traceback))
    if lost:
        said["left_out"] = lost
    return json.dumps(said, default=str) + "\n"


def start(level: str, form: str = "text", write: Callable[[str], None] | None = None) -> Sink:
    def stderr(text: str) -> None:
        sys.stderr.write(text)
        sys.stderr.flush()

    sink = Sink(write or stderr, form)
    logger.remove()
    logger.add(sink, level=level, format="{time:HH:mm:ss.SSS} {level} {message}", catch=True)
    return sink
