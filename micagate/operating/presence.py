"""Whether this process accepts clients: the answer to health checks, and the time that clients need to move away."""

from __future__ import annotations

# Seconds after which the load balancer in front has seen the failed health check and sends no more clients: it checks
# every 0.1 s and may still send for another 0.2 s.
REDIRECT_SECONDS = 0.45


class Presence:
    """Drain state of a gatekeeper, set and ended by operators; it keeps serving requests that still arrive."""

    def __init__(self) -> None:
        # Start of the drain, seconds on the caller's clock; None: not draining.
        self.draining_since: float | None = None

    def start_drain(self, now: float) -> bool:
        """Start draining; return whether that is new. A repeated call keeps the first start time."""
        if self.draining_since is not None:
            return False
        self.draining_since = now
        return True

    def end_drain(self) -> bool:
        """End the drain; return whether it was draining."""
        draining_since, self.draining_since = self.draining_since, None
        return draining_since is not None

    def closes_connections(self) -> bool:
        """Return whether each response closes its connection, so that clients reconnect through the load balancer."""
        return self.draining_since is not None

    def closes_idle_connections(self, now: float) -> bool:
        """Return whether to close idle connections.

        Only once no new clients arrive, since a request could otherwise cross the close.
        """
        return self.draining_since is not None and now - self.draining_since >= REDIRECT_SECONDS
