"""The life of one control-plane server in its event loop: signals, start, optional features and end."""

import asyncio
import random
import signal
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from ravenshelf import log_events
from ravenshelf.process.control_plane import ControlPlaneServer

if TYPE_CHECKING:  # Imported for annotations only, so that it is not loaded without an operator file.
    from ravenshelf.operator_config.tables import OperatorConfiguration
    from ravenshelf.process.logs import Sink


async def serve(
    configuration: dict[str, Any],
    read_configuration: Callable[[], dict[str, Any]],
    clock: Callable[[], int],
    counters_every_us: int,
    operator: "OperatorConfiguration | None" = None,
    read_operator: "Callable[[], OperatorConfiguration] | None" = None,
    log: "Sink | None" = None,
) -> None:
    """Run a server until it has stopped.

    Args:
        configuration: A configuration that `configuration.check` has accepted.
        read_configuration: Function that reads the configuration file; called at each SIGHUP.
        clock: Function that returns the time in microseconds.
        counters_every_us: Interval between log lines with the counters; 0 for none.
        operator: The operator file's tables, or None without an operator file.
        read_operator: Function that reads the operator file; called at each SIGHUP.
        log: The log sink, whose format a reload of the operator file may change.

    Raises:
        OSError: An address can't be listened at.
        RuntimeError: An optional feature failed in a way that the server can't continue after.
    """
    loop = asyncio.get_running_loop()
    server = ControlPlaneServer(configuration, loop, clock)
    server.counters_every_us = counters_every_us
    server.reloader.read_configuration = read_configuration
    loop.set_exception_handler(server.report_loop_failure)
    loop.add_signal_handler(signal.SIGTERM, server.stop)
    loop.add_signal_handler(signal.SIGINT, server.stop)
    loop.add_signal_handler(signal.SIGUSR1, server.report_counters)
    loop.add_signal_handler(signal.SIGHUP, server.reload)
    if operator is not None:
        _add_optional_features(server, operator, read_operator, log)
    await server.start()
    if server.optional_features is not None and not server.is_stopping:
        await server.optional_features.start()
    if not server.is_stopping and server.listener is not None:
        host, port = server.listener.sockets[0].getsockname()[:2]
        log_events.SERVER_LISTENING(name=configuration.get("name"), address=f"{host}:{port}")
    await server.stopped
    server.report_counters()
    await asyncio.sleep(0)
    if server.failure is not None:
        raise RuntimeError(server.failure)


def _add_optional_features(
    server: ControlPlaneServer,
    operator: "OperatorConfiguration",
    read_operator: "Callable[[], OperatorConfiguration] | None",
    log: "Sink | None",
) -> None:
    from ravenshelf.process.operations.composer import Operations

    operations = Operations(operator, server, random.Random())
    server.optional_features = operations

    def apply_operator(new_operator: "OperatorConfiguration") -> None:
        """Apply a reloaded operator file to the log format and the optional features."""
        if log is not None:
            log.line_format = new_operator.log.format
        operations.reload(
            new_operator,
            lambda changed_tables: log_events.OPERATOR_CONFIGURATION_RELOADED(changed=changed_tables),
        )

    server.reloader.read_operator = read_operator
    server.reloader.apply_operator = apply_operator
