"""Entry point of the command line.

`serve` starts without loading the libraries of the command line, which delay the start. The package
`commands` has all other commands.
"""

import os
import signal
import sys


def serve(arguments: list[str]) -> int:
    """Run `ravenshelf serve` with the arguments after its name, and return the exit code.

    Until the event loop handles signals, SIGTERM and SIGINT end the process at once with code 0, since it has
    no connections to close yet. SIGHUP is ignored, since the files have not been read yet.
    """
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: os._exit(0))
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from ravenshelf.process import serving

    return serving.main(arguments)


def main() -> None:
    """Run the command that the process's arguments name, and exit."""
    if sys.argv[1:2] == ["serve"]:
        sys.exit(serve(sys.argv[2:]))
    from ravenshelf.commands.application import app

    app()


if __name__ == "__main__":
    main()
