"""The demo command, and the simulated workers and clients that it is made of."""

import asyncio
import re
import signal
import sys
from pathlib import Path

import pytest

from oliveloft import cli
from rig.capacity import Capacity
from rig.fake_servers import run
from rig.limited_worker import LimitedWorker, Meter, WorkRecord
from rig.traffic import Customer, PlanShape, Traffic

ROOT = Path(__file__).parents[2]


def test_demo_serves_requests_until_it_is_interrupted():
    async def scenario():
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "oliveloft",
            "demo",
            "--rate",
            "60",
            "--gatekeepers",
            "2",
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
        )
        lines = []
        while sum(bool(re.match(r" +\d", line)) for line in lines) < 2:
            lines.append((await process.stdout.readline()).decode())
        process.send_signal(signal.SIGINT)
        rest = (await process.stdout.read()).decode()
        assert await process.wait() == 0
        served, refused, failed = (
            int(re.search(rf"(\d+) {outcome}", rest.splitlines()[-1])[1]) for outcome in ("served", "refused", "failed")
        )
        assert served > 20 and refused >= 0 and failed == 0
        assert any("curl" in line for line in lines)

    run(scenario())


@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        (["demo", "--rate", "0"], "--rate: must be above 0"),
        (["demo", "--workers", "x"], "no whole number"),
        (["demo", "--gatekeepers", "0"], "at least 1"),
        (["nonsense"], "invalid choice"),
        ([], "required"),
    ],
)
def test_invalid_arguments_are_reported_and_exit_with_2(arguments, message, capsys):
    with pytest.raises(SystemExit) as exited:
        cli.main(arguments)
    assert exited.value.code == 2 and message in capsys.readouterr().err


def test_traffic_accounts_for_the_value_within_a_quota():
    async def scenario():
        record = WorkRecord()
        meter = Meter({"free": 10.0})
        worker = await LimitedWorker("w", Capacity(1, 2), 0.002, meter=meter, record=record).start()
        customer = Customer("00000000000000aa", "free", lambda at: 60.0, lambda at: 0, peak_rate=60.0)
        traffic = Traffic([worker.port], [customer], {"free": PlanShape(10.0, 5.0)}, seed=3)
        report = await traffic.run(2.0)
        worker.stop()
        total = sum(report.outcomes.values())
        assert total > 70 and report.outcomes["served"] == sum(record.start_counts.values())
        # Without a gatekeeper in front, the worker is overloaded at times.
        assert report.outcomes["served"] + report.outcomes["refused"] == total
        assert 20 <= report.offered_value <= 26  # a burst of 5, and 10 a second for 2 s
        assert 0.8 < report.served_value_share <= 1.0
        assert max(record.start_counts.values()) == 1

    run(scenario())


def test_frozen_worker_does_not_respond_and_stopped_worker_refuses_connections():
    async def scenario():
        worker = await LimitedWorker("w", Capacity(), 0.001).start()
        worker.frozen = True
        customer = Customer("00000000000000aa", "free", lambda at: 30.0, lambda at: 0, peak_rate=30.0)
        traffic = Traffic([worker.port], [customer], {"free": PlanShape(0.0, 0.0)}, seed=3, timeout=0.3)
        report = await traffic.run(0.3)
        assert report.outcomes["failed"] == sum(report.outcomes.values()) > 0
        worker.stop()
        traffic = Traffic([worker.port], [customer], {"free": PlanShape(0.0, 0.0)}, seed=3, timeout=0.3)
        report = await traffic.run(0.3)
        assert report.outcomes["failed"] == sum(report.outcomes.values()) > 0

    run(scenario())
