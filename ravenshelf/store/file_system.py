"""The file system as a store uses it, so that tests can make it fail."""

import os
from pathlib import Path


class FileSystem:
    """The system calls of a store. All block, and raise OSError. A handle is a file descriptor."""

    def open(self, path: Path) -> int:
        """Opens a file to append, and creates it where it is missing."""
        return os.open(path, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600)

    def write(self, handle: int, data: bytes) -> int:
        """Writes; returns how many bytes were written, which may be fewer."""
        return os.write(handle, data)

    def sync(self, handle: int) -> None:
        """Returns once the file's content is on disk."""
        os.fsync(handle)

    def truncate(self, handle: int, size: int) -> None:
        """Cuts a file off at a size in bytes."""
        os.ftruncate(handle, size)

    def close(self, handle: int) -> None:
        """Closes a file."""
        os.close(handle)

    def sync_folder(self, folder: Path) -> None:
        """Returns once the names in a folder are on disk: a new file's name is there only after that."""
        handle = os.open(folder, os.O_RDONLY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def remove(self, path: Path) -> None:
        """Removes a file; nothing where it is missing."""
        path.unlink(missing_ok=True)

    def read(self, path: Path) -> bytes:
        """The content of a file."""
        return path.read_bytes()
