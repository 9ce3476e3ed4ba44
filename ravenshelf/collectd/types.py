"""Parser of types.db: the data sources of each type, with their kinds and bounds.

Nothing here performs I/O.
"""

from typing import NamedTuple

from ravenshelf.collectd.protocol import KINDS
from ravenshelf.errors import RavenshelfError

# Types that host loads are computed from. The operator file can name the types.db of an installation whose
# types differ.
BUILT_IN_TYPES = """\
cpu      value:DERIVE:0:U
load     shortterm:GAUGE:0:5000, midterm:GAUGE:0:5000, longterm:GAUGE:0:5000
percent  value:GAUGE:0:100.1
"""
UNBOUNDED = "U"
MAX_SHOWN_SOURCE = 60  # Maximum number of characters of a malformed data source in an error message.


class TypesFileError(RavenshelfError):
    """Error for a malformed line of types.db; its text names file, line, and what was expected and found."""

    def __init__(self, file: str, line: int, expected: str, found: str) -> None:
        super().__init__(f"{file}:{line}: expected {expected}, found {found}")
        self.file = file
        self.line = line
        self.expected = expected
        self.found = found


class DataSource(NamedTuple):
    """One value of a type; `kind` is an index in protocol.KINDS."""

    name: str
    kind: int
    minimum: float
    maximum: float


Types = dict[str, tuple[DataSource, ...]]


def parse(text: str, file: str = "types.db") -> Types:
    """Parse the text of a types.db.

    Args:
        text: The text; a `#` starts a comment.
        file: The file's name for error messages.

    Returns:
        The data sources of each type, by the type's name.

    Raises:
        TypesFileError: A line is malformed.
    """
    types = {}
    for number, full_line in enumerate(text.splitlines(), 1):
        line = full_line.partition("#")[0].strip()
        if not line:
            continue
        name, *source_texts = line.split(None, 1)
        sources = source_texts[0].split(",") if source_texts else []
        if not sources:
            raise TypesFileError(file, number, "name:KIND:least:most", f"nothing after the name {name}")
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
