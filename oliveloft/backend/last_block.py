"""Holds back the last block of a repeated request until it is clear when the worker will have read the request.

A worker may run a request as soon as it has the last byte, and what the system has taken can reach it much later.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from micagate.bodies.arrival import ArrivalEstimate
from oliveloft.backend.send_queue import unacknowledged_bytes

SAMPLE_INTERVAL_SECONDS = 0.01


class LastBlockGate:
    """Decides when the last block of a request is written, or that it would be read after `deadline` (loop time).

    `release` is called when it may be written, `give_up` when the worker reads too slowly; one of them, once, unless
    the gate is closed before.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        transport: asyncio.Transport,
        deadline: float,
        release: Callable[[], None],
        give_up: Callable[[], None],
    ) -> None:
        self._loop, self._transport, self._deadline = loop, transport, deadline
        self._release, self._give_up = release, give_up
        self._estimate = ArrivalEstimate(loop.time())
        self._written_bytes = 0
        self._last_block_bytes = 0  # size of the block that is held back; 0: none is yet
        self.is_open = False  # the last block may be written
        self._timer: asyncio.TimerHandle | None = loop.call_later(SAMPLE_INTERVAL_SECONDS, self._sample)

    def close(self) -> None:
        """Stop: the attempt is over."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def written(self, size_bytes: int) -> None:
        """Count bytes of the request that were passed to the transport."""
        self._written_bytes += size_bytes

    def hold_back(self, size_bytes: int) -> None:
        """Hold the last block back, which has `size_bytes`."""
        self._last_block_bytes = size_bytes

    def _sample(self) -> None:
        """Record the worker's progress; once it has all but the last block, decide on that."""
        now = self._loop.time()
        waiting_bytes = self._transport.get_write_buffer_size() + unacknowledged_bytes(self._transport)
        self._estimate.record(now, self._written_bytes - waiting_bytes)
        if not self._last_block_bytes or waiting_bytes:
            self._timer = self._loop.call_later(SAMPLE_INTERVAL_SECONDS, self._sample)
            return
        self._timer = None
        if self._estimate.read_at(self._written_bytes + self._last_block_bytes) > self._deadline:
            self._give_up()
        else:
            self.is_open = True
            self._release()
