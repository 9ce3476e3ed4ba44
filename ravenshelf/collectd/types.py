"""types.db: which values a type has, of which kind and between which bounds. Pure."""

from typing import NamedTuple

from ravenshelf.collectd.protocol import KINDS
from ravenshelf.errors import RavenshelfError

# The types that host loads are made of; the operator file names the file of an installation with other types.
BUILT_IN_TYPES = """\
cpu      value:DERIVE:0:U
load     shortterm:GAUGE:0:5000, midterm:GAUGE:0:5000, longterm:GAUGE:0:5000
percent  value:GAUGE:0:100.1
"""
UNBOUNDED = "U"
MAX_SHOWN_SOURCE = 60


class TypesFileError(RavenshelfError):
    """A malformed line of types.db; the text names file, line, what was found and expected."""

    def __init__(self, file: str, line: int, expected: str, found: str) -> None:
        super().__init__(f"{file}:{line}: expected {expected}, not {found}")
        self.file = file
        self.line = line
        self.expected = expected
        self.found = found


class DataSource(NamedTuple):
    """One value of a type; `kind` is a number of protocol.KINDS."""

    name: str
    kind: int
    minimum: float
    maximum: float


Types = dict[str, tuple[DataSource, ...]]


def parse(text: str, file: str = "types.db") -> Types:
    """Return the values of each type by its name; `file` is named in errors. Raises TypesFileError."""
    types = {}
    for number, full_line in enumerate(text.splitlines(), 1):
        line = full_line.partition("#")[0].strip()
        if not line:
            continue
        name, *rest = line.split(None, 1)
        sources = rest[0].split(",") if rest else []
        if not sources:
            raise TypesFileError(file, number, "name:KIND:least:most", f"nothing after {name}")
        types[name] = tuple(_parse_source(file, number, source.strip()) for source in sources)
    return types


def _parse_source(file: str, line: int, text: str) -> DataSource:
    try:
        name, kind, minimum, maximum = text.split(":")
        return DataSource(
            name,
            KINDS.index(kind.upper()),
            -float("inf") if minimum == UNBOUNDED else float(minimum),
            float("inf") if maximum == UNBOUNDED else float(maximum),
        )
    except ValueError as error:
        expected = f"name:KIND:least:most with a KIND of {', '.join(KINDS)} and U for no bound"
        raise TypesFileError(file, line, expected, repr(text[:MAX_SHOWN_SOURCE])) from error
