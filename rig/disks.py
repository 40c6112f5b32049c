"""Disks with injected faults: unsynced writes are lost, syncs are slow or fail, the disk is full or read-only.

`FaultyDisk` wraps any disk that persisted state is written to. Within one process the test sets its faults directly.
In a process of its own it reads them from a file at each operation, so that a test can change them while the program
runs.
"""

from __future__ import annotations

import contextlib
import errno
import json
import os
import time
from dataclasses import dataclass
from random import Random

from oliveloft.memory.files import Disk, File


@dataclass
class DiskFaults:
    """The faults of a disk; also the fields of the fault file."""

    room: int = -1  # bytes that may be written in all; negative: no bound
    read_only: bool = False
    sync_takes: float = 0.0  # seconds of each sync
    sync_fails: bool = False
    machine: str = "machine 1, boot 1"  # identity of the machine and its boot


class DiskFaultsFile:
    """Disk faults in a JSON file; a missing or unreadable file means no faults."""

    def __init__(self, path: str) -> None:
        self._path = path

    def load(self) -> DiskFaults:
        """Read the present faults."""
        with contextlib.suppress(OSError, ValueError), open(self._path) as file:
            return DiskFaults(**json.load(file))
        return DiskFaults()


def write_disk_faults(path: str, **faults: object) -> None:
    """Replace the fault file that a process reads."""
    with open(path + ".new", "w") as file:
        json.dump(faults, file)
    os.replace(path + ".new", path)


class MemoryDisk:
    """A disk in memory: the files by name, as they are after a power loss."""

    def __init__(self) -> None:
        self.files: dict[str, bytearray] = {}
        self.locked = False

    def names(self) -> list[str]:
        """Return the names of the files."""
        return list(self.files)

    def open(self, name: str, create: bool = False) -> File:
        """Open a file; `create` creates it or makes it empty."""
        if create:
            self.files[name] = bytearray()
        elif name not in self.files:
            raise FileNotFoundError(errno.ENOENT, "no such file", name)
        return _MemoryFile(self.files[name])

    def rename(self, old: str, new: str) -> None:
        """Rename a file."""
        self.files[new] = self.files.pop(old)

    def remove(self, name: str) -> None:
        """Remove a file."""
        del self.files[name]

    def sync(self) -> None:
        """Do nothing: names are durable at once."""

    def lock(self, name: str) -> bool:
        """Take the lock; return whether it was free."""
        free, self.locked = not self.locked, True
        return free

    def boot_id(self) -> str:
        """Return a fixed machine identity."""
        return "machine 1, boot 1"


class _MemoryFile:
    def __init__(self, data: bytearray) -> None:
        self._data = data

    def read(self) -> bytes:
        return bytes(self._data)

    def append(self, data: bytes) -> None:
        self._data += data

    def overwrite_start(self, data: bytes) -> None:
        self._data[: len(data)] = data

    def sync(self) -> None:
        pass

    def close(self) -> None:
        pass


class FaultyFile:
    """A file whose writes reach the underlying file only by a sync."""

    def __init__(self, disk: FaultyDisk, underlying: File) -> None:
        self._disk, self._underlying = disk, underlying
        self.unsynced: list[tuple[bool, bytes]] = []  # (whether written in place, data)

    def read(self) -> bytes:
        """Return the whole content, unsynced writes included."""
        data = bytearray(self._underlying.read())
        for in_place, piece in self.unsynced:
            if in_place:
                data[: len(piece)] = piece
            else:
                data += piece
        return bytes(data)

    def append(self, data: bytes) -> None:
        """Append data if the disk has space."""
        self._disk.check_write(len(data))
        self.unsynced.append((False, data))

    def overwrite_start(self, data: bytes) -> None:
        """Overwrite the beginning of the file, which needs no space."""
        self._disk.check_write(0)
        self.unsynced.append((True, data))

    def sync(self) -> None:
        """Write unsynced data to the underlying file and sync it, slowly or with an error if such a fault is set."""
        faults = self._disk.current_faults()
        if faults.sync_takes:
            time.sleep(faults.sync_takes)
        if faults.sync_fails:
            raise OSError(errno.EIO, "injected fault: sync failed")
        self.flush()
        self._underlying.sync()

    def flush(self, max_bytes: int = 1 << 62) -> None:
        """Write unsynced data to the underlying file, about `max_bytes` of it, and drop the rest."""
        for in_place, piece in self.unsynced:
            if in_place:
                self._underlying.overwrite_start(piece)
            else:
                self._underlying.append(piece[:max_bytes])
            max_bytes -= len(piece)
            if max_bytes <= 0:
                break
        self.unsynced.clear()

    def close(self) -> None:
        """Close the file; unsynced data is not written."""
        self._underlying.close()


class FaultyDisk:
    """A disk that wraps another and injects faults."""

    def __init__(self, underlying: Disk, faults: DiskFaults | DiskFaultsFile | None = None) -> None:
        self._underlying, self._faults = underlying, faults or DiskFaults()
        self.open_files: list[FaultyFile] = []
        self.used_bytes = 0

    def current_faults(self) -> DiskFaults:
        """Return the present faults."""
        return self._faults.load() if isinstance(self._faults, DiskFaultsFile) else self._faults

    def check_write(self, size: int) -> None:
        """Count a write of so many bytes; raise OSError where the disk is read-only or full."""
        faults = self.current_faults()
        if faults.read_only:
            raise OSError(errno.EROFS, "injected fault: disk is read only")
        if faults.room >= 0 and size > faults.room - self.used_bytes:
            raise OSError(errno.ENOSPC, "injected fault: disk is full")
        if faults.room >= 0:
            self.used_bytes += size

    def cut_power(self, random: Random) -> None:
        """Lose power: of each file's unsynced writes a random prefix reaches the disk, often none."""
        for file in self.open_files:
            file.flush(random.choice((0, 0, random.randrange(200), 1 << 20)))
        self.open_files.clear()

    def names(self) -> list[str]:
        """Return the names of the files."""
        return self._underlying.names()

    def open(self, name: str, create: bool = False) -> File:
        """Open a file; `create` creates it or makes it empty."""
        if create:
            self.check_write(0)
        file = FaultyFile(self, self._underlying.open(name, create))
        self.open_files.append(file)
        return file

    def rename(self, old: str, new: str) -> None:
        """Rename a file."""
        self._underlying.rename(old, new)

    def remove(self, name: str) -> None:
        """Remove a file."""
        self.check_write(0)
        self._underlying.remove(name)

    def sync(self) -> None:
        """Sync the names of the files."""
        if self.current_faults().sync_fails:
            raise OSError(errno.EIO, "injected fault: sync failed")
        self._underlying.sync()

    def lock(self, name: str) -> bool:
        """Take the lock of the underlying disk."""
        return self._underlying.lock(name)

    def boot_id(self) -> str:
        """Return the machine identity that the faults set."""
        return self.current_faults().machine
