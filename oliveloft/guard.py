"""Counts and logs the steps that an invariant refused, so that bugs of this program are visible as numbers.

The invariants are in `micagate.invariants` and are checked before a request is sent, written, replied to or closed. A
refused step is counted here by its reason, and the first ones of each reason are logged as one line of JSON
(structlog). Nothing is logged for a step that is allowed.
"""

from __future__ import annotations

import sys
import time
from collections import Counter
from collections.abc import MutableMapping
from typing import Any

from micagate.invariants import Reason

MAX_LOGGED_PER_REASON = 100  # refused steps of one reason that are logged; further ones are only counted


class Guard:
    """The refused steps of one process."""

    def __init__(self) -> None:
        self.refused: Counter[Reason] = Counter()
        self._logger: Any = None

    def refuse(self, reason: Reason, step: str, **details: Any) -> None:
        """Count and log a refused step; `details` name the request id, state, endpoint and so on."""
        self.refused[reason] += 1
        if self.refused[reason] <= MAX_LOGGED_PER_REASON:
            self._log().error("step refused", step=step, reason=reason.value, **details)

    def summary(self) -> str:
        """The counts as `reason=count` words for operators, or "none"."""
        counts = [f"{reason.value}={self.refused[reason]}" for reason in Reason if self.refused[reason]]
        return " ".join(counts) if counts else "none"

    def _log(self) -> Any:
        if self._logger is None:
            import structlog  # imported on first use: most processes never refuse a step

            def monotonic(logger: Any, method: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
                return {"monotonic": round(time.monotonic(), 3), "level": method, **event}

            self._logger = structlog.wrap_logger(
                structlog.PrintLogger(sys.stderr), processors=[monotonic, structlog.processors.JSONRenderer()]
            )
        return self._logger
