"""Log lines on standard error: bounded in rate, written by a thread so that a full pipe blocks nothing."""

import json
import queue
import sys
import threading
import time
from collections.abc import Callable
from contextlib import suppress
from datetime import UTC
from typing import Any

from loguru import logger

from ravenshelf.log_events import LEVELS

__all__ = ["LEVELS", "Sink", "start"]
LINES_PER_SECOND = 20
BURST = 200  # lines at once
QUEUE_LINES = 1000
ERROR_NUMBER = 40  # of loguru's levels: from here on lines are written beyond the rate, too
# seconds for the last lines; with the 0.25 that streams may take, well within the 0.7 until SIGKILL
FLUSH_TIMEOUT = 0.15


class Sink:
    """Takes loguru's messages and passes lines to `out` in a thread.

    `form` is "text" or "json"; it may change while the log is written. It must have no method `write`: loguru
    would take it for a file and call that, past the rate and the thread.
    """

    def __init__(self, out: Callable[[str], None], form: str = "text"):
        self.out = out
        self.form = form
        self.lines: queue.Queue[str | None] = queue.Queue(QUEUE_LINES)
        self.lines_left_out = 0
        self.tokens = float(BURST)
        self.refilled_at = 0.0  # seconds of the log's own time
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def __call__(self, message: Any) -> None:
        """Queue a message of loguru's, or count it as left out."""
        self._refill(message.record["time"].timestamp())
        if self.tokens < 1 and message.record["level"].no < ERROR_NUMBER:
            self.lines_left_out += 1
            return
        self.tokens = max(0.0, self.tokens - 1)
        try:
            self.lines.put_nowait(self._line(message))
            self.lines_left_out = 0
        except queue.Full:
            self.lines_left_out += 1

    def _refill(self, at: float) -> None:
        if self.refilled_at:
            elapsed = max(0.0, at - self.refilled_at)
            self.tokens = min(BURST, self.tokens + elapsed * LINES_PER_SECOND)
        self.refilled_at = at

    def _line(self, message: Any) -> str:
        if self.form == "json":
            return as_json(message.record, self.lines_left_out)
        if self.lines_left_out:
            return f"({self.lines_left_out} lines left out) {message}"
        return str(message)

    def _run(self) -> None:
        while (text := self.lines.get()) is not None:
            with suppress(OSError, ValueError):  # nobody reads; the server goes on
                self.out(text)

    def finish(self, seconds: float) -> None:
        """Write what is queued, for so long at most."""
        until = time.monotonic() + seconds
        try:
            self.lines.put(None, timeout=seconds)
        except queue.Full:
            return
        self.thread.join(max(0.0, until - time.monotonic()))


def as_json(record: dict[str, Any], lines_left_out: int = 0) -> str:
    """Return a record as one object: its time, level, the event's stable name, its fields, its words."""
    fields = {
        "at": record["time"].astimezone(UTC).isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        "event": "",
        **record["extra"],
        "message": record["message"],
    }
    if record["exception"] is not None:
        from traceback import format_exception

        raised = record["exception"]
        fields["trace"] = "".join(format_exception(raised.type, raised.value, raised.traceback))
    if lines_left_out:
        fields["left_out"] = lines_left_out
    return json.dumps(fields, default=str) + "\n"


def _write_to_stderr(text: str) -> None:
    sys.stderr.write(text)
    sys.stderr.flush()


def start(level: str, form: str = "text", write: Callable[[str], None] | None = None) -> Sink:
    """Send the log, from `level` on, to standard error or to `write`."""
    sink = Sink(write or _write_to_stderr, form)
    logger.remove()
    logger.add(sink, level=level, format="{time:HH:mm:ss.SSS} {level} {message}", catch=True)
    return sink
