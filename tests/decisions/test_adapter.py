"""The simulator adapter: input lines, output lines, and error messages for malformed input."""

import io
import json

from micagate import adapter
from micagate.adapter import Adapter

FACTS = json.dumps(
    {
        "Caps": {
            "Cancel": True,
            "MaxAttempts": 3,
            "MaxRetryAfterUs": 500000,
            "RetryAfter": True,
            "SecondCopies": True,
            "Novel": 1,
        },
        "Classes": [
            {
                "DeadlineUs": 4000000,
                "Effect": "pure",
                "Group": "all",
                "Name": "k",
                "SloUs": 1000000,
                "Streaming": False,
                "WindowUs": 0,
                "LateWorth": 0,
            }
        ],
        "Discovery": "pushed",
        "FamilyInfo": {"MeterUs": 0},
        "NInstances": 2,
        "MyZone": "a",
        "Plans": [
            {
                "AtOnce": 0,
                "BeyondEarns": 0,
                "CapDepth": 0,
                "CapSlack": 0,
                "ExcessCost": 0,
                "HardRate": 0,
                "MostAtOnce": 0,
                "Name": "p",
                "Refill": 0,
            }
        ],
        "Rules": {"ColdFrom": 0.2, "RampTimeUs": 1000000, "OverloadFactor": 2, "FallUs": 1000000},
        "TickUs": 1000,
        "Unheard": {"of": 1},
    }
)
START = (
    f"CLOCK 5000000 1\nLAUNCH 0 42 {FACTS}\nDIRECTORY 0 1\nENTRY w a std 0 healthy 1 -\n"
    "UPDATE 0 restored 1 0\nFLUSH\n"
)


def run(text: str) -> tuple[int, list[str]]:
    sink = io.StringIO()
    status = Adapter(io.StringIO(text), sink).run()
    return status, sink.getvalue().splitlines()


def test_request_is_sent_and_answered():
    status, lines = run(
        START + "CLOCK 5001000 2\nSUBMIT 0 rq k p 91f0 4000000 1 1 0 0\nFLUSH\n"
        "CLOCK 5101000 3\nRESPONSE 0 rq 0 - w 1 success 99000 - -\nFLUSH\n"
    )
    assert status == 0
    assert lines[0] == "YIELD 1" and lines[1] == "SUBMIT_TO 0 rq w 0"
    assert [line for line in lines if line.startswith("YIELD")] == ["YIELD 1", "YIELD 2", "YIELD 3"]


def test_malformed_input_is_reported_in_one_line(capsys):
    for malformed, expected_text in (
        ("NONSENSE 1\n", "NONSENSE"),
        ("SUBMIT 0 rq\n", "too few"),
        ("WAKE x 1\n", "'x'"),
        ("LAUNCH 1 1 {}\n", "Caps"),
        ("WAKE 9 1\n", "no instance 9"),
    ):
        status, _ = run(START + "CLOCK 6000000 2\n" + malformed)
        message = capsys.readouterr().err
        assert status != 0 and message.count("\n") == 1 and expected_text in message and "line 8" in message


def test_exception_in_a_gateway_is_reported_to_the_simulator(monkeypatch):
    class Faulty:
        def __init__(self, *_): ...

        def handle(self, now, event):
            raise RuntimeError("two\nlines")

    monkeypatch.setattr(adapter, "Gateway", Faulty)
    _, lines = run(START)
    assert lines == ["BAIL_OUT 0 RuntimeError: two lines", "YIELD 1"]
