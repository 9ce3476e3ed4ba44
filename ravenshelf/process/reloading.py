"""Reads the configuration, and the operator configuration, again while the server runs."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from ravenshelf import log_events
from ravenshelf.process.configuration import ConfigurationError, apply_reload
from ravenshelf.process.deadline_keys import ServerDeadline
from ravenshelf.process.timers import Timers
from ravenshelf.state.counters import Counters

if TYPE_CHECKING:  # plain serve loads none of it
    from ravenshelf.operator_config.tables import Operator

READ_ATTEMPTS = 10  # a configuration that can't be used may be half written still
READ_AGAIN_US = 500_000


class Reloader:
    """Takes a new configuration whole or not at all; one that can't be used changes nothing.

    `read_configuration` reads the file and raises ConfigurationError; `take_configuration(new)` is called
    with what the server goes on with. Where there is an operator configuration, `read_operator` reads it
    and raises OperatorConfigurationError, and `take_operator(new)` is called.
    """

    def __init__(
        self,
        configuration: Callable[[], dict],
        take_configuration: Callable[[dict], None],
        timers: Timers,
        clock: Callable[[], int],
        counters: Counters,
    ):
        self.configuration = configuration
        self.take_configuration = take_configuration
        self.timers = timers
        self.clock = clock
        self.counters = counters
        self.read_configuration: Callable[[], dict] = configuration
        self.read_operator: Callable[[], Operator] | None = None
        self.take_operator: Callable[[Operator], None] | None = None
        self.attempts_left = 0
        self.is_stopped = False

    def reload(self) -> None:
        """Read both anew; a configuration that can't be used is read up to READ_ATTEMPTS times."""
        if self.is_stopped:
            return
        self.attempts_left = READ_ATTEMPTS
        if self.read_operator is not None:
            self._reload_operator()
        self._reload_configuration()

    def retry(self) -> None:
        """Read the configuration once more."""
        if not self.is_stopped:
            self.attempts_left -= 1
            self._reload_configuration()

    def _reload_configuration(self) -> None:
        self.timers.cancel(ServerDeadline.RELOAD)
        try:
            new, waiting = apply_reload(self.configuration(), self.read_configuration())
        except ConfigurationError as error:
            self.counters["reloads_failed"] += 1
            log_events.CONFIGURATION_REJECTED(why=str(error))
            if self.attempts_left > 1:
                self.timers.set(ServerDeadline.RELOAD, self.clock() + READ_AGAIN_US)
            return
        self.counters["reloads"] += 1
        log_events.CONFIGURATION_RELOADED(
            discovery=new["discovery"],
            waiting=f"; waits for a restart: {', '.join(waiting)}" if waiting else "",
        )
        self.take_configuration(new)

    def _reload_operator(self) -> None:
        from ravenshelf.operator_config.errors import OperatorConfigurationError

        assert self.read_operator is not None and self.take_operator is not None
        try:
            operator = self.read_operator()
        except OperatorConfigurationError as error:
            self.counters["operator_rejected"] += 1
            log_events.OPERATOR_CONFIGURATION_REJECTED(why=str(error))
            return
        self.take_operator(operator)
