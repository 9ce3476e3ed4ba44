"""Options and functions that several commands use."""

from collections.abc import Sequence
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import typer

from ravenshelf.process import configuration, serving

if TYPE_CHECKING:
    from ravenshelf.operator_config.tables import OperatorConfiguration

ConfigOption = Annotated[
    Path | None, typer.Option("--config", "-c", help="The configuration; else RELAY_CONFIG names it.")
]
OperatorOption = Annotated[Path | None, typer.Option("--operator", "-o", help="The operator file (TOML).")]
FormOption = Annotated[str, typer.Option("--form", help="table, markdown or json.")]
AdminOption = Annotated[
    Path, typer.Option("--admin", "-a", help="The Unix socket: admin in [leadership] or [distribution].")
]
JsonOption = Annotated[bool, typer.Option("--json", help="One JSON object instead of a table.")]
LogLevelOption = Annotated[str, typer.Option("--log-level")]


def reject(reason: Exception | str) -> typer.Exit:
    """Print why a command cannot run and return the exit to raise."""
    return typer.Exit(serving.report_error(reason))


def read_configuration(file: Path | None) -> dict[str, Any]:
    """Return the configuration; exits where it is not valid."""
    try:
        return configuration.read(str(file) if file else None)
    except configuration.ConfigurationError as error:
        raise reject(error) from None


def read_operator(file: Path | None) -> "OperatorConfiguration | None":
    """Return the operator file's tables, None without a file; exits where it is not valid."""
    if file is None:
        return None
    from ravenshelf.operator_config import reading
    from ravenshelf.operator_config.errors import OperatorConfigurationError

    try:
        return reading.read(file)
    except OperatorConfigurationError as error:
        raise reject(error) from None


def show(headings: Sequence[str], rows: Sequence[Sequence[object]], form: str, title: str) -> None:
    """Print a table in one of the output forms."""
    from ravenshelf import output

    if form not in output.FORMS:
        raise typer.BadParameter(f"expected one of {', '.join(output.FORMS)}", param_hint="--form")
    output.show(headings, rows, form, title)


def ask_process(admin: Path, question: dict[str, Any]) -> dict[str, Any]:
    """Return a running process's answer; exits where there is none or it is an error."""
    from ravenshelf.leadership.admin import send_request

    try:
        answer = send_request(str(admin), question)
    except (OSError, ValueError) as error:
        raise reject(f"{admin}: expected a running process, {error}") from None
    if "error" in answer:
        raise reject(answer["error"])
    return answer
