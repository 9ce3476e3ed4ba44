"""The server process: its log, event loop, signals and exit code."""

import gc
import signal
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import uvloop

from ravenshelf import log_events
from ravenshelf.process import logs
from ravenshelf.process.clock import Clock
from ravenshelf.process.life_cycle import serve

if TYPE_CHECKING:  # Imported for annotations only, so that it is not loaded without an operator file.
    from ravenshelf.operator_config.tables import OperatorConfiguration


def run(
    configuration: dict[str, Any],
    read_configuration: Callable[[], dict[str, Any]],
    level: str,
    counters_every_s: float,
    operator: "OperatorConfiguration | None" = None,
    read_operator: "Callable[[], OperatorConfiguration] | None" = None,
) -> int:
    """Run a server until it has stopped.

    Args:
        configuration: A configuration that `configuration.check` has accepted.
        read_configuration: Function that reads the configuration file; called at each SIGHUP.
        level: Lowest level of log lines.
        counters_every_s: Interval in seconds between log lines with the counters; 0 for none.
        operator: The operator file's tables, or None without an operator file.
        read_operator: Function that reads the operator file; called at each SIGHUP.

    Returns:
        The exit code.
    """
    sink = logs.start(level, operator.log.format if operator is not None else "text")
    # Objects created at the start are kept until the process ends, so garbage collections can skip them.
    gc.freeze()
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
    # The interpreter restores the default signal handlers when it ends; a signal would then kill the process.
    for signal_number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1):
        signal.signal(signal_number, signal.SIG_IGN)
    sink.finish(logs.FLUSH_TIMEOUT)
    return exit_code
