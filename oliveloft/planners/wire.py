"""The wire protocol between forwarders, planners and members: typed MessagePack frames after a handshake.

A frame is its length in four bytes, most significant byte first, and one message. The accepting side sends a
`Challenge`, the connecting side proves in its `Hello` that it knows the shared secret by an HMAC over both nonces
(RFC 2104), and the accepting side proves the same in its `Welcome`. Before that only handshake messages are accepted
and nothing else is sent.

Messages are arrays with numbered tags: tags, field order and field types are part of the protocol.
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
MAX_FRAME_BYTES = 256 * 1024  # limit of a frame from an authenticated peer
OPENING_FRAME = 4096  # limit in bytes until a peer has authenticated


class WireError(Exception):
    """Raised for input that violates the protocol; the text says how."""


class Challenge(msgspec.Struct, frozen=True, array_like=True, tag=16):
    """The first message of the accepting side."""

    version: int
    nonce: bytes


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=17):
    """The first message of the connecting side.

    `role` is `forwarder`, `member` or `status`, `name` is the sender's, and `forwarders` is the configured number of
    forwarders or members. `epochs` are the known epochs of shards; for a member they hold its incarnation number.
    """

    version: int
    role: str
    name: str
    index: int
    forwarders: int
    nonce: bytes
    proof: bytes
    epochs: tuple[tuple[int, int], ...] = ()
    terms: tuple[float, ...] = ()  # life, term, drift and shards: must be equal on both sides


class Welcome(msgspec.Struct, frozen=True, array_like=True, tag=18):
    """Accepts the connecting side and proves that the sender knows the secret; later messages are trusted."""

    planner: str
    proof: bytes
    age: float = 0.0  # seconds since the sender's start: it does not know of leases from before


class Owned(msgspec.Struct, frozen=True, array_like=True, tag=19):
    """All shards that a planner owns, with their epochs; sent at each change and periodically."""

    shards: tuple[tuple[int, int], ...]


class Pulse(msgspec.Struct, frozen=True, array_like=True, tag=20):
    """A forwarder's heartbeat, with the epochs of shards that it knows."""

    epochs: tuple[tuple[int, int], ...] = ()


class Refused(msgspec.Struct, frozen=True, array_like=True, tag=21):
    """Why the sender closes the connection; never contains a secret."""

    why: str


class Status(msgspec.Struct, frozen=True, array_like=True, tag=22):
    """The state of a planner or member as JSON, for `planners status` and `fleet status`."""

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
    """Return a message as a frame."""
    payload = _encoder.encode(message)
    return len(payload).to_bytes(4, "big") + payload


class Framer:
    """Decodes a stream of bytes into messages with payloads of up to `max_frame_bytes`."""

    def __init__(self) -> None:
        self._held = bytearray()  # received bytes of an incomplete frame
        self.max_frame_bytes = OPENING_FRAME

    def feed(self, data: bytes) -> list[Message]:
        """Add received bytes and return all complete messages. WireError where one is too long or malformed."""
        self._held += data
        messages: list[Message] = []
        start = 0
        while len(self._held) - start >= 4:
            size = int.from_bytes(self._held[start : start + 4], "big")
            if size > self.max_frame_bytes:
                raise WireError(f"a frame of {size} bytes, at most {self.max_frame_bytes} are allowed")
            if len(self._held) - start - 4 < size:
                break
            payload = bytes(self._held[start + 4 : start + 4 + size])
            try:
                messages.append(_decoder.decode(payload))
            except (msgspec.DecodeError, RecursionError) as error:
                raise WireError(f"malformed message: {error}") from error
            start += 4 + size
        del self._held[:start]
        return messages


def agreed_terms(terms: Terms) -> tuple[float, ...]:
    """Return the terms that must be equal on both sides."""
    return terms.life, terms.term, terms.drift, float(terms.shards)


def nonce() -> bytes:
    """Return a random nonce."""
    return secrets.token_bytes(16)


def proof(secret: bytes, side: str, challenge: bytes, answer: bytes, name: str) -> bytes:
    """Return a proof that a side knows the secret; it depends on the side, so that it cannot be reflected."""
    message = b"\0".join((str(VERSION).encode(), side.encode(), challenge, answer, name.encode()))
    return hmac.new(secret, message, hashlib.sha256).digest()


def verify_proof(secret: bytes, side: str, challenge: bytes, answer: bytes, name: str, received_proof: bytes) -> bool:
    """Return whether a proof is right, in constant time."""
    return hmac.compare_digest(proof(secret, side, challenge, answer, name), received_proof)
