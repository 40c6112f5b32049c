"""One client that sends small or unsound requests at full speed: others are served, and memory does not grow."""

import pytest

from rig.fake_servers import run
from rig.memory_pressure import MB, play

LEAST_MEMORY_MB, MOST_SOCKETS = 32, 1024


# Guards against: all that one read brought was answered before other clients had their turn, the rest of it was queued
# behind a rejection, and accounts of new customers had no limit by memory.
@pytest.mark.parametrize("kind", ["health_checks", "unknown_paths", "new_customers", "unknown_plans"])
def test_others_are_served_beside_one_client_at_full_speed(kind):
    async def scenario():
        peak_bytes, usual = await play([kind], LEAST_MEMORY_MB, MOST_SOCKETS, seconds=5.0)
        assert peak_bytes < LEAST_MEMORY_MB * MB
        assert usual.latencies and not usual.failures
        assert max(usual.latencies) < 1.0  # the latency objective of the class

    run(scenario())
