"""The log on standard error: limited in rate, written by a thread so that a full pipe blocks nothing else."""

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
BURST_LINES = 200  # Maximum number of lines that may be written at once.
QUEUE_LINES = 1000
# Loguru's number of the level ERROR. Lines of this level or above are written even if they exceed the rate.
ERROR_LEVEL = 40
# At the end of the process, the queued lines have this many seconds to be written. Together with the 0.25 s
# that streams have at a stop, it is well below the 0.7 s between SIGTERM and SIGKILL.
FLUSH_TIMEOUT = 0.15


class Sink:
    """Sink for loguru that formats messages, limits their rate and writes them in a thread.

    The class must have no method `write`. Otherwise loguru would treat the sink as a file and call that
    method, which would bypass the rate limit and the thread.

    Args:
        out: Function that writes a line; called in the thread.
        line_format: "text" or "json"; the attribute may be changed while the log is in use.
    """

    def __init__(self, out: Callable[[str], None], line_format: str = "text"):
        self.out = out
        self.line_format = line_format
        self.lines: queue.Queue[str | None] = queue.Queue(QUEUE_LINES)
        self.dropped_lines = 0
        self.tokens = float(BURST_LINES)
        self.refilled_at = 0.0  # Time of the last message, in seconds; 0 before the first message.
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def __call__(self, message: Any) -> None:
        """Queue a message of loguru, or drop it and count it if the rate is exceeded or the queue is full."""
        self._refill(message.record["time"].timestamp())
        if self.tokens < 1 and message.record["level"].no < ERROR_LEVEL:
            self.dropped_lines += 1
            return
        self.tokens = max(0.0, self.tokens - 1)
        try:
            self.lines.put_nowait(self._line(message))
            self.dropped_lines = 0
        except queue.Full:
            self.dropped_lines += 1

    def _refill(self, at: float) -> None:
        if self.refilled_at:
            elapsed = max(0.0, at - self.refilled_at)
            self.tokens = min(BURST_LINES, self.tokens + elapsed * LINES_PER_SECOND)
        self.refilled_at = at

    def _line(self, message: Any) -> str:
        if self.line_format == "json":
            return as_json(message.record, self.dropped_lines)
        if self.dropped_lines:
            return f"({self.dropped_lines} lines left out) {message}"
        return str(message)

    def _run(self) -> None:
        while (text := self.lines.get()) is not None:
            # If the output is closed, the server continues without a log.
            with suppress(OSError, ValueError):
                self.out(text)

    def finish(self, seconds: float) -> None:
        """Write the queued lines and end the thread, waiting for `seconds` at most."""
        deadline = time.monotonic() + seconds
        try:
            self.lines.put(None, timeout=seconds)
        except queue.Full:
            return
        self.thread.join(max(0.0, deadline - time.monotonic()))


def as_json(record: dict[str, Any], dropped_lines: int = 0) -> str:
    """Return a log record as a line with a JSON object.

    The object has the time, the level, the name of the log event, the event's fields and the message. It also
    has the traceback of an exception and the number of dropped lines, if there are any.

    Args:
        record: A record of loguru.
        dropped_lines: Number of lines dropped since the last line that was written.
    """
    fields = {
        "at": record["time"].astimezone(UTC).isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        "event": "",
        **record["extra"],
        "message": record["message"],
    }
    if record["exception"] is not None:
        from traceback import format_exception

        exception = record["exception"]
        fields["trace"] = "".join(format_exception(exception.type, exception.value, exception.traceback))
    if dropped_lines:
        fields["left_out"] = dropped_lines
    return json.dumps(fields, default=str) + "\n"


def _write_to_stderr(text: str) -> None:
    sys.stderr.write(text)
    sys.stderr.flush()


def start(level: str, line_format: str = "text", write: Callable[[str], None] | None = None) -> Sink:
    """Start logging, in place of loguru's default output.

    Args:
        level: Lowest level of log lines.
        line_format: "text" or "json".
        write: Function that writes a line; default: write to standard error.

    Returns:
        The sink; `Sink.finish` writes the remaining lines at the end.
    """
    sink = Sink(write or _write_to_stderr, line_format)
    logger.remove()
    logger.add(sink, level=level, format="{time:HH:mm:ss.SSS} {level} {message}", catch=True)
    return sink
