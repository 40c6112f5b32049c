"""Tests with whole fleets of processes run one after another, and not beside those of planners: they measure."""

from pathlib import Path

import pytest


def pytest_collection_modifyitems(items):
    for item in items:
        if Path(__file__).parent in item.path.parents and "process" in item.path.name:
            item.add_marker(pytest.mark.xdist_group("installations"))
