"""ravenshelf: serve, check, version."""
import signal
import sys
from pathlib import Path
from typing import Annotated, Optional

import typer

from ravenshelf import __version__
from ravenshelf.process import configuration

app = typer.Typer(help="ravenshelf tells forwarders where work goes.", no_args_is_help=True, add_completion=False)
Config = Annotated[Optional[Path], typer.Option("--config", "-c", help="The configuration; else RELAY_CONFIG names it.")]


def read(config: Path | None) -> dict:
    try:
        return configuration.read(str(config) if config else None)
    except configuration.Wrong as why:
        print(f"ravenshelf: {why}", file=sys.stderr)
        raise typer.Exit(2) from None


@app.command()
def serve(
    config: Config = None,
    log_level: Annotated[str, typer.Option(help="Least level of log lines: DEBUG, INFO, WARNING or ERROR.")] = "INFO",
    counters_every: Annotated[float, typer.Option(help="Seconds between prints of the counters; 0: none.")] = 0,
):
    """Run one pilot until SIGTERM. Its counters are printed at the end and on SIGUSR1; SIGHUP reads the file again."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)    # until the loop takes it, the file has yet to be read
    from ravenshelf.process import logs, run
    if log_level.upper() not in logs.LEVELS:
        raise typer.BadParameter(f"expected one of {', '.join(logs.LEVELS)}", param_hint="--log-level")
    path = str(config) if config else None
    raise typer.Exit(run.run(read(config), lambda: configuration.read(path), log_level.upper(), counters_every))


@app.command()
def check(config: Config = None):
    """Check a configuration and say what it holds."""
    print(configuration.summary(read(config)))


@app.command()
def version():
    """Print the version."""
    print(f"ravenshelf {__version__}")


if __name__ == "__main__":
    app()
