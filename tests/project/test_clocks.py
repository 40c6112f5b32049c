"""Durations are measured on the monotonic clock; the only modules that read the wall clock are listed here."""

import ast
from pathlib import Path

ROOT = Path(__file__).parents[2]
WALL_CLOCK_READERS = {
    "oliveloft/gatekeeper/process.py": 1,  # once at the start, to convert the start times of endpoints
    "oliveloft/fleet/member.py": 1,  # heartbeats carry it, so that a stepped clock is detected
}
WALL_CLOCK = {
    ("time", "time"),
    ("time", "time_ns"),
    ("time", "localtime"),
    ("time", "gmtime"),
    ("datetime", "now"),
    ("datetime", "utcnow"),
    ("datetime", "today"),
    ("date", "today"),
}


def count_wall_clock_reads(path):
    """Return how many references to calls that read the wall clock a module has."""
    tree = ast.parse(path.read_text())
    found = 0
    for node in ast.walk(tree):
        if isinstance(node, ast.Attribute) and isinstance(node.value, ast.Name):
            found += (node.value.id, node.attr) in WALL_CLOCK
        elif isinstance(node, ast.ImportFrom) and node.module in ("time", "datetime"):
            found += sum((node.module, alias.name) in WALL_CLOCK or node.module == "datetime" for alias in node.names)
    return found


def test_only_the_listed_modules_read_the_wall_clock():
    found = {}
    for package in ("micagate", "oliveloft"):
        for path in (ROOT / package).rglob("*.py"):
            if reads := count_wall_clock_reads(path):
                found[str(path.relative_to(ROOT))] = reads
    assert found == WALL_CLOCK_READERS
