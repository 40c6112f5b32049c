"""Requests with side effects that may have run without an answer to their clients: their ids must not run again."""

from __future__ import annotations

KEPT_SECONDS = 60.0  # a client that comes again does so sooner
MAX_KEPT = 4096


class UnansweredRequests:
    """The ids of such requests, the oldest first, for a time. Times are seconds on the caller's clock."""

    def __init__(self) -> None:
        self._ended_at: dict[str, float] = {}

    def record(self, now: float, request: str) -> None:
        """Record a request that ended without a response to its client."""
        self._ended_at.pop(request, None)
        self._ended_at[request] = now
        while len(self._ended_at) > MAX_KEPT or now - next(iter(self._ended_at.values())) > KEPT_SECONDS:
            del self._ended_at[next(iter(self._ended_at))]

    def may_have_run(self, now: float, request: str) -> bool:
        """Whether a request with this id ended so not long ago."""
        if not self._ended_at:
            return False
        ended_at = self._ended_at.get(request)
        return ended_at is not None and now - ended_at <= KEPT_SECONDS
