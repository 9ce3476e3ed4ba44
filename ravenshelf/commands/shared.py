"""Options and functions that several modules of commands use."""

from collections.abc import Sequence
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import typer

from ravenshelf.process import configuration, serving

if TYPE_CHECKING:
    from ravenshelf.operator_config.tables import OperatorConfiguration

ConfigOption = Annotated[
    Path | None,
    typer.Option(
        "--config", "-c", help="Path of the configuration file; default: the value of RELAY_CONFIG."
    ),
]
OperatorOption = Annotated[
    Path | None, typer.Option("--operator", "-o", help="Path of the operator file (TOML).")
]
FormatOption = Annotated[str, typer.Option("--form", help="Output format: table, markdown or json.")]
AdminOption = Annotated[
    Path,
    typer.Option(
        "--admin",
        "-a",
        help=r"Path of the process's Unix socket: the key admin in \[leadership] or \[distribution].",
    ),
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print one JSON object instead of text.")]
LogLevelOption = Annotated[str, typer.Option("--log-level")]


def error_exit(reason: Exception | str) -> typer.Exit:
    """Print why a command can't run, on standard error, and return the exception that ends it with code 2."""
    return typer.Exit(serving.report_error(reason))


def read_configuration(file: Path | None) -> dict[str, Any]:
    """Return the content of a configuration file.

    Args:
        file: The file; None for the one that RELAY_CONFIG names.

    Raises:
        typer.Exit: The file can't be read or is not valid; its problems are printed.
    """
    try:
        return configuration.read(str(file) if file else None)
    except configuration.ConfigurationError as error:
        raise error_exit(error) from None


def read_operator_file(file: Path | None) -> "OperatorConfiguration | None":
    """Return the tables of an operator file, or None if `file` is None.

    Raises:
        typer.Exit: The file can't be read or is not valid; its problems are printed.
    """
    if file is None:
        return None
    from ravenshelf.operator_config import reading
    from ravenshelf.operator_config.errors import OperatorConfigurationError

    try:
        return reading.read(file)
    except OperatorConfigurationError as error:
        raise error_exit(error) from None


def print_table(
    headings: Sequence[str], rows: Sequence[Sequence[object]], output_format: str, title: str
) -> None:
    """Print a table.

    Args:
        headings: The heading of each column.
        rows: A sequence of cells for each row.
        output_format: One of `output.OUTPUT_FORMATS`.
        title: The title, which only the format "table" shows.

    Raises:
        typer.BadParameter: The format does not exist.
    """
    from ravenshelf import output

    if output_format not in output.OUTPUT_FORMATS:
        raise typer.BadParameter(f"expected one of {', '.join(output.OUTPUT_FORMATS)}", param_hint="--form")
    output.print_table(headings, rows, output_format, title)


def request_reply(admin: Path, request: dict[str, Any]) -> dict[str, Any]:
    """Send a request to a running process, and return its reply.

    Args:
        admin: The Unix socket of the process.
        request: A request as `leadership.admin` handles it.

    Raises:
        typer.Exit: The process does not reply, or its reply says that the request can't be carried out. The
            reason is printed.
    """
    from ravenshelf.leadership.admin import send_request

    try:
        reply = send_request(str(admin), request)
    except (OSError, ValueError) as error:
        raise error_exit(f"{admin}: expected the Unix socket of a running process, found: {error}") from None
    if "error" in reply:
        raise error_exit(reply["error"])
    return reply
