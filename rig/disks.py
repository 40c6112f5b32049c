"""Disks that break on command: what was not synced is dropped, syncs take long or fail, room ends, bits flip.

`Broken` wraps any disk of a memory's. In one process a schedule turns its knobs; in a process of its own it reads them
from a file, again at each call, so that a test can turn them while the program runs.
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
class Knobs:
    """What is wrong with a disk."""

    room: int = -1  # bytes that may still be written; below 0: no bound
    read_only: bool = False
    sync_takes: float = 0.0  # seconds
    sync_fails: bool = False
    machine: str = "machine 1, boot 1"


class DiskFaultsFile:
    """Knobs in a JSON file, which may not be there."""

    def __init__(self, path: str) -> None:
        self._path = path

    def now(self) -> Knobs:
        """As they stand."""
        with contextlib.suppress(OSError, ValueError), open(self._path) as file:
            return Knobs(**json.load(file))
        return Knobs()


def write_disk_faults(path: str, **faults: object) -> None:
    """Set the knobs of a process that reads them from this file."""
    with open(path + ".new", "w") as file:
        json.dump(faults, file)
    os.replace(path + ".new", path)


class Memory:
    """A disk in memory: names and bytes, as they are after a power cut."""

    def __init__(self) -> None:
        self.files: dict[str, bytearray] = {}
        self.locked = False

    def names(self) -> list[str]:
        """The files."""
        return list(self.files)

    def open(self, name: str, fresh: bool = False) -> File:
        """Open a file."""
        if fresh:
            self.files[name] = bytearray()
        elif name not in self.files:
            raise FileNotFoundError(errno.ENOENT, "no such file", name)
        return _MemoryFile(self.files[name])

    def rename(self, old: str, new: str) -> None:
        """Rename."""
        self.files[new] = self.files.pop(old)

    def remove(self, name: str) -> None:
        """Drop."""
        del self.files[name]

    def sync(self) -> None:
        """Names are always there."""

    def lock(self, name: str) -> bool:
        """One at a time."""
        free, self.locked = not self.locked, True
        return free

    def machine(self) -> str:
        """One machine."""
        return "machine 1, boot 1"


class _MemoryFile:
    def __init__(self, data: bytearray) -> None:
        self._data = data

    def read(self) -> bytes:
        return bytes(self._data)

    def append(self, data: bytes) -> None:
        self._data += data

    def put(self, data: bytes) -> None:
        self._data[: len(data)] = data

    def sync(self) -> None:
        pass

    def close(self) -> None:
        pass


class FaultyFile:
    """A file whose writes reach the one below only by a sync."""

    def __init__(self, disk: Broken, underlying: File) -> None:
        self._disk, self._underlying = disk, underlying
        self.unsynced: list[tuple[bool, bytes]] = []  # whether in place, and what

    def read(self) -> bytes:
        """All of it, as its process sees it."""
        data = bytearray(self._underlying.read())
        for in_place, piece in self.unsynced:
            if in_place:
                data[: len(piece)] = piece
            else:
                data += piece
        return bytes(data)

    def append(self, data: bytes) -> None:
        """Write, as far as there is room."""
        self._disk.check_write(len(data))
        self.unsynced.append((False, data))

    def put(self, data: bytes) -> None:
        """Write in place: needs no room."""
        self._disk.check_write(0)
        self.unsynced.append((True, data))

    def sync(self) -> None:
        """What waits goes to the file below."""
        faults = self._disk.knobs()
        if faults.sync_takes:
            time.sleep(faults.sync_takes)
        if faults.sync_fails:
            raise OSError(errno.EIO, "a sync that failed")
        self.flush()
        self._underlying.sync()

    def flush(self, max_bytes: int = 1 << 62) -> None:
        """What waits reaches the file below, up to so many bytes."""
        for in_place, piece in self.unsynced:
            if in_place:
                self._underlying.put(piece)
            else:
                self._underlying.append(piece[:max_bytes])
            max_bytes -= len(piece)
            if max_bytes <= 0:
                break
        self.unsynced.clear()

    def close(self) -> None:
        """Let it go; what waits may never reach the disk."""
        self._underlying.close()


class Broken:
    """A disk over another, with knobs."""

    def __init__(self, underlying: Disk, faults: Knobs | DiskFaultsFile | None = None) -> None:
        self._underlying, self._faults = underlying, faults or Knobs()
        self.open_files: list[FaultyFile] = []
        self.used_bytes = 0

    def knobs(self) -> Knobs:
        """As they stand now."""
        return self._faults.now() if isinstance(self._faults, DiskFaultsFile) else self._faults

    def check_write(self, size: int) -> None:
        """Guards the room."""
        faults = self.knobs()
        if faults.read_only:
            raise OSError(errno.EROFS, "a disk that is read only")
        if faults.room >= 0 and size > faults.room - self.used_bytes:
            raise OSError(errno.ENOSPC, "a disk that is full")
        if faults.room >= 0:
            self.used_bytes += size

    def power(self, random: Random) -> None:
        """A cut: of what was not synced some bytes got there, at times, in order."""
        for file in self.open_files:
            file.flush(random.choice((0, 0, random.randrange(200), 1 << 20)))
        self.open_files.clear()

    def names(self) -> list[str]:
        """The files."""
        return self._underlying.names()

    def open(self, name: str, fresh: bool = False) -> File:
        """Open a file."""
        if fresh:
            self.check_write(0)
        file = FaultyFile(self, self._underlying.open(name, fresh))
        self.open_files.append(file)
        return file

    def rename(self, old: str, new: str) -> None:
        """Rename."""
        self._underlying.rename(old, new)

    def remove(self, name: str) -> None:
        """Drop."""
        self.check_write(0)
        self._underlying.remove(name)

    def sync(self) -> None:
        """Names are synced."""
        if self.knobs().sync_fails:
            raise OSError(errno.EIO, "a sync that failed")
        self._underlying.sync()

    def lock(self, name: str) -> bool:
        """As below."""
        return self._underlying.lock(name)

    def machine(self) -> str:
        """Which boot of which machine the knobs say this is."""
        return self.knobs().machine
