"""The estimate of when a worker has read a long request, from the bytes that its system has acknowledged."""

import pytest

from micagate.bodies.arrival import ArrivalEstimate


def estimate(samples, begun_at=10.0):
    found = ArrivalEstimate(begun_at)
    for now, acknowledged_bytes in samples:
        found.record(now, acknowledged_bytes)
    return found


def test_without_progress_after_the_first_sample_the_worker_does_not_look_slow():
    assert estimate([(10.01, 900_000), (10.5, 900_000)]).read_at(900_000) == 10.01


def test_what_fills_the_workers_buffers_at_once_does_not_count_as_read():
    # 200 KB fill its buffers; it reads 500 KB a second, so that the last byte is acknowledged 0.4 s before it is read.
    samples = [(10.01, 205_000), (10.5, 450_000), (11.4, 900_000)]
    assert estimate(samples).read_at(900_000) == pytest.approx(11.8, abs=0.01)


def test_nothing_is_read_before_it_is_acknowledged():
    assert estimate([(12.0, 100_000), (12.01, 900_000)]).read_at(900_000) == 12.01
