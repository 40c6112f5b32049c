"""The adaptive idle timeout of connections to workers, learned from idle connections that failed when reused."""

from __future__ import annotations

import math

AGE_CLASSES = 12  # classes of idle time, each up to twice as long as the one before
DECAY_SECONDS = 30.0  # time constant with which the counts decay, so that an excluded class is tried again
PRIOR_USES, PRIOR_FAILURE_SHARE = 8.0, 0.05  # assumed uses of each class, and the share of them that fail
# A class is excluded if its share of failures is above the first value and above the second times that of new
# connections.
MAX_FAILURE_SHARE, NEW_CONNECTION_FACTOR = 0.2, 2.0


class IdleTimeout:
    """The longest idle time after which a connection is likely enough to work (`limit_seconds`).

    Uses of a connection are counted by its idle time, and of them those that failed with no byte of a response; new
    connections are the reference. A class of idle times that fails too often is excluded, with all longer ones.

    Workers and middleboxes may drop connections earlier than they are configured to, with or without a visible close.
    A request written to such a connection is lost, and may not be retried if running it twice is unsafe. Trade-off:
    connections are established more often, each at the cost of a handshake; if a single worker drops them early,
    connections to all others are closed early as well; and each new trial of an excluded class costs a request or two.
    """

    def __init__(self, max_seconds: float, now: float) -> None:
        self.limit_seconds = self._max_seconds = max_seconds
        # The lower bounds of all classes but the first, in seconds.
        self._edges = [max_seconds / 2 ** (AGE_CLASSES - n) for n in range(1, AGE_CLASSES)]
        # One count for each class, and a last one for new connections.
        self._uses, self._failures = [0.0] * (AGE_CLASSES + 1), [0.0] * (AGE_CLASSES + 1)
        self._decayed_at = now

    def record(self, idle_age: float | None, failed: bool) -> None:
        """Count a use of a connection after this idle time in seconds (None: a new one), and whether it failed."""
        age_class = AGE_CLASSES if idle_age is None else sum(idle_age >= edge for edge in self._edges)
        self._uses[age_class] += 1
        if failed:
            self._failures[age_class] += 1
            self._update_limit()

    def decay(self, now: float) -> None:
        """Decay the counts by the time since the last call."""
        factor, self._decayed_at = math.exp((self._decayed_at - now) / DECAY_SECONDS), now
        self._uses = [uses * factor for uses in self._uses]
        self._failures = [failures * factor for failures in self._failures]
        self._update_limit()

    def _update_limit(self) -> None:
        """Set the limit to the lower bound of the first class that fails too often."""
        *shares, new_share = [
            (failures + PRIOR_USES * PRIOR_FAILURE_SHARE) / (uses + PRIOR_USES)
            for uses, failures in zip(self._uses, self._failures, strict=True)
        ]
        max_share = max(MAX_FAILURE_SHARE, NEW_CONNECTION_FACTOR * new_share)
        first_failing = next((n for n, share in enumerate(shares) if share > max_share), AGE_CLASSES)
        self.limit_seconds = [0.0, *self._edges, self._max_seconds][first_failing]
