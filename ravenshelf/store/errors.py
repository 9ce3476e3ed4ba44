"""Errors of stored data."""

from pathlib import Path

from ravenshelf.errors import RavenshelfError


class DamagedSegmentError(RavenshelfError):
    """A folder of segments that can't be used; the text names the file and what was expected.

    `file` is the file or folder, `offset` where in it in bytes, `size_bytes` how much is damaged, where
    that is known.
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
    """The disk has failed; the journal in `folder` takes no more."""

    def __init__(self, folder: Path, reason: str) -> None:
        super().__init__(f"{folder}: {reason}")
        self.folder = folder
        self.reason = reason
