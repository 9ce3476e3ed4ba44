"""The process: its log, its loop, its exit code."""

import gc
import signal
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import uvloop

from ravenshelf import log_events
from ravenshelf.process import logs
from ravenshelf.process.clock import Clock
from ravenshelf.process.control_plane import serve

if TYPE_CHECKING:  # plain serve loads none of it
    from ravenshelf.operator_config.tables import Operator


def run(
    configuration: dict[str, Any],
    read_configuration: Callable[[], dict[str, Any]],
    level: str,
    counters_every_s: float,
    operator: "Operator | None" = None,
    read_operator: "Callable[[], Operator] | None" = None,
) -> int:
    """Run a server until it has stopped and return the exit code.

    `operator` holds the operator file's tables, where one is named; the functions read their files anew.
    """
    sink = logs.start(level, operator.log.format if operator is not None else "text")
    gc.freeze()  # what start has made stays; collections need not look at it again
    exit_code = 0
    try:
        uvloop.run(
            serve(
                configuration,
                read_configuration,
                Clock(),
                round(counters_every_s * 1e6),
                operator,
                read_operator,
                sink,
            )
        )
    except Exception:
        log_events.SERVER_FAILED.with_traceback()
        exit_code = 1
    # the interpreter's end gives them back to the system: one more would kill
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1):
        signal.signal(number, signal.SIG_IGN)
    sink.finish(logs.FLUSH_TIMEOUT)
    return exit_code
