"""The rules on sending, repeating, replying and closing, as checks of one step each.

Nothing here does I/O, keeps state or reads a clock: the caller says where a request, its attempts and the endpoint
stand, and hears the reason why a step must not be taken. The rules are those of the protocol page, in their strict
form, without its slack.
"""

from __future__ import annotations

import enum
from collections.abc import Sequence
from dataclasses import dataclass

from micagate import interface


class Reason(enum.Enum):
    """Why a step is refused; the same in logs, metrics and tests."""

    ENDPOINT_NOT_READY = "endpoint_not_ready"  # it drains, is cordoned, or is on no list
    REQUEST_OVER = "request_over"  # it was answered, or its client has gone
    DEADLINE_PASSED = "deadline_passed"
    TOO_MANY_ATTEMPTS = "too_many_attempts"
    HEDGE_NOT_ALLOWED = "hedge_not_allowed"
    REPEAT_MAY_RUN_TWICE = "repeat_may_run_twice"
    SENT_TWICE = "sent_twice"  # one attempt is written once
    REPLIED_TWICE = "replied_twice"
    CLOSED_WITHOUT_REPLY = "closed_without_reply"


class RequestState(enum.Enum):
    """Where a client's request stands."""

    ARRIVING = "arriving"  # its last byte has not come, and its time not begun
    PENDING = "pending"  # it is owed a reply
    STREAMING = "streaming"  # its reply has begun
    REPLIED = "replied"
    CLIENT_GONE = "client_gone"

    @property
    def owed(self) -> bool:
        """Whether a final reply is still owed."""
        return self in (RequestState.ARRIVING, RequestState.PENDING)


class AttemptState(enum.Enum):
    """Where one send of a request stands."""

    CONNECTING = "connecting"  # nothing is written
    WRITTEN = "written"  # all or a part of it
    OVER = "over"


class EndpointState(enum.Enum):
    """Where an endpoint stands, as far as discovery has notified and operators have said."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "removed"


@dataclass(frozen=True, slots=True)
class EarlierAttempt:
    """What is known of an attempt when a further one is to be sent."""

    sent_at: float  # seconds on the caller's clock
    status: str | None  # of `interface`; None while it is out

    @property
    def may_have_run(self) -> bool:
        """Whether an endpoint may have run it, or may yet."""
        return self.status not in interface.NOT_EXECUTED_STATUSES


@dataclass(frozen=True, slots=True)
class AttemptLimits:
    """What the settings allow."""

    attempts: int
    hedges: bool


def attempt_refusal(
    state: RequestState,
    deadline: float | None,
    now: float,
    effect: str,
    window_seconds: float,
    earlier: Sequence[EarlierAttempt],
    limits: AttemptLimits,
) -> Reason | None:
    """Why a request must not be sent, or sent again; None where it may be.

    `deadline` is None while the request's time has not begun.
    """
    if not state.owed:
        return Reason.REQUEST_OVER
    if deadline is not None and now >= deadline:
        return Reason.DEADLINE_PASSED
    if not earlier:
        return None
    if len(earlier) >= limits.attempts:
        return Reason.TOO_MANY_ATTEMPTS
    if not limits.hedges and any(attempt.status is None for attempt in earlier):
        return Reason.HEDGE_NOT_ALLOWED
    return _repeat_refusal(now, effect, window_seconds, earlier)


def _repeat_refusal(now: float, effect: str, window_seconds: float, earlier: Sequence[EarlierAttempt]) -> Reason | None:
    """A request with an effect is repeated only where nothing can have run, or where duplicates are discarded."""
    if effect == interface.PURE:
        return None
    first = next((attempt for attempt in earlier if attempt.may_have_run), None)
    if first is None or effect == interface.TOKEN and now <= first.sent_at + window_seconds:
        return None
    return Reason.REPEAT_MAY_RUN_TWICE


def write_refusal(attempt: AttemptState, endpoint: EndpointState) -> Reason | None:
    """Why an attempt must not be written to a connection of an endpoint; None where it may be."""
    if attempt is AttemptState.OVER:
        return Reason.REQUEST_OVER
    if attempt is AttemptState.WRITTEN:
        return Reason.SENT_TWICE
    return None if endpoint is EndpointState.READY else Reason.ENDPOINT_NOT_READY


def reply_refusal(state: RequestState) -> Reason | None:
    """Why a request must not get a final reply; None where it may."""
    return None if state.owed else Reason.REPLIED_TWICE


def close_refusal(owed_reply: bool) -> Reason | None:
    """Why this side must not close a client's connection; None where it may."""
    return Reason.CLOSED_WITHOUT_REPLY if owed_reply else None
