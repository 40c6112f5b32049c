"""The times and bounds that forwarders and planners agree on."""

from __future__ import annotations

import math
from dataclasses import dataclass, fields


@dataclass(frozen=True, slots=True)
class Terms:
    """The protocol's times, in seconds, and bounds.

    `life`: how long a grant is valid on the receiver's clock, from when it sent the report that the grant answers.
    `term`: how long a lease is valid on the lender's clock, from when it sent the report that renews it.
    `drift`: the largest relative difference between the speeds of two clocks. `interval`: the time between reports,
    and between planner updates when nothing changes. `entries`: the largest number of entries in a message.
    `shards`: the number of shards that customers and workers are divided into, each planned by one planner.

    A grant must expire before the lease that backs it: a planner grants from a lease only while the rest of it is
    longer than the life of a grant. So `term` - `life` is how late reports may arrive before leases lapse.
    """

    life: float = 1.0
    term: float = 2.2
    drift: float = 0.01
    interval: float = 0.2
    entries: int = 512
    shards: int = 16

    def __post_init__(self) -> None:
        for field in fields(self):
            value = getattr(self, field.name)
            if not isinstance(value, int | float) or not math.isfinite(value) or value < 0:
                raise ValueError(f"{field.name} must be a number of at least 0, not {value!r}")
        if not self.drift < 0.1:
            raise ValueError(f"drift must be under 0.1, not {self.drift:g}")
        if not 0 < 2 * self.interval <= self.life:
            raise ValueError(f"life ({self.life:g}) must be at least two intervals ({self.interval:g})")
        if self.min_lease_life <= self.max_grant_life + self.interval:
            raise ValueError(
                f"term ({self.term:g}) must outlast life ({self.life:g}) by more than an "
                f"interval ({self.interval:g}) on clocks that differ by {self.drift:g}"
            )
        for name in ("entries", "shards"):
            if getattr(self, name) < 1:
                raise ValueError(f"{name} must be at least 1, not {getattr(self, name)!r}")

    # With drift d, a factor of 1 + 3d on one clock covers the time on another: (1 + 3d) / (1 + d) >= 1 / (1 - d).

    @property
    def max_grant_life(self) -> float:
        """Return the longest life of a grant, in seconds on the planner's clock from when it was sent."""
        return self.life * (1 + 3 * self.drift)

    @property
    def min_lease_life(self) -> float:
        """Return the shortest life of a lease, in seconds on the planner's clock from the update its report echoes."""
        return self.term * (1 - 3 * self.drift)
