"""Reading of an operator file, with a check of the files that it names."""

import tomllib
from pathlib import Path

from ravenshelf.operator_config.decoding import decode
from ravenshelf.operator_config.errors import OperatorConfigurationError, Problem
from ravenshelf.operator_config.named_files import named_file_problems
from ravenshelf.operator_config.tables import OperatorConfiguration


def read(path: str | Path) -> OperatorConfiguration:
    """Return the tables of an operator file.

    Raises:
        OperatorConfigurationError: The operator file or a file that it names can't be read or is not valid,
            or an extra that it requires is not installed.
    """
    file = str(path)
    try:
        document = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise OperatorConfigurationError([Problem(file, "", detail=str(error.strerror))]) from error
    except UnicodeDecodeError as error:
        raise OperatorConfigurationError([Problem(file, "", detail="expected UTF-8")]) from error
    except tomllib.TOMLDecodeError as error:
        raise OperatorConfigurationError([Problem(file, "", detail=f"expected TOML, {error}")]) from error
    operator = decode(document, file)
    problems = named_file_problems(operator, file)
    if problems:
        raise OperatorConfigurationError(problems)
    return operator


def summary(operator: OperatorConfiguration) -> str:
    """Return one line that describes an operator file's log, metrics export and collectd listener."""
    graphite = operator.graphite
    collectd = operator.collectd
    metrics_summary = "no metrics"
    if graphite.receivers:
        receivers = ", ".join(graphite.receivers)
        metrics_summary = (
            f"metrics every {graphite.every_s} s to {receivers} ({graphite.protocol}, {graphite.route})"
        )
    collectd_summary = (
        f"collectd at {collectd.listen} ({collectd.security})" if collectd.listen else "no collectd"
    )
    return f"operator file: log format {operator.log.format}; {metrics_summary}; {collectd_summary}"
