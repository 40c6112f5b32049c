"""Fault injection: system calls of a gatekeeper that fail as planned, and steps of its wall clock.

Both are done by a library that is compiled here and preloaded into the gatekeeper (LD_PRELOAD).
"""

import enum
import os
import struct
import subprocess
from pathlib import Path

import pytest

PLAN = struct.Struct("iiii")  # of each call: errno, times, byte limit, failures so far


class Call(enum.IntEnum):
    """The system calls that can fail, in the order of the library's plan."""

    ACCEPT, SOCKET, CONNECT, RECEIVE, SEND, WALL_CLOCK = range(6)


class FailingCalls:
    """The fault plan of one gatekeeper."""

    def __init__(self, library, path):
        self.environment = {"LD_PRELOAD": str(library), "FAILING_CALLS_PLAN": str(path)}
        self._path = path
        path.write_bytes(bytes(PLAN.size * len(Call)))

    def plan(self, call, error=0, times=0, most_bytes=0):
        """Make a call fail with `error` this many times (-1: until planned anew), or transfer at most `most_bytes`."""
        file = os.open(self._path, os.O_RDWR)
        os.pwrite(file, PLAN.pack(error, times, most_bytes, 0), PLAN.size * call)
        os.close(file)

    def step_wall_clock(self, seconds):
        """Set the gatekeeper's wall clock ahead of the system's by this many seconds from now on."""
        self.plan(Call.WALL_CLOCK, most_bytes=seconds)

    def failed(self, call):
        """How often the call has failed by the current plan."""
        return PLAN.unpack_from(self._path.read_bytes(), PLAN.size * call)[3]


@pytest.fixture(scope="session")
def failing_calls_library(tmp_path_factory):
    """The compiled library."""
    library = tmp_path_factory.mktemp("shim") / "failing_calls.so"
    source = Path(__file__).with_name("failing_calls.c")
    subprocess.run(["cc", "-shared", "-fPIC", "-O1", "-Wall", "-Werror", "-o", library, source, "-ldl"], check=True)
    return library


@pytest.fixture
def failing_calls(failing_calls_library, tmp_path):
    """A plan in which no call fails yet."""
    return FailingCalls(failing_calls_library, tmp_path / "plan")
