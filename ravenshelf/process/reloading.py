"""Reload of the configuration file and the operator file while the server runs."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from ravenshelf import log_events
from ravenshelf.process.configuration import ConfigurationError, apply_reload
from ravenshelf.process.deadline_keys import ServerDeadline
from ravenshelf.process.timers import Timers
from ravenshelf.state.counters import Counters

if TYPE_CHECKING:  # Imported for annotations only, so that it is not loaded without an operator file.
    from ravenshelf.operator_config.tables import OperatorConfiguration

# A file that is not valid may be only half written yet, so it is read again, up to this many times in all.
READ_ATTEMPTS = 10
READ_RETRY_DELAY_US = 500_000


class Reloader:
    """Reader of the two files at a reload; each is applied as a whole, or not at all if it is not valid.

    Args:
        current_configuration: Function that returns the configuration in force.
        apply_configuration: Function that is called with the configuration in force after a reload.
        timers: Deadlines of the server, for the next attempt.
        clock: Function that returns the time in microseconds.
        counters: Counters of reloads.

    Attributes:
        read_configuration: Function that reads the configuration file and raises ConfigurationError.
        read_operator: Function that reads the operator file and raises OperatorConfigurationError, or None
            without an operator file.
        apply_operator: Function that is called with the tables of a new operator file, or None without one.
    """

    def __init__(
        self,
        current_configuration: Callable[[], dict],
        apply_configuration: Callable[[dict], None],
        timers: Timers,
        clock: Callable[[], int],
        counters: Counters,
    ):
        self.current_configuration = current_configuration
        self.apply_configuration = apply_configuration
        self.timers = timers
        self.clock = clock
        self.counters = counters
        self.read_configuration: Callable[[], dict] = current_configuration
        self.read_operator: Callable[[], OperatorConfiguration] | None = None
        self.apply_operator: Callable[[OperatorConfiguration], None] | None = None
        self.attempts_left = 0
        self.is_stopped = False

    def reload(self) -> None:
        """Read both files again; a configuration file that is not valid is read up to READ_ATTEMPTS times."""
        if self.is_stopped:
            return
        self.attempts_left = READ_ATTEMPTS
        if self.read_operator is not None:
            self._reload_operator()
        self._reload_configuration()

    def retry(self) -> None:
        """Read the configuration file again after an attempt that failed."""
        if not self.is_stopped:
            self.attempts_left -= 1
            self._reload_configuration()

    def _reload_configuration(self) -> None:
        self.timers.cancel(ServerDeadline.RELOAD)
        try:
            new_configuration, restart_fields = apply_reload(
                self.current_configuration(), self.read_configuration()
            )
        except ConfigurationError as error:
            self.counters["reloads_failed"] += 1
            log_events.CONFIGURATION_REJECTED(why=str(error))
            if self.attempts_left > 1:
                self.timers.set(ServerDeadline.RELOAD, self.clock() + READ_RETRY_DELAY_US)
            return
        self.counters["reloads"] += 1
        log_events.CONFIGURATION_RELOADED(
            discovery=new_configuration["discovery"],
            waiting=f"; waits for a restart: {', '.join(restart_fields)}" if restart_fields else "",
        )
        self.apply_configuration(new_configuration)

    def _reload_operator(self) -> None:
        from ravenshelf.operator_config.errors import OperatorConfigurationError

        assert self.read_operator is not None and self.apply_operator is not None
        try:
            operator = self.read_operator()
        except OperatorConfigurationError as error:
            self.counters["operator_rejected"] += 1
            log_events.OPERATOR_CONFIGURATION_REJECTED(why=str(error))
            return
        self.apply_operator(operator)
