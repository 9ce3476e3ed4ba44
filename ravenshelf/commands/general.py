"""Commands without a group: `serve`, `check`, `version`, and those that print a catalogue."""

import typer

from ravenshelf import __version__
from ravenshelf.commands.shared import (
    ConfigOption,
    FormatOption,
    OperatorOption,
    print_table,
    read_configuration,
    read_operator_file,
)
from ravenshelf.process import configuration, serving

EXIT_INVALID = 2

app = typer.Typer(
    help="Control plane that writes each proxy a table of endpoints with weights.",
    no_args_is_help=True,
    add_completion=False,
)


@app.command(
    add_help_option=False, context_settings={"ignore_unknown_options": True, "allow_extra_args": True}
)
def serve(context: typer.Context) -> None:
    """Run a server until SIGTERM; `serve --help` lists its options."""
    raise typer.Exit(serving.main(context.args))


@app.command()
def check(config: ConfigOption = None, operator: OperatorOption = None) -> None:
    """Check a configuration file, and an operator file if one is given, and print a summary of both."""
    server_configuration = tables = None
    is_valid = True
    # A problem in the first file does not end the command, so the problems of both files are printed.
    try:
        server_configuration = read_configuration(config)
    except typer.Exit:
        is_valid = False
    try:
        tables = read_operator_file(operator)
    except typer.Exit:
        is_valid = False
    if not is_valid or server_configuration is None:
        raise typer.Exit(EXIT_INVALID)
    print(configuration.summary(server_configuration))
    if tables is not None:
        from ravenshelf.operator_config.reading import summary

        print(summary(tables))


@app.command()
def figures(form: FormatOption = "table") -> None:
    """List every metric that is exported to Graphite."""
    from ravenshelf.graphite.metrics import rows

    print_table(
        ("path", "unit", "importance", "source", "meaning", "formed"),
        rows(),
        form,
        "Paths below PREFIX.SERVER",
    )


def _field_list(fields: dict[str, str]) -> str:
    return "; ".join(f"{name}: {description}" for name, description in fields.items())


@app.command()
def events(form: FormatOption = "table") -> None:
    """List every event of the log."""
    from ravenshelf.log_events import CATALOGUE

    rows = [
        (event.name, event.level, event.meaning, _field_list(event.fields)) for event in CATALOGUE.values()
    ]
    print_table(("event", "level", "meaning", "fields"), rows, form, "Events")


@app.command()
def settings(form: FormatOption = "table") -> None:
    """List every key of the operator file."""
    from ravenshelf.operator_config.keys import rows

    print_table(("table", "key", "default", "expected"), rows(), form, "Keys of the operator file")


@app.command()
def version() -> None:
    """Print the version of ravenshelf."""
    print(f"ravenshelf {__version__}")
