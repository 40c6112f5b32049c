"""The messages between predecessor and successor in a hot restart, each in one datagram with a checksum.

The encoding is msgpack with fields by name, so each version ignores fields that it does not know; `VERSION` is raised
for changes where that is not enough. Every datagram begins with the CRC-32 of the rest, big-endian. Tags and field
names are part of the format.
"""

from __future__ import annotations

import zlib
from typing import Any

import msgspec

VERSION = 1
MAX_DATAGRAM_BYTES = 128 * 1024
LIST_UPDATE = "list_update"  # name of a part that is sent after the state; an earlier version ignores it


class MalformedMessage(Exception):
    """Raised for a datagram that cannot be decoded."""


class Hello(msgspec.Struct, tag="Hello"):
    """From the successor: its protocol version, its name and its clock (CLOCK_MONOTONIC, seconds)."""

    version: int
    name: str
    clock: float


class Rejected(msgspec.Struct, tag="No"):
    """From either side: the handoff is rejected, and the reason."""

    why: str


class Accounts(msgspec.Struct, tag="Accounts"):
    """From the predecessor: some customers' accounts; a later row of a customer replaces an earlier one."""

    rows: list[dict[str, Any]]


class AccountsCopied(msgspec.Struct, tag="Copied"):
    """From the predecessor: every account was sent at least once."""


class StateRequest(msgspec.Struct, tag="Take"):
    """From the successor: it is ready for the rest of the state."""


class StatePart(msgspec.Struct, tag="Part"):
    """From the predecessor: a named part of its state other than accounts.

    Except for the quota deficits ("debts"), parts are sent once it has stopped accepting clients.
    """

    name: str
    value: Any


class StateComplete(msgspec.Struct, tag="Given"):
    """From the predecessor: the state is complete."""

    clock: float


class Accepted(msgspec.Struct, tag="Taken"):
    """From the successor: it accepts clients."""


class ClientConnection(msgspec.Struct, tag="Client"):
    """From the predecessor: the attached descriptor is a client connection with no request in progress.

    `good`: whether it has carried a valid request.
    """

    good: bool


class WorkerConnection(msgspec.Struct, tag="Worker"):
    """From the predecessor: the attached descriptor is an idle connection to a worker.

    Both times are on the monotonic clock that the processes share; the second one is that of the last response on the
    connection, if there was one.
    """

    worker: str
    idle_since: float
    last_response_at: float | None = None  # a predecessor of an earlier version does not send it


class AttemptStarted(msgspec.Struct, tag="Began"):
    """From the predecessor: it has started an attempt; `row` is what `state.attempt_row` returns."""

    row: dict[str, Any]


class AttemptEnded(msgspec.Struct, tag="Ended"):
    """From the predecessor: one of its attempts has ended; the fields are those of `interface.Outcome`."""

    request: str
    number: int
    worker: str
    status: str
    took: float
    used: float | None = None


class OperatorCall(msgspec.Struct, tag="Call"):
    """From either side: an operator's call that the other process is to apply as well."""

    word: str
    worker: str = ""


Message = (
    Hello
    | Rejected
    | Accounts
    | AccountsCopied
    | StateRequest
    | StatePart
    | StateComplete
    | Accepted
    | ClientConnection
    | WorkerConnection
    | AttemptStarted
    | AttemptEnded
    | OperatorCall
)
_encoder, _decoder = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Encode a message as a datagram."""
    data = _encoder.encode(message)
    return zlib.crc32(data).to_bytes(4, "big") + data


def decode(datagram: bytes) -> Message:
    """Decode a datagram; raise `MalformedMessage` if it is not a valid message."""
    if zlib.crc32(datagram[4:]).to_bytes(4, "big") != datagram[:4]:
        raise MalformedMessage("checksum mismatch")
    try:
        message: Message = _decoder.decode(datagram[4:])
    except msgspec.MsgspecError as error:
        raise MalformedMessage(str(error)) from error
    return message
