"""Whether clients are wanted here: said to whoever asks, and in the time that they need to go elsewhere."""

from __future__ import annotations

# Seconds after which whoever sends clients has heard a no and sends no more: it asks each 0.1, and sends for 0.2 more.
HEARD = 0.45


class Presence:
    """A gatekeeper that operators may empty and fill again; it goes on serving whatever comes meanwhile."""

    def __init__(self) -> None:
        self.left: float | None = None  # since when it sends clients away, seconds on the caller's clock

    def leave(self, now: float) -> bool:
        """Send clients away; whether that is new. A second call does not begin anew."""
        if self.left is not None:
            return False
        self.left = now
        return True

    def join(self) -> bool:
        """Take clients again; whether that is new."""
        left, self.left = self.left, None
        return left is not None

    def closes(self) -> bool:
        """Whether each reply closes its connection, so that the client comes again through whoever sends it."""
        return self.left is not None

    def clears(self, now: float) -> bool:
        """Whether idle connections are closed: not before no more can come, or a request would cross the close."""
        return self.left is not None and now - self.left >= HEARD
