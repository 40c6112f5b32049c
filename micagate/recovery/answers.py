"""What the others say to a gateway that comes back: asked once each, waited for no longer than stated, made one of.

Nobody who is asked waits for anybody: a member answers at once with what it has, and says whether it comes back
itself. So there is no circle of waits, and every wait has an end.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from micagate.membership.messages import RecoveryAnswer

TOGETHER = 5.0  # seconds within which two that start lost power together (ours)
SOON = 0.5  # of the time for answers in which one who refuses may still come up
STEPPED = 2.0  # seconds by which a clock may be off the others' before it is taken to have been stepped (ours)


@dataclass(frozen=True, slots=True)
class Told:
    """What was heard: answers by peer, and what follows."""

    boot: int = 0  # the latest life of this gateway that any has heard of
    ago: float | None = None  # seconds since any last heard an earlier life of it
    stayed: tuple[str, ...] = ()  # those that were up all along
    back: tuple[str, ...] = ()  # those that came back with this one
    silent: tuple[str, ...] = ()
    offset: float = 0.0  # the others' wall clocks less this one's: the median
    workers: dict[str, tuple[float, bool]] = field(default_factory=dict)  # by name: share of a warm one's pace, fails
    pace: float = 0.0  # served a second by a gateway, the median
    void: bool = False  # it has said, before it ended, that its memory was not to be believed

    @property
    def all_lost(self) -> bool:
        """Whether nobody is known to have stayed: it was not this gateway's own crash alone."""
        return not self.stayed

    @property
    def stepped(self) -> bool:
        """Whether this gateway's wall clock is off the others'."""
        return abs(self.offset) > STEPPED


class Questions:
    """The round of one start."""

    def __init__(self, now: float, peers: Iterable[str], patience: float) -> None:
        self._began, self._until = now, now + patience
        self._soon = now + SOON * patience
        self._open = dict.fromkeys(peers)
        self._answers: dict[str, RecoveryAnswer] = {}
        self._offsets: dict[str, float] = {}

    def answered(self, now: float, wall: float, peer: str, knows: RecoveryAnswer) -> None:
        """An answer; a second one of a peer replaces the first, as it may know more by then."""
        self._open.pop(peer, None)
        self._answers[peer] = knows
        self._offsets[peer] = knows.wall - wall

    def gone(self, now: float, peer: str) -> None:
        """A peer's machine refuses. Where all lost power it may only be slower than this one: not believed at once."""
        if now >= self._soon:
            self._open.pop(peer, None)

    def waits(self, now: float) -> list[str]:
        """Who is still waited for; nobody once the time is over."""
        return [] if now >= self._until else list(self._open)

    def told(self, now: float, lost: float | None = None) -> Told:
        """What follows from the answers so far; `lost`: seconds since this gateway last wrote, if that is on record."""
        answers = self._answers
        passed = now - self._began
        since = passed + TOGETHER if lost is None else lost
        stayed = tuple(name for name, each in answers.items() if not each.recovering and each.up > since)
        back = tuple(name for name in answers if name not in stayed)
        ago = [each.ago for each in answers.values() if each.ago >= 0]
        workers: dict[str, tuple[float, bool]] = {}
        seen: dict[str, list[tuple[float, bool]]] = {}
        for name in stayed or back:  # those that were up all along know more than those that come back too
            for worker, pace, fails in answers[name].workers:
                seen.setdefault(worker, []).append((pace, fails))
        for worker, said in seen.items():
            failing = sum(fails for _, fails in said)
            # They contradict each other where a way is bad, not the worker: most have to see it.
            workers[worker] = _median([pace for pace, _ in said]), 2 * failing > len(said)
        return Told(
            max((each.boot for each in answers.values()), default=0),
            min(ago) if ago else None,
            stayed,
            back,
            tuple(self._open),
            _median(list(self._offsets.values())),
            workers,
            _median([each.pace for each in answers.values() if each.pace > 0]),
            any(each.distrusted for each in answers.values()),
        )


def _median(values: Sequence[float]) -> float:
    ordered = sorted(values)
    return ordered[len(ordered) // 2] if ordered else 0.0
