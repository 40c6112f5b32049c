"""The reasons for which a client is not read for a time."""

from __future__ import annotations

import enum


class PauseReason(enum.Enum):
    """Why a client is not read; it is read again when no reason is left."""

    QUEUE_FULL = "queue full"  # too many requests wait behind the one in progress
    INPUT_LEFT = "input left"  # others have their turn first, or a part of what was read is not parsed yet
    NO_MEMORY = "no memory"  # the budget is used up, or the buffer of a streamed body is full


NOT_PAUSED: frozenset[PauseReason] = frozenset()
