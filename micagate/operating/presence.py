"""Whether this process accepts clients: the answer to health checks, and the time that clients need to move away."""

from __future__ import annotations

# Seconds after which the load balancer in front has seen the failed health check and sends no more clients: it checks
# every 0.1 s and may still send for another 0.2 s.
HEARD = 0.45


class Presence:
    """Drain state of a gatekeeper, set and ended by operators; it keeps serving requests that still arrive."""

    def __init__(self) -> None:
        self.left: float | None = None  # start of the drain, seconds on the caller's clock; None: not draining

    def leave(self, now: float) -> bool:
        """Start draining; return whether that is new. A repeated call keeps the first start time."""
        if self.left is not None:
            return False
        self.left = now
        return True

    def join(self) -> bool:
        """End the drain; return whether it was draining."""
        draining_since, self.left = self.left, None
        return draining_since is not None

    def closes(self) -> bool:
        """Return whether each response closes its connection, so that clients reconnect through the load balancer."""
        return self.left is not None

    def clears(self, now: float) -> bool:
        """Return whether to close idle connections.

        Only once no new clients arrive, since a request could otherwise cross the close.
        """
        return self.left is not None and now - self.left >= HEARD
