"""A log of records on a disk: appended in batches, read back whole, made anew when it has grown. It blocks.

A record is a kind, a key and a value (None: forgotten); the last of a kind and key holds. A batch is a frame: its
length and number with a checksum of their own (XXH32), a checksum of the rest (XXH64, both seeded by the file's own
salt, so that what an earlier file left on the same blocks is never taken for a frame), then msgpack. A file begins with
whose it is. It is whole from the record `_WHOLE` on: a copy of all that holds stands before that, so that older files
may go.

What a break leaves is told apart: a frame that ends too early, or zeros, is a torn tail, of which nothing was promised;
anything else that does not fit is damage, and what stood there may have been promised.
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
MAX_FRAME_BYTES = 1 << 24  # bytes of a frame
MAX_OWNER_BYTES = 255  # bytes
COPY_CHUNK_RECORDS = 256  # records of a copy in one frame
_COPY_COMPLETE = "_whole"

Record = tuple[str, str, Any]
Key = tuple[str, str]
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[tuple[str, str, Any]])


class ForeignFileError(Exception):
    """A file of another machine; the text names that."""


@dataclass
class LogContents:
    """What a folder held: records by kind and key, whose they are, and what was wrong."""

    records: dict[Key, Any] = field(default_factory=dict)
    owner: str = ""
    torn: bool = False  # the end was cut, as a break does
    damage: str = ""  # damage that no break explains, and where
    voided: bool = False  # the owner itself has said that no promise of it holds
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
    """A file's bytes: whose it is, its salt, its batches, whether its end is torn, and what is damaged."""
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
        return "", b"", [], torn, "" if torn else "its beginning does not fit"
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
            # A break can leave zeros where the length of the file was on disk sooner than what it holds.
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


class Log:
    """One folder's log. `begin` first; all may raise OSError, and then what was given is not on disk."""

    def __init__(self, disk: Disk, owner: str) -> None:
        self._disk, self._owner = disk, owner
        self._file: File | None = None
        self._copy_target: tuple[File, str, bytes] | None = None  # the file that a copy goes to: it, its name, its salt
        self._salt, self._name = b"", ""
        self._frame_count = self._copy_frame_count = 0
        self._file_number = 0
        self._state: File | None = None
        self._is_void = False
        self.size = 0  # bytes of the file that is written to

    def find(self) -> LogContents:
        """What the folder holds. Files of another owner are set aside under a name that says whose, and kept."""
        found, names = (
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
                continue  # a copy that never came to its end: the file before it holds all
            for batch in batches:
                for kind, key, value in batch:
                    if kind == _COPY_COMPLETE:
                        continue
                    if value is None:
                        found.records.pop((kind, key), None)
                    else:
                        found.records[kind, key] = value
            found.owner, found.torn, found.size_bytes = owner, torn, len(data)
            break
        found.damage = first_damage
        found.file_number = self._file_number
        found.voided = self._read_void_state()
        if found.owner and found.owner != self._owner:
            for name in names:
                self._disk.rename(name, f"{name}.of-{re.sub('[^A-Za-z0-9._-]', '_', found.owner)[:60]}")
        return found

    def _read_void_state(self) -> bool:
        try:
            self._state = self._disk.open(STATE_FILE)
        except FileNotFoundError:
            # Made long before it is needed: a full disk can still be written in place.
            self._state = self._disk.open(STATE_FILE, fresh=True)
            self._state.append(b"good" + bytes(508))
            self._state.sync()
            return False
        self._is_void = self._state.read()[:4] != b"good"
        return self._is_void

    def begin(self, records: Iterable[Record]) -> None:
        """Write all that holds to a new file, synced; older files go then, and what was void before is so no more."""
        was_void = self._is_void  # what is voided while this goes on stays so
        self.start_copy()
        rows = list(records)
        for first in range(0, len(rows), COPY_CHUNK_RECORDS):
            self.copy_records(rows[first : first + COPY_CHUNK_RECORDS])
        self.finish_copy()
        if was_void and self._state is not None:  # not sooner: the old file must not be believed again
            self._state.put(b"good")
            self._state.sync()
            self._is_void = False

    def start_copy(self) -> None:
        """A new file for a copy of all that holds; what is appended meanwhile goes to both."""
        self.abort_copy()
        self._file_number += 1
        name = f"memory.{self._file_number:08d}.log"
        salt = secrets.token_bytes(8)
        file = self._disk.open(name, fresh=True)
        file.append(_file_header(self._owner, salt))
        self._copy_target, self._copy_frame_count = (file, name, salt), 0

    def copy_records(self, records: Iterable[Record]) -> None:
        """A piece of the copy. What changes after it has to be appended after it."""
        assert self._copy_target is not None
        file, _, salt = self._copy_target
        file.append(_frame(records, self._copy_frame_count, salt))
        self._copy_frame_count += 1

    def finish_copy(self) -> None:
        """The copy is whole: it takes the old file's place."""
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
        for other in self._disk.names():
            if LOG_FILE_PATTERN.fullmatch(other) and other != name:
                self._disk.remove(other)

    def abort_copy(self) -> None:
        """Give up a copy that was begun."""
        if self._copy_target is not None:
            file, name, _ = self._copy_target
            self._copy_target = None
            file.close()
            self._disk.remove(name)

    @property
    def copying(self) -> bool:
        """Whether a copy is under way."""
        return self._copy_target is not None

    def append(self, records: Iterable[Record]) -> None:
        """Write a batch; it is on disk after `sync`."""
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
        """What was appended is on disk."""
        if self._file is None:
            raise OSError("the log is not open")
        self._file.sync()

    def mark_void(self) -> None:
        """Say in place that no promise of this log holds: a full disk takes that as well."""
        self._is_void = True
        if self._state is not None:
            self._state.put(b"void")
            self._state.sync()

    def close(self) -> None:
        """Let the files go."""
        for file in (self._file, self._state, self._copy_target[0] if self._copy_target else None):
            if file is not None:
                file.close()
        self._file = self._state = self._copy_target = None
