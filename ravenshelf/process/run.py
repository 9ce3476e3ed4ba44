"""The process: its log, its loop, its exit code."""

import gc
import signal
from collections.abc import Callable

import uvloop

from ravenshelf import log_events
from ravenshelf.process import logs
from ravenshelf.process.clock import Clock
from ravenshelf.process.control_plane import serve


def run(
    configuration: dict,
    again: Callable[[], dict],
    level: str,
    counters_every: float,
    operator=None,
    operator_again: Callable | None = None,
) -> int:
    """`operator` holds the operator file's tables, where one is named; `..._again` read their file anew."""
    sink = logs.start(level, operator.log.format if operator is not None else "text")
    gc.freeze()  # what start has made stays; collections need not look at it again
    try:
        uvloop.run(
            serve(configuration, again, Clock(), round(counters_every * 1e6), operator, operator_again, sink)
        )
        code = 0
    except Exception:
        log_events.SERVER_FAILED.with_traceback()
        code = 1
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1):
        signal.signal(
            number, signal.SIG_IGN
        )  # the interpreter's end gives them back to the system: one more would kill
    sink.finish(logs.FLUSH_TIMEOUT)
    return code
