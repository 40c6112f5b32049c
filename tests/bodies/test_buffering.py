"""The common memory limit of long bodies, and what is buffered for a further attempt."""

from random import Random

import pytest

from micagate.bodies import buffering
from oliveloft.bodies.body import BLOCK_BYTES, Body


def read_all(body, first=0):
    received, number = b"", first
    while (block := body.read(number)) is not None:
        received, number = received + block, number + 1
    return received


@pytest.mark.parametrize("seed", range(20))
def test_a_body_in_pieces_of_any_size_can_be_read_repeatedly_while_buffered(seed):
    random = Random(seed)
    budget = buffering.BufferBudget(10 * BLOCK_BYTES)
    sent = random.randbytes(random.randrange(1, 8 * BLOCK_BYTES))
    body, position = Body(budget, len(sent)), 0
    while position < len(sent):
        size = random.choice((1, 7, 1000, BLOCK_BYTES, 3 * BLOCK_BYTES))
        body.append(sent[position : position + size])
        position += size
    body.finish()
    assert body.is_replayable and read_all(body) == sent and read_all(body) == sent
    body.drop()
    assert budget.used_bytes == 0


def test_without_memory_a_body_streams_and_is_read_once():
    budget = buffering.BufferBudget(3 * BLOCK_BYTES)
    body, received, number = Body(budget, None), b"", 0
    for n in range(50):
        body.append(bytes([n]) * BLOCK_BYTES)
        while (block := body.read(number)) is not None:
            received, number = received + block, number + 1
        assert budget.used_bytes <= budget.limit_bytes and body.unread_bytes() == 0
    body.finish()
    assert len(received) == 50 * BLOCK_BYTES and not body.is_replayable
    body.drop()
    assert budget.used_bytes == 0


def test_a_waiting_caller_is_called_once_when_memory_is_released():
    budget, calls = buffering.BufferBudget(2 * BLOCK_BYTES), []
    body, other = Body(budget, None), Body(budget, None)
    body.append(b"x" * 2 * BLOCK_BYTES)
    other.append(b"y" * BLOCK_BYTES)
    assert not body.accepts_more() and not other.accepts_more()
    budget.on_release(lambda: calls.append(1))
    body.drop()
    budget.release(0)
    assert calls == [1] and other.accepts_more()


def test_what_was_read_is_charged_beyond_the_limit_and_callers_wait_until_there_is_room():
    budget, calls = buffering.BufferBudget(2 * BLOCK_BYTES), []
    bodies = [Body(budget, None) for _ in range(3)]
    for body in bodies:
        body.append(b"x" * 2 * BLOCK_BYTES)
    assert budget.used_bytes == 6 * BLOCK_BYTES and budget.is_exhausted and budget.room_bytes == 0
    budget.on_release(lambda: calls.append(1))
    for body, expected in zip(bodies, ([], [], [1]), strict=True):
        body.drop()
        assert calls == expected


def test_without_memory_a_small_part_of_a_block_can_be_read():
    budget = buffering.BufferBudget(BLOCK_BYTES)
    other, body = Body(budget, None), Body(budget, None)
    other.append(b"x" * 2 * BLOCK_BYTES)
    body.append(b"abc")
    assert body.over_budget and body.read(0) == b"abc" and body.read(1) is None
    assert body.held_bytes == 0  # it was written
    body.append(b"d")
    body.finish()
    assert body.read(1) == b"d" and body.is_last(1) and not body.is_replayable


def test_a_dropped_body_acquires_no_more_memory():
    budget = buffering.BufferBudget(10 * BLOCK_BYTES)
    body = Body(budget, None)
    body.append(b"x" * BLOCK_BYTES)
    body.drop()
    body.append(b"x" * BLOCK_BYTES)
    body.drop()
    assert budget.used_bytes == 0 and body.accepts_more()


def test_a_slow_sender_occupies_no_worker_unless_memory_is_scarce():
    assert not buffering.should_forward(buffering.MIN_GATHERED_BYTES - 1, complete=False, scarce=False)
    assert buffering.should_forward(buffering.MIN_GATHERED_BYTES, False, False) and buffering.should_forward(
        1, True, False
    )
    assert buffering.should_forward(1, False, True)
    assert buffering.should_read(10**9, scarce=False) and not buffering.should_read(buffering.WINDOW_BYTES, scarce=True)


def test_every_body_proceeds_by_a_small_window_while_the_budget_is_used_up():
    for scarce in (False, True):
        assert buffering.should_read(buffering.MIN_WINDOW_BYTES - 1, scarce, room=False)
        assert not buffering.should_read(buffering.MIN_WINDOW_BYTES, scarce, room=False)
