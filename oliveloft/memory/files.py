"""Defines the disk operations that the record log needs, as protocols that tests implement with injected faults."""

from __future__ import annotations

import contextlib
import fcntl
import os
from typing import Protocol


class File(Protocol):
    """An open file."""

    def read(self) -> bytes:
        """Return the whole contents."""

    def append(self, data: bytes) -> None:
        """Write at the end; not durable before `sync`."""

    def overwrite_start(self, data: bytes) -> None:
        """Overwrite the beginning in place."""

    def sync(self) -> None:
        """Make all writes durable; an OSError means that they may not be."""

    def close(self) -> None:
        """Close the file."""


class Disk(Protocol):
    """A folder. Every method may raise OSError."""

    def names(self) -> list[str]:
        """Return the names of the files in the folder."""

    def open(self, name: str, create: bool = False) -> File:
        """Open an existing file, or with `create` an empty new one. FileNotFoundError where it does not exist."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file."""

    def remove(self, name: str) -> None:
        """Delete a file."""

    def sync(self) -> None:
        """Make the folder's directory entries durable."""

    def lock(self, name: str) -> bool:
        """Lock the folder until this process ends; return False where another process holds the lock."""

    def boot_id(self) -> str:
        """Return an identifier of the machine's current boot; empty where it is unknown."""


class SystemFile:
    """A file of the operating system."""

    def __init__(self, path: str, fresh: bool) -> None:
        self._fd = os.open(path, os.O_RDWR | os.O_CLOEXEC | (os.O_CREAT | os.O_TRUNC if fresh else 0), 0o600)

    def read(self) -> bytes:
        """Return the whole contents."""
        size, chunks, position = os.fstat(self._fd).st_size, [], 0
        while position < size and (chunk := os.pread(self._fd, size - position, position)):
            chunks.append(chunk)
            position += len(chunk)
        return b"".join(chunks)

    def append(self, data: bytes) -> None:
        """Write at the end."""
        os.lseek(self._fd, 0, os.SEEK_END)
        self._write(data)

    def overwrite_start(self, data: bytes) -> None:
        """Overwrite the beginning in place."""
        os.lseek(self._fd, 0, os.SEEK_SET)
        self._write(data)

    def _write(self, data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[os.write(self._fd, view) :]

    def sync(self) -> None:
        """Make data and length durable."""
        os.fdatasync(self._fd)

    def close(self) -> None:
        """Close the file."""
        if self._fd >= 0:
            os.close(self._fd)
            self._fd = -1


class SystemDisk:
    """A folder of the operating system, created if it does not exist."""

    def __init__(self, folder: str) -> None:
        self._folder = folder
        self._lock = -1
        os.makedirs(folder, mode=0o700, exist_ok=True)

    def _path(self, name: str) -> str:
        return os.path.join(self._folder, name)

    def names(self) -> list[str]:
        """Return the names of the files in the folder."""
        return os.listdir(self._folder)

    def open(self, name: str, create: bool = False) -> File:
        """Open a file, or with `create` an empty new one."""
        return SystemFile(self._path(name), create)

    def rename(self, old: str, new: str) -> None:
        """Rename a file."""
        os.rename(self._path(old), self._path(new))

    def remove(self, name: str) -> None:
        """Delete a file."""
        os.unlink(self._path(name))

    def sync(self) -> None:
        """Make the folder's directory entries durable."""
        fd = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def lock(self, name: str) -> bool:
        """Lock the folder; the kernel releases the lock however the process ends."""
        fd = os.open(self._path(name), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(fd)
            return False
        self._lock = fd
        return True

    def boot_id(self) -> str:
        """Return the kernel's boot id."""
        with contextlib.suppress(OSError), open("/proc/sys/kernel/random/boot_id") as file:
            return file.read().strip()
        return ""
