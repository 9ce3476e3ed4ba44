"""Log lines on standard error: bounded in rate, written by a thread so that a full pipe never blocks the loop."""
import queue
import sys
import threading

from loguru import logger

A_SECOND, BURST, WAITING = 20, 200, 1000
LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
COUNTERS = "COUNTERS"       # over all others: what was asked for is printed at any level
logger.level(COUNTERS, no=60)


class Sink:
    def __init__(self, write):
        self.lines, self.write, self.lost = queue.Queue(WAITING), write, 0
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
        text = f"({self.lost} lines left out) {message}" if self.lost else str(message)
        try:
            self.lines.put_nowait(text)
            self.lost = 0
        except queue.Full:
            self.lost += 1

    def _run(self) -> None:
        while (text := self.lines.get()) is not None:
            try:
                self.write(text)
            except (OSError, ValueError):
                pass        # nobody reads; the pilot goes on

    def finish(self, seconds: float) -> None:
        """Writes what waits, for so long at most."""
        try:
            self.lines.put_nowait(None)
        except queue.Full:
            return
        self.thread.join(seconds)


def start(level: str) -> Sink:
    def write(text: str) -> None:
        sys.stderr.write(text)
        sys.stderr.flush()

    sink = Sink(write)
    logger.remove()
    logger.add(sink, level=level, format="{time:HH:mm:ss.SSS} {level} {message}", catch=True)
    return sink
