"""Problems of an operator file, and the exception that reports them."""

from collections.abc import Sequence
from typing import NamedTuple

from ravenshelf.errors import RavenshelfError

MAX_VALUE_LENGTH = 60  # Maximum length of a quoted value, in characters.


def shortened_repr(value: object) -> str:
    """Return the repr of a value, truncated to MAX_VALUE_LENGTH characters."""
    text = repr(value)
    return text if len(text) <= MAX_VALUE_LENGTH else text[: MAX_VALUE_LENGTH - 3] + "..."


class Problem(NamedTuple):
    """Problem at one place of an operator file.

    Attributes:
        file: The path of the operator file.
        path: "[TABLE] KEY", "[TABLE]", the name of an unknown table or key, or empty for the file itself.
        actual_value: The value that was found there.
        expectation: What was expected there; empty for an unknown name.
        detail: An error message that is shown in place of `actual_value` and `expectation`, for a file that
            can't be read or is malformed.
    """

    file: str
    path: str
    actual_value: str = ""
    expectation: str = ""
    detail: str = ""

    def __str__(self) -> str:
        location = f"{self.file}: {self.path}" if self.path else self.file
        if self.detail:
            return f"{location}: {self.detail}"
        if not self.expectation:
            return f"{location}: found {self.actual_value}"
        return f"{location}: found {self.actual_value}, expected {self.expectation}"


class OperatorConfigurationError(RavenshelfError):
    """Error for an operator file that can't be used; its text has a line for each problem.

    Attributes:
        problems: The problems, in the order in which they were found.
    """

    def __init__(self, problems: Sequence[Problem]) -> None:
        super().__init__("\n".join(map(str, problems)))
        self.problems = tuple(problems)
