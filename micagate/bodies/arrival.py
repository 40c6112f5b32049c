"""Estimates when a worker has read all of a long request, from the bytes that its system has acknowledged."""

from __future__ import annotations


class ArrivalEstimate:
    """The progress of one request at a worker that reads it at a steady rate.

    Acknowledged bytes may still wait in the worker's buffers. Those fill at once; from then on bytes are acknowledged
    as fast as the worker reads. Times are seconds on the caller's clock.
    """

    def __init__(self, begun_at: float) -> None:
        self._begun_at = begun_at
        self._first: tuple[float, int] | None = None  # time and acknowledged bytes of the first sample
        self._latest = (begun_at, 0)  # the same of the latest sample that showed progress

    def record(self, now: float, acknowledged_bytes: int) -> None:
        """Record how many bytes of the request have been acknowledged."""
        if acknowledged_bytes <= 0:
            return
        if self._first is None:
            self._first = self._latest = (now, acknowledged_bytes)
        elif acknowledged_bytes > self._latest[1]:
            self._latest = (now, acknowledged_bytes)

    def read_at(self, size_bytes: int) -> float:
        """The time at which the worker will have read `size_bytes`, all of which have been sent.

        Without a later sample than the first, nothing shows that the worker reads slowly: the time of the last sample.
        """
        latest_at, latest_bytes = self._latest
        if self._first is None or latest_at <= self._first[0]:
            return latest_at
        bytes_per_second = (latest_bytes - self._first[1]) / (latest_at - self._first[0])
        return max(latest_at, self._begun_at + size_bytes / bytes_per_second)
