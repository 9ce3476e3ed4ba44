"""Commands without a group: serve, check, the catalogues and version."""

import typer

from ravenshelf import __version__
from ravenshelf.commands.shared import (
    ConfigOption,
    FormOption,
    OperatorOption,
    read_configuration,
    read_operator,
    show,
)
from ravenshelf.process import configuration, serving

EXIT_INVALID = 2

app = typer.Typer(
    help="ravenshelf tells forwarders where work goes.", no_args_is_help=True, add_completion=False
)


@app.command(
    add_help_option=False, context_settings={"ignore_unknown_options": True, "allow_extra_args": True}
)
def serve(context: typer.Context) -> None:
    """Run one server until SIGTERM; `serve --help` lists its options."""
    raise typer.Exit(serving.main(context.args))


@app.command()
def check(config: ConfigOption = None, operator: OperatorOption = None) -> None:
    """Check a configuration, and an operator file with it, and say what they hold."""
    checked = tables = None
    is_valid = True
    try:  # the problems of both files are printed
        checked = read_configuration(config)
    except typer.Exit:
        is_valid = False
    try:
        tables = read_operator(operator)
    except typer.Exit:
        is_valid = False
    if not is_valid or checked is None:
        raise typer.Exit(EXIT_INVALID)
    print(configuration.summary(checked))
    if tables is not None:
        from ravenshelf.operator_config.reading import summary

        print(summary(tables))


@app.command()
def figures(form: FormOption = "table") -> None:
    """Every metric that is exported to Graphite."""
    from ravenshelf.graphite.metrics import rows

    show(("path", "unit", "importance", "source", "meaning", "formed"), rows(), form, "Below PREFIX.PILOT")


def _field_list(fields: dict[str, str]) -> str:
    return "; ".join(f"{name}: {unit}" for name, unit in fields.items())


@app.command()
def events(form: FormOption = "table") -> None:
    """Every event of the log."""
    from ravenshelf.log_events import CATALOGUE

    rows = [
        (event.name, event.level, event.meaning, _field_list(event.fields)) for event in CATALOGUE.values()
    ]
    show(("event", "level", "meaning", "fields"), rows, form, "Events")


@app.command()
def settings(form: FormOption = "table") -> None:
    """Every key of the operator file."""
    from ravenshelf.operator_config.keys import rows

    show(("table", "key", "default", "expected"), rows(), form, "The operator file")


@app.command()
def version() -> None:
    """Print the version."""
    print(f"ravenshelf {__version__}")
