"""The library as the README documents it: example, public names, rejected settings, no leaks over a long run."""

import contextlib
import io
import json
import math
import re
from pathlib import Path

import pytest

import micagate
from micagate import Plan, RequestClass, Settings
from oliveloft.config import loading as config
from rig.driver import SETTINGS, Driver, sends

ROOT = Path(__file__).parents[2]
README = (ROOT / "README.md").read_text()


def test_the_example_prints_a_send_its_timers_and_an_empty_list():
    (code,) = re.findall(r"```python\n(.*?)```", README, re.S)
    printed = io.StringIO()
    with contextlib.redirect_stdout(printed):
        exec(code, {})
    lines = printed.getvalue().splitlines()
    assert lines[0].startswith("Send(request='r1'")
    assert lines[1:-1] and all(line.startswith("SetTimer(") for line in lines[1:-1])
    assert lines[-1] == "[]"


def test_public_names_exist():
    assert all(hasattr(micagate, name) for name in micagate.__all__)


def test_a_long_run_leaks_no_state():
    driver = Driver(12, gateways=300)
    for n in range(3000):
        driver.pass_time(0.5)
        name, actions = driver.send_request("write", customer=f"c{n}", plan="metered")
        for worker in sends(actions):
            driver.answer(name, worker, took=0.1)
    driver.pass_time(10.0)
    gateway = driver.gateway
    assert not gateway._pending and not gateway.in_flight and not gateway._timers
    assert not gateway.fleet._awaiting_response
    assert len(gateway.quotas.accounts) <= 70  # those used in the last half minute
    assert len(gateway.throttle._admission_times) < 10


@pytest.mark.parametrize("field", ["classes", "plans"])
def test_settings_without_entries_or_with_a_duplicate_name_are_rejected(field: str):
    for wrong in ((), SETTINGS[field][:1] * 2):
        with pytest.raises(ValueError, match=f"Settings.{field}"):
            Settings(**{**SETTINGS, field: wrong})


@pytest.mark.parametrize("value", [-1.0, math.nan, math.inf])
def test_invalid_numbers_are_rejected_with_the_field_name(value: float):
    for make, field in ((Settings, "tick"), (RequestClass, "aim"), (RequestClass, "importance"), (Plan, "rate")):
        valid = {**SETTINGS} if make is Settings else {"name": "x", "aim": 1.0, "deadline": 2.0}
        if make is Plan:
            valid = {"name": "x"}
        with pytest.raises(ValueError, match=f"{make.__name__}.{field}"):
            make(**{**valid, field: value})


def test_the_commands_in_the_readme_exist_and_ci_runs_the_second():
    commands = re.findall(r"^    (\./dev \w+)$", README, re.M)
    assert commands == ["./dev demo", "./dev test"]
    assert commands[1] in (ROOT / ".ci" / "run").read_text()
    assert all(f"  {command.split()[1]})" in (ROOT / "dev").read_text() for command in commands)


def test_the_example_configuration_loads_and_every_key_of_it_is_documented():
    raw = json.loads((ROOT / "deploy" / "example.json").read_text())
    assert config.parse(raw, {}).settings.plans[1].ceiling_rate == 24
    page = (ROOT / "docs" / "operate" / "configuration.md").read_text()
    documented = set(re.findall(r"^\| `([A-Za-z_]+)`", page, re.M))

    def keys(value):
        if isinstance(value, dict):
            for key, inner in value.items():
                yield key
                yield from keys(inner)
        elif isinstance(value, list):
            for inner in value:
                yield from keys(inner)

    assert set(keys(raw)) - {"index", "snapshot", "endpoints"} <= documented
