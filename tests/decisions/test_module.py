"""The decision modules stay small, do no I/O, read no clock and forget what has ended."""

import ast
import tomllib
from pathlib import Path

import pytest

from micagate import interface
from rig.driver import Driver, sends

ROOT = Path(__file__).parents[2]
POLICY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
MAX_MODULE_LINES = 600


def test_all_decisions_on_a_request_are_listed_as_policy_and_modules_stay_small():
    assert {f"micagate/{name}.py" for name in ("gateway", "fleet", "quotas", "accounts", "throttle")} <= set(POLICY)
    for path in (ROOT / "micagate").rglob("*.py"):
        assert path.read_text().count("\n") <= MAX_MODULE_LINES, path


@pytest.mark.parametrize(
    "name",
    [
        *POLICY,
        "micagate/interface.py",
        "micagate/workload.py",
        "micagate/worker.py",
        "micagate/pending.py",
        "micagate/account_table.py",
        "micagate/estimates/metering.py",
        "micagate/estimates/tails.py",
        "micagate/estimates/recent.py",
        "micagate/estimates/waits.py",
        "micagate/counting/counting.py",
        "micagate/counting/stores.py",
        "micagate/deficit_sketch.py",
        "micagate/resource_keys.py",
        "micagate/operating/maintenance.py",
        "micagate/operating/presence.py",
        "micagate/refunds.py",
        "micagate/handover/state.py",
        "micagate/handover/fields.py",
    ],
)
def test_a_decision_module_imports_nothing_that_does_io_or_reads_a_clock(name):
    allowed = {
        "__future__",
        "math",
        "collections",
        "random",
        "micagate",
        "dataclasses",
        "statistics",
        "bisect",
        "hashlib",
        "typing",
    }
    for node in ast.walk(ast.parse((ROOT / name).read_text())):
        if isinstance(node, ast.ImportFrom):
            assert node.module.split(".")[0] in allowed
        elif isinstance(node, ast.Import):
            assert {alias.name.split(".")[0] for alias in node.names} <= allowed
        elif isinstance(node, ast.Call) and isinstance(node.func, ast.Name):
            assert node.func.id not in {"open", "print", "input", "exec", "eval", "hash", "id"}


def test_timers_are_removed_with_their_request_or_attempt():
    driver = Driver(hedging=False)
    name, actions = driver.send_request("read")
    assert len(driver.gateway._timers) == 3  # aim, hedge, deadline
    (worker,) = sends(actions)
    assert (
        sends(driver.answer(name, worker, interface.FAILURE)) and len(driver.gateway._timers) == 3
    )  # of the second attempt
    driver.give(interface.ClientDisconnected(name))
    assert len(driver.gateway._timers) == 2
    driver.answer(name, "w0", interface.TIMED_OUT)
    assert not driver.gateway._timers
