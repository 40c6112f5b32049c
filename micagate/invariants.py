"""Checks the rules for sending a request, sending it again, replying and closing a connection, one step each.

The functions do no I/O, keep no state and read no clock. The caller passes the state of a request, of its attempts and
of the endpoint, and gets the reason why the step is not allowed, or None. The rules are those of the protocol in their
strict form, without its tolerances. `oliveloft/guard.py` reports the violations.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Sequence
from dataclasses import dataclass

from micagate import interface


class Reason(enum.Enum):
    """Why a step is not allowed; the same value in logs, metrics and tests."""

    ENDPOINT_NOT_READY = "endpoint_not_ready"  # it is draining, cordoned or not listed
    REQUEST_OVER = "request_over"  # it was answered, or its client disconnected
    DEADLINE_PASSED = "deadline_passed"
    TOO_MANY_ATTEMPTS = "too_many_attempts"
    HEDGE_NOT_ALLOWED = "hedge_not_allowed"
    REPEAT_MAY_RUN_TWICE = "repeat_may_run_twice"
    SENT_TWICE = "sent_twice"  # an attempt may be written only once
    REPLIED_TWICE = "replied_twice"
    CLOSED_WITHOUT_REPLY = "closed_without_reply"


class RequestState(enum.Enum):
    """The state of a client's request."""

    ARRIVING = "arriving"  # not received completely, so its time has not begun
    PENDING = "pending"  # received, without a reply yet
    STREAMING = "streaming"  # a part of the reply was sent
    REPLIED = "replied"
    CLIENT_DISCONNECTED = "client_gone"  # the client disconnected

    @property
    def awaits_reply(self) -> bool:
        """Whether the client still awaits a final reply."""
        return self in (RequestState.ARRIVING, RequestState.PENDING)


class AttemptState(enum.Enum):
    """The state of an attempt."""

    CONNECTING = "connecting"  # nothing is written yet
    WRITTEN = "written"  # written in full or in part
    OVER = "over"  # ended


class EndpointState(enum.Enum):
    """The state of an endpoint, by the latest discovery update and the calls of operators."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "removed"


@dataclass(frozen=True, slots=True)
class EarlierAttempt:
    """An earlier attempt of a request that is about to be sent again."""

    sent_at: float  # of its last byte, seconds on the caller's clock
    status: str | None  # a status of `interface`; None while in flight
    # Seconds from its last byte to its end, if the body was streamed: the worker may have read that byte as late.
    read_lag_seconds: float = 0.0

    @property
    def may_have_run(self) -> bool:
        """Whether an endpoint may have executed it, or still may."""
        return self.status not in interface.NOT_EXECUTED_STATUSES


@dataclass(frozen=True, slots=True)
class AttemptLimits:
    """The limits of the settings: attempts of a request, and whether hedges are allowed."""

    max_attempts: int
    hedging: bool


def attempt_refusal(
    state: RequestState,
    deadline: float | None,
    now: float,
    effect: str,
    window_seconds: float,
    earlier: Sequence[EarlierAttempt],
    limits: AttemptLimits,
) -> Reason | None:
    """Return why a request must not be sent, or sent again; None if it may be.

    `deadline` is None before the request is received completely.
    """
    if not state.awaits_reply:
        return Reason.REQUEST_OVER
    if deadline is not None and now >= deadline:
        return Reason.DEADLINE_PASSED
    if not earlier:
        return None
    if len(earlier) >= limits.max_attempts:
        return Reason.TOO_MANY_ATTEMPTS
    if not limits.hedging and any(attempt.status is None for attempt in earlier):
        return Reason.HEDGE_NOT_ALLOWED
    return _repeat_refusal(now, effect, window_seconds, earlier)


def _repeat_refusal(now: float, effect: str, window_seconds: float, earlier: Sequence[EarlierAttempt]) -> Reason | None:
    """Return why a request must not be sent again; None if it may be.

    A request with side effects may be sent again only if no attempt can have been executed, or while the workers
    discard duplicates by its token.
    """
    repeat_until = repeat_deadline(effect, window_seconds, earlier)
    return None if repeat_until is None or now <= repeat_until else Reason.REPEAT_MAY_RUN_TWICE


def repeat_deadline(effect: str, window_seconds: float, earlier: Sequence[EarlierAttempt]) -> float | None:
    """Return the time until which the last byte of a further attempt may be written; None without a limit.

    It has to arrive while the workers still discard duplicates of the first attempt that may have run, also if it is
    read as late as that one was.
    """
    first = next((attempt for attempt in earlier if attempt.may_have_run), None)
    if effect == interface.PURE or first is None:
        return None
    return first.sent_at + window_seconds - first.read_lag_seconds if effect == interface.TOKEN else -math.inf


def write_refusal(attempt: AttemptState, endpoint: EndpointState) -> Reason | None:
    """Return why an attempt must not be written to a connection of an endpoint; None if it may be."""
    if attempt is AttemptState.OVER:
        return Reason.REQUEST_OVER
    if attempt is AttemptState.WRITTEN:
        return Reason.SENT_TWICE
    return None if endpoint is EndpointState.READY else Reason.ENDPOINT_NOT_READY


def reply_refusal(state: RequestState) -> Reason | None:
    """Return why a request must not get a final reply; None if it may."""
    return None if state.awaits_reply else Reason.REPLIED_TWICE


def close_refusal(awaits_reply: bool) -> Reason | None:
    """Return why this process must not close a client's connection; None if it may."""
    return Reason.CLOSED_WITHOUT_REPLY if awaits_reply else None
