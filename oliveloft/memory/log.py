"""Stores records in an append-only log on disk, which is read as a whole and compacted by copying.

All calls block. A record is a kind, a key and a value (None: deleted); the last record of a kind and key is valid. A
batch is one frame: its length and number with a checksum of their own (XXH32), a checksum of the payload (XXH64), then
the payload as msgpack. Both checksums are seeded by the file's own salt, so that leftovers of an earlier file on the
same disk blocks are never taken for a frame. A file begins with the name of its owner. It is complete once it contains
the record `_COPY_COMPLETE`: a copy of all valid records stands before that, so older files can be removed.

A crash is told apart from damage: a frame that ends too early, or zeros, is a torn tail, whose records were never
reported as synced. Anything else that does not match is damage, and its records may have been reported as synced.
"""

from __future__ import annotations

import re
import secrets
import struct
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

import msgspec
import xxhash

from oliveloft.memory.files import Disk, File

LOG_FILE_PATTERN = re.compile(r"memory\.(\d{8})\.log")
STATE_FILE, LOCK_FILE = "memory.state", "memory.lock"
MAGIC = b"OLM1"
FILE_HEADER = struct.Struct(">4s8sH")  # magic, salt, length of the owner's name; the name and an XXH64 of all follow
FRAME_HEADER = struct.Struct(">IIIQ")  # length, number, their checksum, checksum of the payload
MAX_FRAME_BYTES = 1 << 24
MAX_OWNER_BYTES = 255
COPY_CHUNK_RECORDS = 256  # records in one frame of a copy
_COPY_COMPLETE = "_whole"  # kind of the record that ends a copy

Record = tuple[str, str, Any]
Key = tuple[str, str]
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[tuple[str, str, Any]])


class ForeignFileError(Exception):
    """Raised for a file of another machine; the text names that machine."""


@dataclass
class LogContents:
    """The contents of a folder: records by kind and key, their owner, and faults that were found."""

    records: dict[Key, Any] = field(default_factory=dict)
    owner: str = ""
    torn: bool = False  # the last frame is incomplete, as after a crash
    damage: str = ""  # what no crash explains, and where; empty: none
    voided: bool = False  # the owner has marked the log void: synced records may be missing
    file_number: int = 0  # of the newest file
    size_bytes: int = 0


def _file_header(owner: str, salt: bytes) -> bytes:
    name = owner.encode()[:MAX_OWNER_BYTES]
    header = FILE_HEADER.pack(MAGIC, salt, len(name)) + name
    return header + xxhash.xxh64_digest(header)


def _frame(records: Iterable[Record], number: int, salt: bytes) -> bytes:
    payload = _encoder.encode(list(records))
    seed = int.from_bytes(salt, "big")
    header = struct.pack(">II", len(payload), number)
    return (
        header
        + struct.pack(">IQ", xxhash.xxh32_intdigest(header, seed & 0xFFFFFFFF), xxhash.xxh64_intdigest(payload, seed))
        + payload
    )


def parse_file(data: bytes) -> tuple[str, bytes, list[list[Record]], bool, str]:
    """Parse a file: return its owner, salt and batches, whether its end is torn, and a text about damage."""
    if len(data) < FILE_HEADER.size:
        return "", b"", [], True, ""
    magic, salt, size = FILE_HEADER.unpack_from(data)
    position = FILE_HEADER.size + size + 8
    if (
        magic != MAGIC
        or len(data) < position
        or xxhash.xxh64_digest(data[: position - 8]) != data[position - 8 : position]
    ):
        torn = len(data) < position and size <= MAX_OWNER_BYTES or not any(data)
        return "", b"", [], torn, "" if torn else "the file header does not match"
    owner, seed = (
        data[FILE_HEADER.size : FILE_HEADER.size + size].decode("utf-8", "replace"),
        int.from_bytes(salt, "big"),
    )
    batches: list[list[Record]] = []
    while position < len(data):
        if len(data) - position < FRAME_HEADER.size:
            return owner, salt, batches, True, ""
        length, number, header_check, payload_check = FRAME_HEADER.unpack_from(data, position)
        if xxhash.xxh32_intdigest(data[position : position + 8], seed & 0xFFFFFFFF) != header_check or number != len(
            batches
        ):
            # A crash can leave zeros where the file's length was on disk before its contents.
            torn = not any(data[position:])
            return owner, salt, batches, torn, "" if torn else f"frame {len(batches)} at byte {position}"
        payload = data[position + FRAME_HEADER.size : position + FRAME_HEADER.size + length]
        if len(payload) < length:
            return owner, salt, batches, True, ""
        if xxhash.xxh64_intdigest(payload, seed) != payload_check:
            return owner, salt, batches, False, f"frame {len(batches)} at byte {position}"
        try:
            batches.append(_decoder.decode(payload))
        except msgspec.MsgspecError as error:
            return owner, salt, batches, False, f"frame {len(batches)}: {error}"
        position += FRAME_HEADER.size + length
    return owner, salt, batches, False, ""


class RecordLog:
    """The log of one folder. Call `load`, then `rewrite`, before appending.

    Every call may raise OSError; the given records are then not known to be on disk.
    """

    def __init__(self, disk: Disk, owner: str) -> None:
        self._disk, self._owner = disk, owner
        self._file: File | None = None
        self._copy_target: tuple[File, str, bytes] | None = None  # file, name and salt of a copy under way
        self._salt, self._name = b"", ""
        self._frame_count = self._copy_frame_count = 0
        self._file_number = 0
        self._state: File | None = None
        self._is_void = False
        self.size = 0  # bytes appended to the current file

    def load(self) -> LogContents:
        """Read the folder. Files of another owner are not deleted but renamed to a name that includes that owner."""
        contents, names = (
            LogContents(),
            sorted((n for n in self._disk.names() if LOG_FILE_PATTERN.fullmatch(n)), reverse=True),
        )
        first_damage = ""
        for name in names:
            match = LOG_FILE_PATTERN.fullmatch(name)
            assert match is not None
            self._file_number = max(self._file_number, int(match[1]))
            file = self._disk.open(name)
            data = file.read()
            file.close()
            owner, _, batches, torn, damage = parse_file(data)
            first_damage = first_damage or (f"{name}: {damage}" if damage else "")
            if not any(kind == _COPY_COMPLETE for batch in batches for kind, _, _ in batch):
                continue  # an unfinished copy: the file before it has all records
            for batch in batches:
                for kind, key, value in batch:
                    if kind == _COPY_COMPLETE:
                        continue
                    if value is None:
                        contents.records.pop((kind, key), None)
                    else:
                        contents.records[kind, key] = value
            contents.owner, contents.torn, contents.size_bytes = owner, torn, len(data)
            break
        contents.damage = first_damage
        contents.file_number = self._file_number
        contents.voided = self._read_void_state()
        if contents.owner and contents.owner != self._owner:
            for name in names:
                self._disk.rename(name, f"{name}.of-{re.sub('[^A-Za-z0-9._-]', '_', contents.owner)[:60]}")
        return contents

    def _read_void_state(self) -> bool:
        """Open the state file, creating it if needed; return whether it marks the log void."""
        try:
            self._state = self._disk.open(STATE_FILE)
        except FileNotFoundError:
            # Created ahead of need: it can be overwritten in place even on a full disk.
            self._state = self._disk.open(STATE_FILE, create=True)
            self._state.append(b"good" + bytes(508))
            self._state.sync()
            return False
        self._is_void = self._state.read()[:4] != b"good"
        return self._is_void

    def rewrite(self, records: Iterable[Record]) -> None:
        """Write all records to a new file and sync it, then remove older files and clear an earlier void mark."""
        was_void = self._is_void  # a mark that is set during this call stays
        self.start_copy()
        rows = list(records)
        for first in range(0, len(rows), COPY_CHUNK_RECORDS):
            self.copy_records(rows[first : first + COPY_CHUNK_RECORDS])
        self.finish_copy()
        if was_void and self._state is not None:  # only now: the old file must stay untrusted
            self._state.overwrite_start(b"good")
            self._state.sync()
            self._is_void = False

    def start_copy(self) -> None:
        """Start a new file for a copy of all valid records; batches appended meanwhile go to both files."""
        self.abort_copy()
        self._file_number += 1
        name = f"memory.{self._file_number:08d}.log"
        salt = secrets.token_bytes(8)
        file = self._disk.open(name, create=True)
        file.append(_file_header(self._owner, salt))
        self._copy_target, self._copy_frame_count = (file, name, salt), 0

    def copy_records(self, records: Iterable[Record]) -> None:
        """Write a chunk of the copy. Later changes of its records have to be appended after it."""
        assert self._copy_target is not None
        file, _, salt = self._copy_target
        file.append(_frame(records, self._copy_frame_count, salt))
        self._copy_frame_count += 1

    def finish_copy(self) -> None:
        """Complete and sync the copy, switch to it and remove older files."""
        assert self._copy_target is not None
        self.copy_records([(_COPY_COMPLETE, "", True)])
        file, name, salt = self._copy_target
        file.sync()
        self._disk.sync()
        if self._file is not None:
            self._file.close()
        self._file, self._name, self._salt, self._frame_count = file, name, salt, self._copy_frame_count
        self._copy_target = None
        self.size = 0
        for old_name in self._disk.names():
            if LOG_FILE_PATTERN.fullmatch(old_name) and old_name != name:
                self._disk.remove(old_name)

    def abort_copy(self) -> None:
        """Discard an unfinished copy."""
        if self._copy_target is not None:
            file, name, _ = self._copy_target
            self._copy_target = None
            file.close()
            self._disk.remove(name)

    @property
    def copying(self) -> bool:
        """Return whether a copy is under way."""
        return self._copy_target is not None

    def append(self, records: Iterable[Record]) -> None:
        """Write a batch; it is durable after `sync`."""
        if self._file is None:
            raise OSError("the log is not open")
        rows = list(records)
        frame = _frame(rows, self._frame_count, self._salt)
        self._file.append(frame)
        self._frame_count += 1
        self.size += len(frame)
        if self._copy_target is not None:
            self.copy_records(rows)

    def sync(self) -> None:
        """Flush all appended batches to disk."""
        if self._file is None:
            raise OSError("the log is not open")
        self._file.sync()

    def mark_void(self) -> None:
        """Mark the log void by overwriting the state file in place, which works on a full disk as well."""
        self._is_void = True
        if self._state is not None:
            self._state.overwrite_start(b"void")
            self._state.sync()

    def close(self) -> None:
        """Close the files."""
        for file in (self._file, self._state, self._copy_target[0] if self._copy_target else None):
            if file is not None:
                file.close()
        self._file = self._state = self._copy_target = None
