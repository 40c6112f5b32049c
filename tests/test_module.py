"""The module's size and purity, which its readers rely on."""

import ast
from pathlib import Path

from drive import Driver, sends

from micagate import interface as i

SOURCE = Path(__file__).parent.parent / "micagate" / "control.py"
TEXT = SOURCE.read_text()


def test_size_and_line_length():
    lines = TEXT.splitlines()
    assert sum(1 for line in lines if line.strip()) <= 800
    assert max(map(len, lines)) <= 110
    assert "micagate/interface.py" in lines[0]


def test_imports_nothing_that_does_io_or_reads_a_clock():
    allowed = {"__future__", "math", "collections", "random", "micagate"}
    for node in ast.walk(ast.parse(TEXT)):
        if isinstance(node, ast.ImportFrom):
            assert node.module.split(".")[0] in allowed
        elif isinstance(node, ast.Import):
            assert {alias.name.split(".")[0] for alias in node.names} <= allowed
        elif isinstance(node, ast.Call) and isinstance(node.func, ast.Name):
            assert node.func.id not in {"open", "print", "input", "exec", "eval", "hash", "id"}


def test_timers_are_forgotten_with_what_they_were_set_for():
    d = Driver(second_copies=False)
    name, actions = d.ask("read")
    assert len(d.gateway._timers) == 3  # aim, hedge, deadline
    (worker,) = sends(actions)
    assert sends(d.answer(name, worker, i.FAILURE)) and len(d.gateway._timers) == 3  # of the second attempt
    d.give(i.Abandoned(name))
    assert len(d.gateway._timers) == 2
    d.answer(name, "w0", i.TIMED_OUT)
    assert not d.gateway._timers
