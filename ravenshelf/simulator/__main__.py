"""`python -m ravenshelf.simulator`: the simulator's line protocol on standard input and output."""

import sys
from io import BufferedReader
from typing import BinaryIO, cast

from ravenshelf.simulator.decode import SHOWN_LINE_LENGTH, MalformedLineError
from ravenshelf.simulator.host import Host


def main(source: BufferedReader, sink: BinaryIO) -> int:
    """Answer batches until the input ends.

    Args:
        source: Input, such as standard input.
        sink: Output for the replies, such as standard output.

    Returns:
        The exit code: 0 at the end of the input; 1 if the input is malformed, which is reported on standard
        error, or if the output was closed by its reader.
    """
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
    line = source.readline()
    if not line.endswith(b"\n"):
        raise MalformedLineError(
            line[:SHOWN_LINE_LENGTH], "a complete line of the batch, but the input ended"
        )
    try:
        return line[:-1].decode("utf-8")
    except UnicodeDecodeError as error:
        raise MalformedLineError(line[:SHOWN_LINE_LENGTH], "UTF-8 text") from error


if __name__ == "__main__":
    sys.exit(main(cast(BufferedReader, sys.stdin.buffer), sys.stdout.buffer))
