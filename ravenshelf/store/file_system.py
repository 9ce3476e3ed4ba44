"""The file system as the store uses it. Tests replace it by a file system that fails."""

import os
from pathlib import Path


class FileSystem:
    """The system calls of the store.

    All of them block and raise OSError. A handle is a file descriptor.
    """

    def open(self, path: Path) -> int:
        """Open a file for appending, create it if it does not exist, and return its handle."""
        return os.open(path, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600)

    def write(self, handle: int, data: bytes) -> int:
        """Write data, and return the number of bytes written, which may be smaller than `len(data)`."""
        return os.write(handle, data)

    def sync(self, handle: int) -> None:
        """Return once the content of the file is on disk."""
        os.fsync(handle)

    def truncate(self, handle: int, size: int) -> None:
        """Truncate a file to a size in bytes."""
        os.ftruncate(handle, size)

    def close(self, handle: int) -> None:
        """Close a file."""
        os.close(handle)

    def sync_folder(self, folder: Path) -> None:
        """Return once the directory entries of a folder are on disk.

        The name of a new file survives a loss of power only after this call.
        """
        handle = os.open(folder, os.O_RDONLY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def remove(self, path: Path) -> None:
        """Remove a file; do nothing if it does not exist."""
        path.unlink(missing_ok=True)

    def read(self, path: Path) -> bytes:
        """Return the content of a file."""
        return path.read_bytes()
