"""ravenshelf: `serve` starts at once, without the libraries of the command line; `commands` has all else."""

import os
import signal
import sys


def serve(arguments: list[str]) -> int:
    """Until the loop takes the signals: nothing is owed to anyone yet, and the file has yet to be read."""
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: os._exit(0))
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from ravenshelf.process import serving

    return serving.main(arguments)


def main() -> None:
    """Run the command line."""
    if sys.argv[1:2] == ["serve"]:
        sys.exit(serve(sys.argv[2:]))
    from ravenshelf.commands.application import app

    app()


if __name__ == "__main__":
    main()
