"""Errors of stored data."""

from pathlib import Path

from ravenshelf.errors import RavenshelfError


class DamagedSegmentError(RavenshelfError):
    """Error of a folder of segments that cannot be used.

    The error message names the file or folder and says what was expected.

    Attributes:
        file: The file or folder.
        reason: What is wrong with it.
        offset: Position of the damage in the file in bytes; None if it is unknown.
        size_bytes: Size of the damage; None if it is unknown.
    """

    def __init__(
        self, file: str | Path, reason: str, offset: int | None = None, size_bytes: int | None = None
    ) -> None:
        super().__init__(f"{file}: {reason}")
        self.file = str(file)
        self.reason = reason
        self.offset = offset
        self.size_bytes = size_bytes


class JournalFailedError(RavenshelfError):
    """Error of a write to the journal in `folder`; after the first one the journal rejects all writes."""

    def __init__(self, folder: Path, reason: str) -> None:
        super().__init__(f"{folder}: the journal cannot be written: {reason}")
        self.folder = folder
        self.reason = reason
