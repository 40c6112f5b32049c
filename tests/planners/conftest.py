"""Tests with whole installations of processes run one after another, on one of the test processes.

Each measures what is served under load: two at once on a busy machine would measure each other.
"""

from pathlib import Path

import pytest


def pytest_collection_modifyitems(items):
    for item in items:
        if Path(__file__).parent in item.path.parents:
            item.add_marker(pytest.mark.xdist_group("installations"))
