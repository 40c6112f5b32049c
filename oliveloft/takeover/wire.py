"""The messages between the process that gives and the one that takes, each in a datagram with a checksum.

msgpack with fields by name, so that an older and a newer version leave what they do not know (`VERSION` rises where
that is not enough). Every datagram begins with the CRC-32 of the rest, big-endian.
"""

from __future__ import annotations

import zlib
from typing import Any

import msgspec

VERSION = 1
LONGEST = 128 * 1024  # bytes of a datagram


class Damaged(Exception):
    """A datagram that cannot be read."""


class Hello(msgspec.Struct, tag="Hello"):
    """The taker: who it is, and what its clock says (CLOCK_MONOTONIC, seconds)."""

    version: int
    name: str
    clock: float


class Rejected(msgspec.Struct, tag="No"):
    """Either side: nothing is given or taken, and why."""

    why: str


class Accounts(msgspec.Struct, tag="Accounts"):
    """The giver: some customers' accounts."""

    rows: list[dict[str, Any]]


class AccountsCopied(msgspec.Struct, tag="Copied"):
    """The giver: all accounts were told once."""


class StateRequest(msgspec.Struct, tag="Take"):
    """The taker: it can serve, and the rest is to come now."""


class StatePart(msgspec.Struct, tag="Part"):
    """The giver, which accepts no more from here on: a part of what it knows."""

    name: str
    value: Any


class StateComplete(msgspec.Struct, tag="Given"):
    """The giver: that was all."""

    clock: float


class Accepted(msgspec.Struct, tag="Taken"):
    """The taker: it accepts."""


class ClientConnection(msgspec.Struct, tag="Client"):
    """The giver: a client's connection with nothing of a request on it goes along."""

    good: bool


class WorkerConnection(msgspec.Struct, tag="Worker"):
    """The giver: an idle connection to a worker goes along."""

    worker: str
    idle_since: float


class AttemptStarted(msgspec.Struct, tag="Began"):
    """The giver: it has begun an attempt."""

    row: dict[str, Any]


class AttemptEnded(msgspec.Struct, tag="Ended"):
    """The giver: an attempt of its has ended."""

    request: str
    number: int
    worker: str
    status: str
    took: float
    used: float | None = None


class OperatorCall(msgspec.Struct, tag="Call"):
    """Either side: operators have called it, and the other one is to do the same."""

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
    """A message as a datagram."""
    data = _encoder.encode(message)
    return zlib.crc32(data).to_bytes(4, "big") + data


def decode(datagram: bytes) -> Message:
    """The message of a datagram. Damaged where there is none."""
    if zlib.crc32(datagram[4:]).to_bytes(4, "big") != datagram[:4]:
        raise Damaged("the checksum does not fit")
    try:
        message: Message = _decoder.decode(datagram[4:])
    except msgspec.MsgspecError as error:
        raise Damaged(str(error)) from error
    return message
