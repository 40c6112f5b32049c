"""`planners.toml`: errors are reported by key, and no process starts with an invalid file."""

import re
import subprocess
import sys
from pathlib import Path

import pytest

from oliveloft.config.loading import ConfigError
from oliveloft.planners.config import load

ROOT = Path(__file__).parents[2]
GOOD = (ROOT / "deploy" / "planners.toml").read_text()


def test_the_shipped_file_loads_and_each_of_its_keys_is_documented():
    config = load(str(ROOT / "deploy" / "planners.toml"))
    assert config.forwarders == 3 and list(config.planners) == ["p1", "p2", "p3"] and config.embedded
    page = (ROOT / "docs" / "operate" / "planners.md").read_text()
    keys = re.findall(r"^#? ?([a-z_]+) = ", GOOD, re.M)
    assert len(keys) > 12 and "authority" in keys and "shards" in keys
    for key in keys:
        assert f"`{key}`" in page, key


@pytest.mark.parametrize(
    ("before", "after", "why"),
    [
        ("count = 3", "count = 0", "forwarders.count"),
        ("count = 3", "cuont = 3", "forwarders.count: missing"),
        ("life = 1.0", "lief = 1.5", "terms.lief: unknown .is life meant"),
        ("life = 1.0", "life = 9", "terms.term"),
        ("life = 1.0", 'life = "long"', "terms.life"),
        ("drift = 0.01", "drift = true", "terms.drift"),
        ('engine = "embedded"', 'engine = "paper"', "store.engine"),
        ('"127.0.0.1:7101"', '"nowhere"', "planners.p1"),
        ('"http://127.0.0.1:7100"', '"here"', "store.endpoints"),
        ("session = 2.0", "session = 0.1", "store.session"),
        ('prefix = "/oliveloft/"', 'prefix = "x"', "store.prefix"),
        ("\nopen = true", "\nopen = false", "access"),
        ("\nopen = true", '\nsecret_file = "none"', "access.secret_file"),
        ("\nopen = true", '\nkey = "k"', "go together"),
        ("[planners]", "[planers]", "planners: missing|planers: unknown"),
        ("[terms]", "[terms", "planners.toml"),
    ],
)
def test_errors_name_the_key(tmp_path, before, after, why):
    assert before in GOOD
    path = tmp_path / "planners.toml"
    path.write_text(GOOD.replace(before, after, 1))
    with pytest.raises(ConfigError, match=why):
        load(str(path))


@pytest.mark.parametrize(
    ("arguments", "why"),
    [
        (["plan", "--name", "p9"], "--name: 'p9' is none of p1, p2, p3"),
        (["plan", "--name", "p1", "--config", "/nowhere.toml"], "/nowhere.toml"),
        (["planners", "status", "--config", "/nowhere.toml"], "/nowhere.toml"),
        (["forward", "--number", "0"], "PROXY_CONFIG"),
    ],
)
def test_a_command_that_cannot_start_reports_one_line_and_exits_with_2(arguments, why):
    completed = subprocess.run(
        [sys.executable, "-m", "oliveloft", *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        env={"PATH": "/usr/bin:/bin"},
        timeout=30,
    )
    assert (
        completed.returncode == 2 and why in completed.stderr and len(completed.stderr.splitlines()) == 1
    ), completed.stderr


def test_a_forwarder_with_mismatched_numbers_is_rejected(tmp_path):
    for arguments, why in ((["--number", "3"], "--number"), (["--number", "0"], "forwarders.count")):
        example = (ROOT / "deploy" / "example.json").read_text()
        if why == "forwarders.count":
            example = example.replace('"NInstances": 3', '"NInstances": 4')
        (tmp_path / "config.json").write_text(example)
        completed = subprocess.run(
            [sys.executable, "-m", "oliveloft", "forward", *arguments],
            cwd=ROOT,
            timeout=30,
            capture_output=True,
            text=True,
            env={"PATH": "/usr/bin:/bin", "PROXY_CONFIG": str(tmp_path / "config.json")},
        )
        assert completed.returncode == 2 and why in completed.stderr
