"""The common memory limit of long bodies, and what is buffered for a further attempt."""

from random import Random

import pytest

from micagate.bodies import buffering
from oliveloft.bodies.body import BLOCK, Body


def read_all(body, first=0):
    received, number = b"", first
    while (block := body.read(number)) is not None:
        received, number = received + block, number + 1
    return received


@pytest.mark.parametrize("seed", range(20))
def test_a_body_in_pieces_of_any_size_can_be_read_repeatedly_while_buffered(seed):
    random = Random(seed)
    budget = buffering.Budget(10 * BLOCK)
    sent = random.randbytes(random.randrange(1, 8 * BLOCK))
    body, position = Body(budget, len(sent)), 0
    while position < len(sent):
        size = random.choice((1, 7, 1000, BLOCK, 3 * BLOCK))
        body.append(sent[position : position + size])
        position += size
    body.finish()
    assert body.kept and read_all(body) == sent and read_all(body) == sent
    body.drop()
    assert budget.held == 0


def test_without_memory_a_body_streams_and_is_read_once():
    budget = buffering.Budget(3 * BLOCK)
    body, received, number = Body(budget, None), b"", 0
    for n in range(50):
        body.append(bytes([n]) * BLOCK)
        while (block := body.read(number)) is not None:
            received, number = received + block, number + 1
        assert budget.held <= budget.most and body.waiting() == 0
    body.finish()
    assert len(received) == 50 * BLOCK and not body.kept
    body.drop()
    assert budget.held == 0


def test_a_waiting_caller_is_called_once_when_memory_is_released():
    budget, calls = buffering.Budget(2 * BLOCK), []
    body, other = Body(budget, None), Body(budget, None)
    body.append(b"x" * 2 * BLOCK)
    other.append(b"y" * 5 * BLOCK)
    assert body.reads_on() and not other.reads_on()
    budget.wait(lambda: calls.append(1))
    body.drop()
    budget.give(0)
    assert calls == [1]


def test_a_dropped_body_acquires_no_more_memory():
    budget = buffering.Budget(10 * BLOCK)
    body = Body(budget, None)
    body.append(b"x" * BLOCK)
    body.drop()
    body.append(b"x" * BLOCK)
    body.drop()
    assert budget.held == 0 and body.reads_on()


def test_a_slow_sender_occupies_no_worker_unless_memory_is_scarce():
    assert not buffering.begins(buffering.MIN_GATHERED_BYTES - 1, whole=False, scarce=False)
    assert buffering.begins(buffering.MIN_GATHERED_BYTES, False, False) and buffering.begins(1, True, False)
    assert buffering.begins(1, False, True)
    assert buffering.reads_on(10**9, scarce=False) and not buffering.reads_on(buffering.WINDOW_BYTES, scarce=True)
