"""What is wrong with an operator file: every problem has its path, what was found and what was expected."""

from collections.abc import Sequence
from typing import NamedTuple

from ravenshelf.errors import RavenshelfError

MAX_SHOWN = 60


def shown(value: object) -> str:
    """Return a value as it is shown in a problem, cut where it is long."""
    text = repr(value)
    return text if len(text) <= MAX_SHOWN else text[: MAX_SHOWN - 3] + "..."


class Problem(NamedTuple):
    """One thing that is wrong.

    `path` is "[TABLE] KEY", "[TABLE]", the name of something that is not known, or empty for the file itself.
    `expected` is empty for something that is not known; `detail` replaces both where a file could not be
    read.
    """

    file: str
    path: str
    found: str = ""
    expected: str = ""
    detail: str = ""

    def __str__(self) -> str:
        place = f"{self.file}: {self.path}" if self.path else self.file
        if self.detail:
            return f"{place}: {self.detail}"
        if not self.expected:
            return f"{place}: found {self.found}"
        return f"{place}: found {self.found}, expected {self.expected}"


class OperatorConfigurationError(RavenshelfError):
    """An operator file that cannot be used; the text has a line for each of `problems`."""

    def __init__(self, problems: Sequence[Problem]) -> None:
        super().__init__("\n".join(map(str, problems)))
        self.problems = tuple(problems)
