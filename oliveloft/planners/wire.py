"""The wire between forwarders, planners and members: frames of MessagePack, checked by type, with an opening.

A frame is its length in four bytes, the most significant first, and one message. The planner begins with a
`Challenge`, the other side proves that it knows the secret by an HMAC over both nonces (RFC 2104), and the
planner proves the same. Nothing but the opening is read or told before that.
"""

from __future__ import annotations

import hashlib
import hmac
import secrets

import msgspec

from micagate.membership.messages import Heartbeat, RecoveryAnswer, RecoveryQuery, StateSummary
from micagate.planning.messages import PlannerUpdate, Report, RestartSession
from micagate.planning.terms import Terms

VERSION = 3
MOST_FRAME = 256 * 1024
OPENING_FRAME = 4096  # the same until a peer has proved itself


class WireError(Exception):
    """What came is no message of this wire; the text says what is wrong."""


class Challenge(msgspec.Struct, frozen=True, array_like=True, tag=16):
    """The planner's first message."""

    version: int
    nonce: bytes


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=17):
    """The other side's first message; `role` is forwarder, member or status.

    `forwarders` is how many there are of its kind, `name` what it goes by. A member's `epochs` is the number of its
    life.
    """

    version: int
    role: str
    name: str
    index: int
    forwarders: int
    nonce: bytes
    proof: bytes
    epochs: tuple[tuple[int, int], ...] = ()
    terms: tuple[float, ...] = ()  # life, term, drift and shards: the rules rest on their being the same


class Welcome(msgspec.Struct, frozen=True, array_like=True, tag=18):
    """The planner knows the other side; what follows is trusted."""

    planner: str
    proof: bytes
    age: float = 0.0  # seconds that it is up: what was lent to one before that is known to it no more


class Owned(msgspec.Struct, frozen=True, array_like=True, tag=19):
    """All shards that the planner owns, with their epochs; told at each change, and now and then."""

    shards: tuple[tuple[int, int], ...]


class Pulse(msgspec.Struct, frozen=True, array_like=True, tag=20):
    """A forwarder is still there."""

    epochs: tuple[tuple[int, int], ...] = ()


class Refused(msgspec.Struct, frozen=True, array_like=True, tag=21):
    """Why the planner closes the connection; nothing secret."""

    why: str


class Status(msgspec.Struct, frozen=True, array_like=True, tag=22):
    """The planner's state as JSON, for `planners status`."""

    state: str


Message = (
    Challenge
    | Hello
    | Welcome
    | Owned
    | Pulse
    | Refused
    | Status
    | Report
    | PlannerUpdate
    | RestartSession
    | Heartbeat
    | StateSummary
    | RecoveryQuery
    | RecoveryAnswer
)

_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)
_encoder = msgspec.msgpack.Encoder()


def encode(message: Message) -> bytes:
    """A frame."""
    raw = _encoder.encode(message)
    return len(raw).to_bytes(4, "big") + raw


class Framer:
    """Takes bytes as they come and gives messages; bounded by the longest frame that is allowed just now."""

    def __init__(self) -> None:
        self._held = bytearray()
        self.most = OPENING_FRAME

    def feed(self, data: bytes) -> list[Message]:
        """The messages that are whole; WireError where one is too long or nonsense."""
        self._held += data
        made: list[Message] = []
        start = 0
        while len(self._held) - start >= 4:
            size = int.from_bytes(self._held[start : start + 4], "big")
            if size > self.most:
                raise WireError(f"a frame of {size} bytes, at most {self.most} are allowed")
            if len(self._held) - start - 4 < size:
                break
            raw = bytes(self._held[start + 4 : start + 4 + size])
            try:
                made.append(_decoder.decode(raw))
            except (msgspec.DecodeError, RecursionError) as error:
                raise WireError(f"no message: {error}") from error
            start += 4 + size
        del self._held[:start]
        return made


def agreed(terms: Terms) -> tuple[float, ...]:
    """The terms that both sides must have alike."""
    return terms.life, terms.term, terms.drift, float(terms.shards)


def nonce() -> bytes:
    """A fresh one."""
    return secrets.token_bytes(16)


def proof(secret: bytes, side: str, challenge: bytes, answer: bytes, name: str) -> bytes:
    """Proves that a side knows the secret; each side's is another, so that none can be sent back."""
    message = b"\0".join((str(VERSION).encode(), side.encode(), challenge, answer, name.encode()))
    return hmac.new(secret, message, hashlib.sha256).digest()


def proved(secret: bytes, side: str, challenge: bytes, answer: bytes, name: str, given: bytes) -> bool:
    """Whether a proof is right, in the same time whatever is wrong with it."""
    return hmac.compare_digest(proof(secret, side, challenge, answer, name), given)
