"""types.db: what values a type has, of which kind, and between what bounds. Parsing is pure."""

from ravenshelf.collectd.wire import KINDS
from ravenshelf.errors import RavenshelfError

# what the signal is made of; an installation with types of its own names its file in the operator file
OWN = """\
cpu      value:DERIVE:0:U
load     shortterm:GAUGE:0:5000, midterm:GAUGE:0:5000, longterm:GAUGE:0:5000
percent  value:GAUGE:0:100.1
"""


class TypesFileError(RavenshelfError):
    """A line of types.db that is none; the text names line, what was found, what was expected."""


Source = tuple[str, int, float, float]  # name, kind, least, most


def read(text: str, file: str = "types.db") -> dict[str, tuple[Source, ...]]:
    out = {}
    for number, line in enumerate(text.splitlines(), 1):
        line = line.partition("#")[0].strip()
        if not line:
            continue
        name, *rest = line.split(None, 1)
        sources = [part.strip() for part in rest[0].split(",")] if rest else []
        if not sources:
            raise TypesFileError(f"{file}:{number}: {name}: expected name:KIND:least:most, not nothing")
        out[name] = tuple(_source(file, number, part) for part in sources)
    return out


def _source(file: str, number: int, part: str) -> Source:
    words = part.split(":")
    try:
        name, kind, least, most = words
        return (
            name,
            KINDS.index(kind.upper()),
            -float("inf") if least == "U" else float(least),
            float("inf") if most == "U" else float(most),
        )
    except ValueError:
        raise TypesFileError(
            f"{file}:{number}: expected name:KIND:least:most with a KIND of {', '.join(KINDS)} and U for "
            f"no bound, not {part[:60]!r}"
        ) from None
