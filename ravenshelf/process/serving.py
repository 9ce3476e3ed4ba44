"""`ravenshelf serve`: its options, what they name, and the pilot that runs until SIGTERM."""

import argparse
import sys

from ravenshelf.log_events import LEVELS
from ravenshelf.process import configuration


def options(arguments: list[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        "ravenshelf serve",
        description="Run one pilot until SIGTERM. Its counters are "
        "printed at the end and on SIGUSR1; SIGHUP reads the files again.",
    )
    parser.add_argument("--config", "-c", help="The configuration; else RELAY_CONFIG names it.")
    parser.add_argument("--operator", "-o", help="The operator file (TOML).")
    parser.add_argument("--log-level", default="INFO", help=f"Least level of log lines: {', '.join(LEVELS)}.")
    parser.add_argument(
        "--counters-every",
        type=float,
        default=0,
        metavar="SECONDS",
        help="Between prints of the counters; 0: none.",
    )
    said = parser.parse_args(arguments)
    said.log_level = said.log_level.upper()
    if said.log_level not in LEVELS:
        parser.error(f"--log-level: expected one of {', '.join(LEVELS)}")
    return said


def refuse(why: Exception | str) -> int:
    for line in str(why).splitlines():
        print(f"ravenshelf: {line}", file=sys.stderr)
    return 2


def main(arguments: list[str]) -> int:
    said, tables, again = options(arguments), None, None
    if said.operator is not None:  # without one nothing of it is loaded
        from pathlib import Path

        from ravenshelf.operator_config import reading

        try:
            tables = reading.read(Path(said.operator))
        except reading.OperatorConfigurationError as why:
            return refuse(why)
        again = lambda: reading.read(Path(said.operator))  # noqa: E731
    try:
        told = configuration.read(said.config)
    except configuration.ConfigurationError as why:
        return refuse(why)
    from ravenshelf.process import run

    return run.run(
        told, lambda: configuration.read(said.config), said.log_level, said.counters_every, tables, again
    )
