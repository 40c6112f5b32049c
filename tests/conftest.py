"""Makes hypothesis deterministic, and deselects the known failures that KNOWN-RED.txt lists.

With `--run-known-red` the listed tests run as well.
"""

from pathlib import Path

import pytest
from hypothesis import settings

settings.register_profile("fixed", derandomize=True, deadline=None, database=None, max_examples=60)
settings.load_profile("fixed")

KNOWN_RED = Path(__file__).parents[1] / "KNOWN-RED.txt"
MAX_KNOWN_RED = 3


def known_red():
    """Return the lines of KNOWN-RED.txt: a test id without parameters, its cause and its issue, separated by " | "."""
    lines = KNOWN_RED.read_text().splitlines() if KNOWN_RED.exists() else []
    return [line for line in lines if line.strip()]


def pytest_addoption(parser):
    """Add the option that runs the listed tests."""
    parser.addoption("--run-known-red", action="store_true", help="run the tests that KNOWN-RED.txt lists, too")


def is_installation(item):
    """Whether a test starts an installation of planners, or a fleet, in separate processes."""
    folder, name = item.path.parent, item.path.name
    return folder.name == "planners" or folder.name == "fleet" and "process" in name


def pytest_collection_modifyitems(config, items):
    """Run installations one after another, and deselect the listed tests.

    Installations measure what is served under load, and kill processes whose ports another installation may then get:
    two that ran at the same time answered each other's clients.
    """
    for item in items:
        if is_installation(item):
            item.add_marker(pytest.mark.xdist_group("installations"))
    if config.getoption("--run-known-red"):
        return
    listed = {line.split(" | ")[0] for line in known_red()}
    deselected = [item for item in items if item.nodeid.partition("[")[0] in listed]
    config.hook.pytest_deselected(items=deselected)
    items[:] = [item for item in items if item not in deselected]


def pytest_terminal_summary(terminalreporter):
    """Print the listed tests at every run."""
    for line in known_red():
        terminalreporter.write_line(f"known red, passed over: {line}")
    if len(known_red()) > MAX_KNOWN_RED:
        terminalreporter.write_line(f"KNOWN-RED.txt lists more than {MAX_KNOWN_RED}")
