"""The command `ravenshelf serve`: its options, the files that they name, and the server process."""

import argparse
import sys

from ravenshelf.log_events import LEVELS
from ravenshelf.process import configuration

EXIT_USAGE = 2


def parse_options(arguments: list[str]) -> argparse.Namespace:
    """Parse the command line; if it is not valid, print the usage and exit the process."""
    parser = argparse.ArgumentParser(
        "ravenshelf serve",
        description="Run a control-plane server until SIGTERM. Its counters are "
        "logged at the end and on SIGUSR1; SIGHUP reads the files again.",
    )
    parser.add_argument(
        "--config", "-c", help="Path of the configuration file; default: the value of RELAY_CONFIG."
    )
    parser.add_argument("--operator", "-o", help="Path of the operator file (TOML).")
    parser.add_argument(
        "--log-level", default="INFO", help=f"Lowest level of log lines: {', '.join(LEVELS)}."
    )
    parser.add_argument(
        "--counters-every",
        type=float,
        default=0,
        metavar="SECONDS",
        help="Interval between log lines with the counters; 0 for none.",
    )
    options = parser.parse_args(arguments)
    options.log_level = options.log_level.upper()
    if options.log_level not in LEVELS:
        parser.error(f"--log-level: expected one of {', '.join(LEVELS)}")
    return options


def report_error(error: Exception | str) -> int:
    """Print why the server can't start, on standard error, and return the exit code EXIT_USAGE."""
    for line in str(error).splitlines():
        print(f"ravenshelf: {line}", file=sys.stderr)
    return EXIT_USAGE


def main(arguments: list[str]) -> int:
    """Run `ravenshelf serve` with the arguments after the command's name and return the exit code."""
    options = parse_options(arguments)
    operator = None
    read_operator = None
    # The modules that read an operator file are loaded only if there is one.
    if options.operator is not None:
        from pathlib import Path

        from ravenshelf.operator_config import reading

        file = Path(options.operator)
        try:
            operator = reading.read(file)
        except reading.OperatorConfigurationError as error:
            return report_error(error)

        def read_operator_file() -> reading.OperatorConfiguration:
            """Read the operator file again at a reload."""
            return reading.read(file)

        read_operator = read_operator_file
    try:
        server_configuration = configuration.read(options.config)
    except configuration.ConfigurationError as error:
        return report_error(error)
    from ravenshelf.process import run

    return run.run(
        server_configuration,
        lambda: configuration.read(options.config),
        options.log_level,
        options.counters_every,
        operator,
        read_operator,
    )
