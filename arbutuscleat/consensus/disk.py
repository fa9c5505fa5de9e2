"""Disks: durable storage for the files of a replica.

A write is durable only once it is synced.  Every method raises `OSError` if the disk
fails; a failed sync is never retried on the same file.
"""

import os
from abc import ABC, abstractmethod
from pathlib import Path


class Disk(ABC):
    """A data folder without subfolders."""

    @abstractmethod
    def read(self, name: str) -> bytes | None:
        """Return the content of a file, or None if it does not exist."""

    @abstractmethod
    def append(self, name: str, data: bytes) -> None:
        """Append `data` to a file, which is created if needed, and sync it."""

    @abstractmethod
    def replace(self, name: str, data: bytes) -> None:
        """Replace the content of a file atomically and sync it."""

    @abstractmethod
    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to `size` bytes and sync it."""

    @abstractmethod
    def sizes(self) -> dict[str, int]:
        """Return the sizes of the files in bytes, by name."""


class FolderDisk(Disk):
    """A data folder in the file system.

    Parameters
    ----------
    folder : Path
        The data folder; created if it does not exist.
    """

    def __init__(self, folder: Path):
        self._folder = folder
        self._folder.mkdir(parents=True, exist_ok=True)
        self._open_files: dict[str, int] = {}

    def read(self, name: str) -> bytes | None:
        """Return the content of a file, or None if it does not exist."""
        try:
            return (self._folder / name).read_bytes()
        except FileNotFoundError:
            return None

    def append(self, name: str, data: bytes) -> None:
        """Append `data` to a file, which is created if needed, and sync it."""
        descriptor = self._descriptor(name)
        _write_all(descriptor, data)
        os.fdatasync(descriptor)

    def replace(self, name: str, data: bytes) -> None:
        """Replace the content of a file atomically and sync it."""
        temporary = self._folder / f"{name}.new"
        descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            try:
                _write_all(descriptor, data)
                os.fsync(descriptor)
            finally:
                os.close(descriptor)
        except OSError:
            os.unlink(temporary)  # It would take up space on a full disk.
            raise
        self._close_file(name)
        os.rename(temporary, self._folder / name)
        self._sync_folder()

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to `size` bytes and sync it."""
        descriptor = self._descriptor(name)
        os.ftruncate(descriptor, size)
        os.fsync(descriptor)

    def sizes(self) -> dict[str, int]:
        """Return the sizes of the files in bytes, by name."""
        return {path.name: path.stat().st_size for path in self._folder.iterdir()}

    def close(self) -> None:
        """Close the open files."""
        for name in list(self._open_files):
            self._close_file(name)

    def _descriptor(self, name: str) -> int:
        descriptor = self._open_files.get(name)
        if descriptor is None:
            path = self._folder / name
            descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)
            self._open_files[name] = descriptor
            self._sync_folder()
        return descriptor

    def _close_file(self, name: str) -> None:
        descriptor = self._open_files.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)

    def _sync_folder(self) -> None:
        descriptor = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


def _write_all(descriptor: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]
