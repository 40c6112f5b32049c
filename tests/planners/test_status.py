"""`plan` with its embedded store, and `planners status`, run as an operator runs them."""

import asyncio
import json
import sys
from pathlib import Path

from rig.fake_servers import run, spawn
from rig.installation import Installation, free_port

ROOT = Path(__file__).parents[2]


async def status(file, *arguments):
    """Return the exit status and output of `planners status`."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "oliveloft",
        "planners",
        "status",
        "--config",
        str(file),
        *arguments,
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
    )
    out, _ = await process.communicate()
    return process.returncode, out.decode()


def test_the_shipped_file_starts_a_planner_with_its_store_and_status_shows_it(tmp_path):
    async def scenario():
        text = (ROOT / "deploy" / "planners.toml").read_text()
        for name in ("7100", "7101", "7102", "7103"):
            text = text.replace(name, str(free_port()))
        file = tmp_path / "planners.toml"
        file.write_text(text)
        planner = await spawn("{}", "plan", "--config", str(file), "--name", "p1")
        try:
            await planner.wait_until_listening()
            await planner.wait_for_log("owns 16 of 16")
            code, out = await status(file)
            assert code == 0 and "p1                16" in out and "not reached" in out, out
            assert "shards with an owner that answers: 16 of 16" in out
            code, out = await status(file, "--json")
            states = json.loads(out)
            assert code == 0 and len(states["p1"]["shards"]) == 16 and "error" in states["p2"]
            assert states["p1"]["shards"]["0"]["epoch"] == 1 and states["p1"]["store"] == "ok"
        finally:
            planner.process.terminate()
            assert await planner.process.wait() == 0
        code, out = await status(file)
        assert code == 1 and "0 of 16" in out

    run(scenario())


def test_status_shows_forwarders_their_reports_and_grants():
    async def scenario():
        async with Installation(2, 1) as fleet:
            file = fleet.write_planners_config(fleet.planner_ports, fleet.store.endpoint, "looked")
            client = await fleet.forwarders[0].client()

            async def granted_share():
                for _ in range(10):
                    await client.fetch("write", plan="solo", weight="units=1,spread=2,first=0")
                state = json.loads((await status(file, "--json"))[1])["p1"]
                return state["forwarders"].get("f0", {}).get("granted", 0.0)

            while await granted_share() < 0.2:
                pass
            code, shown = await status(file)
            assert code == 0 and "f0" in shown and "f1" in shown and "last report" in shown

    run(scenario())
