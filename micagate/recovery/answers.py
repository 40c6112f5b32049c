"""Queries of a restarted gateway to its peers: each is asked once, with a timeout, and the answers are combined.

A member answers at once with what it has, also while it recovers itself, and says so. As nobody who is asked waits for
others, members that recover together cannot deadlock.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from micagate.membership.messages import RecoveryAnswer

SIMULTANEOUS_LOSS_SECONDS = 5.0  # members that start within this time are taken to have lost power together
REFUSAL_TRUSTED_AFTER_FRACTION = 0.5  # of the timeout: until then a peer that refuses may still start
CLOCK_STEP_SECONDS = 2.0  # a clock that differs from the peers' by more has been stepped


@dataclass(frozen=True, slots=True)
class PeerFindings:
    """The combined answers of the peers."""

    incarnation: int = 0  # the latest incarnation of this gateway that a peer knows
    last_heard_ago: float | None = None  # seconds since a peer last heard from a previous incarnation
    stayed: tuple[str, ...] = ()  # peers that were up all the time
    restarted: tuple[str, ...] = ()  # peers that restarted together with this gateway
    unresponsive: tuple[str, ...] = ()  # peers that have not answered
    offset: float = 0.0  # median of the seconds by which the peers' wall clocks are ahead
    workers: dict[str, tuple[float, bool]] = field(default_factory=dict)  # by name: warm-up factor, whether it fails
    served_rate: float = 0.0  # requests served a second by a gateway, the median
    distrusted: bool = False  # this gateway has declared its persisted state invalid before it ended

    @property
    def all_restarted(self) -> bool:
        """Whether no peer is known to have been up all the time, so that more than this gateway has failed."""
        return not self.stayed

    @property
    def clock_stepped(self) -> bool:
        """Whether this gateway's wall clock differs too much from its peers'."""
        return abs(self.offset) > CLOCK_STEP_SECONDS


class RecoveryQueries:
    """The queries to all peers during one start."""

    def __init__(self, now: float, peers: Iterable[str], timeout: float) -> None:
        self._started_at, self._deadline = now, now + timeout
        self._refusals_trusted_at = now + REFUSAL_TRUSTED_AFTER_FRACTION * timeout
        self._pending = dict.fromkeys(peers)
        self._answers: dict[str, RecoveryAnswer] = {}
        self._offsets: dict[str, float] = {}

    def record_answer(self, now: float, wall: float, peer: str, answer: RecoveryAnswer) -> None:
        """Record an answer; a second one from a peer replaces the first, as the peer may know more by then."""
        self._pending.pop(peer, None)
        self._answers[peer] = answer
        self._offsets[peer] = answer.wall - wall

    def record_refusal(self, now: float, peer: str) -> None:
        """Record that a peer's machine refuses connections. This counts only after a part of the timeout: after a power
        loss of all machines, the peer may just start more slowly than this gateway."""
        if now >= self._refusals_trusted_at:
            self._pending.pop(peer, None)

    def pending(self, now: float) -> list[str]:
        """Return the peers to wait for, none after the timeout."""
        return [] if now >= self._deadline else list(self._pending)

    def findings(self, now: float, seconds_since_write: float | None = None) -> PeerFindings:
        """Combine the answers so far. `seconds_since_write` is the time since this gateway's last write, if known."""
        answers = self._answers
        elapsed = now - self._started_at
        since = elapsed + SIMULTANEOUS_LOSS_SECONDS if seconds_since_write is None else seconds_since_write
        stayed = tuple(name for name, answer in answers.items() if not answer.recovering and answer.up > since)
        restarted = tuple(name for name in answers if name not in stayed)
        ago = [answer.ago for answer in answers.values() if answer.ago >= 0]
        workers: dict[str, tuple[float, bool]] = {}
        reports_by_worker: dict[str, list[tuple[float, bool]]] = {}
        for name in stayed or restarted:  # peers that were up all the time know more than restarted ones
            for worker, warm_up, failing_report in answers[name].workers:
                reports_by_worker.setdefault(worker, []).append((warm_up, failing_report))
        for worker, reports in reports_by_worker.items():
            failing = sum(failing_report for _, failing_report in reports)
            # Peers disagree if only some network paths to the worker fail, so a majority has to see it fail.
            workers[worker] = _median([warm_up for warm_up, _ in reports]), 2 * failing > len(reports)
        return PeerFindings(
            max((answer.boot for answer in answers.values()), default=0),
            min(ago) if ago else None,
            stayed,
            restarted,
            tuple(self._pending),
            _median(list(self._offsets.values())),
            workers,
            _median([answer.pace for answer in answers.values() if answer.pace > 0]),
            any(answer.distrusted for answer in answers.values()),
        )


def _median(values: Sequence[float]) -> float:
    ordered = sorted(values)
    return ordered[len(ordered) // 2] if ordered else 0.0
