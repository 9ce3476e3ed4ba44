"""ravenshelf: serve, check, figures, events, settings, version."""
import signal
import sys
from pathlib import Path
from typing import Annotated, Optional

import typer

from ravenshelf import __version__
from ravenshelf.process import configuration

app = typer.Typer(help="ravenshelf tells forwarders where work goes.", no_args_is_help=True, add_completion=False)
Config = Annotated[Optional[Path], typer.Option("--config", "-c", help="The configuration; else RELAY_CONFIG names it.")]
OperatorFile = Annotated[Optional[Path], typer.Option("--operator", "-o", help="The operator file (TOML).")]
Form = Annotated[str, typer.Option("--form", help="table, markdown or json.")]


def refuse(why) -> typer.Exit:
    for line in str(why).splitlines():
        print(f"ravenshelf: {line}", file=sys.stderr)
    return typer.Exit(2)


def read(config: Path | None) -> dict:
    try:
        return configuration.read(str(config) if config else None)
    except configuration.Wrong as why:
        raise refuse(why) from None


def read_operator(file: Path | None):
    """The operator file's tables; without one nothing of it is loaded."""
    if file is None:
        return None
    from ravenshelf.operating import reading
    try:
        return reading.read(file)
    except reading.Wrong as why:
        raise refuse(why) from None


@app.command()
def serve(
    config: Config = None,
    operator: OperatorFile = None,
    log_level: Annotated[str, typer.Option(help="Least level of log lines: DEBUG, INFO, WARNING or ERROR.")] = "INFO",
    counters_every: Annotated[float, typer.Option(help="Seconds between prints of the counters; 0: none.")] = 0,
):
    """Run one pilot until SIGTERM. Its counters are printed at the end and on SIGUSR1; SIGHUP reads the files again."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)    # until the loop takes it, the file has yet to be read
    from ravenshelf.process import logs, run
    if log_level.upper() not in logs.LEVELS:
        raise typer.BadParameter(f"expected one of {', '.join(logs.LEVELS)}", param_hint="--log-level")
    path, tables, again = str(config) if config else None, read_operator(operator), None
    if operator is not None:
        from ravenshelf.operating import reading
        again = lambda: reading.read(operator)      # noqa: E731
    raise typer.Exit(run.run(read(config), lambda: configuration.read(path), log_level.upper(), counters_every,
                             tables, again))


@app.command()
def check(config: Config = None, operator: OperatorFile = None):
    """Check a configuration, and an operator file with it, and say what they hold."""
    wrong, said, tables = 0, None, None
    try:        # what is wrong with both is told at once
        said = read(config)
    except typer.Exit:
        wrong = 2
    try:
        tables = read_operator(operator)
    except typer.Exit:
        wrong = 2
    if wrong:
        raise typer.Exit(wrong)
    print(configuration.summary(said))
    if tables is not None:
        from ravenshelf.operating.reading import summary
        print(summary(tables))


def show(headings, rows, form: str, title: str) -> None:
    from ravenshelf import printing
    if form not in printing.FORMS:
        raise typer.BadParameter(f"expected one of {', '.join(printing.FORMS)}", param_hint="--form")
    printing.show(headings, rows, form, title)


@app.command()
def figures(form: Form = "table"):
    """Every figure that is sent to Graphite."""
    from ravenshelf.graphite.figures import rows
    show(("path", "unit", "importance", "source", "meaning", "formed"), rows(), form, "Below PREFIX.PILOT")


@app.command()
def events(form: Form = "table"):
    """Every event of the log."""
    from ravenshelf.events import CATALOGUE
    rows = [(e.name, e.level, e.meaning, "; ".join(f"{n}: {u}" for n, u in e.fields.items())) for e in CATALOGUE.values()]
    show(("event", "level", "meaning", "fields"), rows, form, "Events")


@app.command()
def settings(form: Form = "table"):
    """Every key of the operator file."""
    from ravenshelf.operating.reading import rows
    show(("table", "key", "default", "expected"), rows(), form, "The operator file")


@app.command()
def version():
    """Print the version."""
    print(f"ravenshelf {__version__}")


if __name__ == "__main__":
    app()
