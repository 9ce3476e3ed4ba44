"""python -m ravenshelf.simulator: the simulator's wire on standard input and output."""

import sys
from io import BufferedReader
from typing import BinaryIO, cast

from ravenshelf.simulator.decode import SHOWN_LINE_LENGTH, MalformedLineError
from ravenshelf.simulator.host import Host


def main(source: BufferedReader, sink: BinaryIO) -> int:
    """Answer batches until the input ends; gives the exit code (1: malformed input, or nobody reads)."""
    host = Host()
    try:
        while source.peek(1):
            reply = host.answer_batch(_read_line(source), lambda: _read_line(source))
            sink.write(("\n".join(reply) + "\n").encode("utf-8"))
            sink.flush()
    except MalformedLineError as error:
        print(f"ravenshelf: {error}", file=sys.stderr)
        return 1
    except BrokenPipeError:
        return 1
    return 0


def _read_line(source: BufferedReader) -> str:
    raw = source.readline()
    if not raw.endswith(b"\n"):
        raise MalformedLineError(raw[:SHOWN_LINE_LENGTH], "more of the batch, its input ended")
    try:
        return raw[:-1].decode("utf-8")
    except UnicodeDecodeError as error:
        raise MalformedLineError(raw[:SHOWN_LINE_LENGTH], "UTF-8 text") from error


if __name__ == "__main__":
    sys.exit(main(cast(BufferedReader, sys.stdin.buffer), sys.stdout.buffer))
