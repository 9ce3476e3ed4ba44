"""python -m ravenshelf.simulator: the wire on standard input and output."""

import sys

from ravenshelf.simulator.decode import MalformedLineError
from ravenshelf.simulator.host import Host


def main(source, sink):
    host = Host()

    def line():
        raw = source.readline()
        if not raw.endswith(b"\n"):
            raise MalformedLineError(f"line {raw[:120]!r}: expected more of the batch, its input ended")
        try:
            return raw[:-1].decode("utf-8")
        except UnicodeDecodeError as why:
            raise MalformedLineError(f"line {raw[:120]!r}: expected UTF-8 text") from why

    try:
        while source.peek(1):
            sink.write(("\n".join(host.batch(line(), line)) + "\n").encode("utf-8"))
            sink.flush()
    except MalformedLineError as why:
        print(f"ravenshelf: {why}", file=sys.stderr)
        return 1
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.stdin.buffer, sys.stdout.buffer))
