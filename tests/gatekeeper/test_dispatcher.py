"""The dispatcher with a scripted module: attempts end once, requests end in time, faults stay small."""

import asyncio
import errno
import types
from collections.abc import Callable

import pytest

from micagate import interface
from micagate.invariants import AttemptState, EndpointState, Reason, RequestState, write_refusal
from oliveloft.backend.connection import Connection
from oliveloft.backend.pool import ConnectionPool
from oliveloft.dispatch.dispatcher import Request, RequestDispatcher
from oliveloft.shared_types import DiscoveryUpdate
from rig.fake_servers import Worker, answer, hang, run, until

CLASSES = (interface.RequestClass("write", 1.0, 4.0, interface.SIDE_EFFECT), interface.RequestClass("read", 1.0, 4.0))
SETTINGS = interface.Settings(CLASSES, (interface.Plan("free"),), max_attempts=2)


class Module:
    """In the module's place: `rules` says what each event calls for; the events are kept."""

    def __init__(self, rules: Callable[[interface.Event], list[interface.Action]]) -> None:
        self.rules, self.events = rules, []

    def handle(self, now: float, event: interface.Event) -> list[interface.Action]:
        """Keep, then do as told."""
        self.events.append(event)
        return self.rules(event)

    def outcomes(self) -> list[tuple[int, str, bool]]:
        """Number, status and terminal of each attempt that has ended."""
        return [(e.attempt, e.status, e.terminal) for e in self.events if isinstance(e, interface.Outcome)]


class Case:
    """A dispatcher over a module and real worker connections."""

    def __init__(self, rules: Callable[[interface.Event], list[interface.Action]], **settings: object) -> None:
        self.loop = asyncio.get_running_loop()
        self.module = Module(rules)
        self.workers = ConnectionPool(self.loop, 10, 0.25, 15.0)
        made = {name: getattr(SETTINGS, name) for name in SETTINGS.__slots__}
        self.dispatcher = RequestDispatcher(
            self.loop, interface.Settings(**{**made, **settings}), self.module, self.workers
        )
        self.replies: list[int] = []

    def know(self, *workers: Worker, **changes: object) -> None:
        """Tell of workers."""
        self.dispatcher.update_workers(
            DiscoveryUpdate({"index": 1, "snapshot": True, "endpoints": [w.entry(**changes) for w in workers]})
        )

    def submit(self, name: str = "r", left: float = 3.0, klass: str = "write") -> Request:
        """Hand in a request."""
        event = interface.Request(name, klass, "free", "c", left)
        head = b"POST / HTTP/1.1\r\nX-Request-ID: r\r\nContent-Length: 0\r\n"
        return self.dispatcher.submit(
            event, head, b"", self.loop.time() + left, lambda status, headers, body: self.replies.append(status)
        )


def on(kind: type, *actions: interface.Action) -> Callable[[interface.Event], list[interface.Action]]:
    """Rules that answer one kind of event, and no other."""
    return lambda event: list(actions) if isinstance(event, kind) else []


def test_a_success_answers_and_is_terminal_and_all_is_forgotten():
    async def scenario():
        case = Case(on(interface.Request, interface.Send("r", "w")))
        case.know(await Worker("w").start())
        request = case.submit()
        await until(lambda: case.module.outcomes())
        assert case.replies == [200] and case.module.outcomes() == [(0, interface.SUCCESS, True)]
        assert not case.dispatcher.holds("r") and request.timer is None

    run(scenario())


@pytest.mark.parametrize(
    ("sends", "changes", "expected"),
    [
        (["nobody"], {}, [(0, interface.NOT_SENT, False)]),
        (["w", "w"], {}, [(1, interface.NOT_SENT, False)]),  # never two at once
        (
            ["nobody"] * 3,
            {},
            [(0, interface.NOT_SENT, False), (1, interface.NOT_SENT, False), (2, interface.NOT_SENT, False)],
        ),
    ],
)
def test_what_may_not_be_sent_is_void_and_nothing_is_written(sends, changes, expected):
    async def scenario():
        worker = await Worker("w", hang).start()
        case = Case(on(interface.Request, *(interface.Send("r", name) for name in sends)), **changes)
        case.know(worker)
        case.submit()
        assert case.module.outcomes() == expected and case.replies == []
        await until(lambda: len(worker.seen) == ("w" in sends))

    run(scenario())


def test_attempts_beyond_the_most_are_void():
    async def scenario():
        worker = await Worker("w", hang).start()
        case = Case(on(interface.Request, *(interface.Send("r", "w"),) * 3), hedging=True)
        case.know(worker)
        case.submit(klass="read")
        assert case.module.outcomes() == [(2, interface.NOT_SENT, False)]
        assert case.dispatcher.guard.refused == {Reason.TOO_MANY_ATTEMPTS: 1}
        await until(lambda: len(worker.seen) == 2)

    run(scenario())


def test_a_request_with_an_effect_is_not_sent_again_while_it_may_have_run():
    async def scenario():
        worker = await Worker("w", hang).start()
        case = Case(on(interface.Request, *(interface.Send("r", "w"),) * 2), hedging=True)
        case.know(worker)
        case.submit(klass="write")
        assert case.module.outcomes() == [(1, interface.NOT_SENT, False)]
        assert case.dispatcher.guard.refused == {Reason.REPEAT_MAY_RUN_TWICE: 1}
        await until(lambda: len(worker.seen) == 1)

    run(scenario())


def test_a_hedge_where_the_settings_allow_none_is_refused():
    async def scenario():
        worker = await Worker("w", hang).start()
        case = Case(on(interface.Request, *(interface.Send("r", "w"),) * 2), hedging=False)
        case.know(worker)
        case.submit(klass="read")
        assert case.dispatcher.guard.refused == {Reason.HEDGE_NOT_ALLOWED: 1}

    run(scenario())


def test_a_send_for_a_request_that_is_over_is_refused():
    async def scenario():
        worker = await Worker("w", hang).start()
        case = Case(on(interface.Request, interface.Send("r", "w")))
        case.know(worker)
        request = case.submit()
        await until(lambda: worker.seen)
        request.state = RequestState.CLIENT_GONE
        case.dispatcher._send("r", "w", 0.0)
        assert case.dispatcher.guard.refused == {Reason.REQUEST_OVER: 1}
        request.state, request.deadline = RequestState.PENDING, case.loop.time() - 0.001
        case.dispatcher._send("r", "w", 0.0)
        assert case.dispatcher.guard.refused == {Reason.REQUEST_OVER: 1, Reason.DEADLINE_PASSED: 1}

    run(scenario())


def test_at_the_deadline_the_module_hears_of_the_end_before_the_attempt_ends():
    async def scenario():
        case = Case(lambda event: [])
        case.know(await Worker("w", hang).start())
        ending = [False]

        def rules(event):
            """As the decisions do where they reckon with more time than there is."""
            ending[0] = ending[0] or isinstance(event, interface.StopRetrying)
            if isinstance(event, interface.Request) or isinstance(event, interface.Outcome) and not ending[0]:
                return [interface.Send("r", "w")]
            return [interface.Fail("r")] if isinstance(event, interface.Outcome) else []

        case.module.rules = rules
        case.submit(left=0.1, klass="read")
        await until(lambda: case.replies)
        assert case.replies == [502] and not case.dispatcher.guard.refused
        assert case.module.outcomes() == [(0, interface.TIMED_OUT, False)]

    run(scenario())


def test_a_second_final_reply_is_refused():
    async def scenario():
        case = Case(on(interface.Request, interface.Send("r", "w"), interface.Refuse("r", 0.0), interface.Fail("r")))
        case.know(await Worker("w", hang).start())
        case.submit()
        # The first reply takes back what is not written, so that nothing of the request is held for a second one.
        assert case.replies == [503] and not case.dispatcher.holds("r")
        late = case.submit("s")
        late.state = RequestState.REPLIED
        case.dispatcher._end(late, 502, b"", b"")
        assert case.replies == [503] and case.dispatcher.guard.refused == {Reason.REPLIED_TWICE: 1}

    run(scenario())


def test_a_send_to_an_endpoint_that_drains_is_gone_or_unknown_is_refused():
    async def scenario():
        worker = await Worker("w").start()
        for status in ("draining", "removed"):
            case = Case(on(interface.Request, interface.Send("r", "w")))
            case.know(worker)
            case.know(worker, status=status)
            case.submit()
            assert case.module.outcomes() == [(0, interface.NOT_SENT, False)]
            assert case.dispatcher.guard.refused == {Reason.ENDPOINT_NOT_READY: 1}
        assert not worker.seen and not worker.connections

    run(scenario())


def test_an_attempt_is_written_once_and_only_to_a_ready_endpoint():
    assert write_refusal(AttemptState.CONNECTING, EndpointState.READY) is None
    assert write_refusal(AttemptState.WRITTEN, EndpointState.READY) is Reason.SENT_TWICE
    assert write_refusal(AttemptState.OVER, EndpointState.READY) is Reason.REQUEST_OVER
    for state in (EndpointState.DRAINING, EndpointState.REMOVED):
        assert write_refusal(AttemptState.CONNECTING, state) is Reason.ENDPOINT_NOT_READY

    async def scenario():
        worker = await Worker("w").start()
        case = Case(on(interface.Request, interface.Send("r", "w")))
        case.know(worker)
        case.submit()
        await until(lambda: case.replies)
        pool = case.workers
        (connection,) = pool._processes["w"].idle
        pool._processes["w"].idle.clear()
        attempt = types.SimpleNamespace(state=AttemptState.WRITTEN, request="r", number=0, finish=lambda status: None)
        connection.send(attempt)
        assert pool.guard.refused == {Reason.SENT_TWICE: 1} and len(worker.seen) == 1
        assert pool._processes["w"].idle == [connection]  # of use to others

    run(scenario())


def test_a_time_out_closes_the_workers_connection_and_is_not_terminal():
    async def scenario():
        worker = await Worker("w", hang).start()
        case = Case(on(interface.Request, interface.Send("r", "w", 0.1)))
        case.know(worker)
        case.submit()
        await until(lambda: worker.closed)
        assert case.module.outcomes() == [(0, interface.TIMED_OUT, False)] and case.replies == []

    run(scenario())


def test_a_cancel_closes_the_workers_connection_and_a_late_one_does_nothing():
    async def scenario():
        worker = await Worker("w", hang).start()
        case = Case(on(interface.Request, interface.Send("r", "w")))
        case.know(worker)
        case.submit()
        await until(lambda: worker.seen)
        case.module.rules = on(
            interface.TimerFired, interface.Cancel("r", 0), interface.Cancel("r", 0), interface.Cancel("r", 7)
        )
        case.dispatcher._fired(1, "r")
        await until(lambda: worker.closed)
        assert case.module.outcomes() == [(0, interface.CANCELLED, False)]

    run(scenario())


def test_the_module_may_fail_a_request_and_its_attempt_still_reports_with_no_second_reply():
    async def scenario():
        go = asyncio.Event()

        async def late(request, writer):
            await go.wait()
            await answer()(request, writer)

        worker = await Worker("w", late).start()
        case = Case(on(interface.Request, interface.Send("r", "w")))
        case.know(worker)
        case.submit()
        await until(lambda: worker.seen)
        case.module.rules = on(
            interface.TimerFired, interface.Fail("r"), interface.Refuse("r", 0.1), interface.Send("r", "w")
        )
        case.dispatcher._fired(1, "r")
        assert case.replies == [502] and case.module.outcomes() == [(1, interface.NOT_SENT, True)]
        go.set()
        await until(lambda: len(case.module.outcomes()) == 2)
        assert case.module.outcomes()[1] == (0, interface.SUCCESS, True) and case.replies == [502]
        assert len(worker.seen) == 1 and not case.dispatcher.holds("r")

    run(scenario())


def test_a_request_that_the_module_forgets_is_answered_at_its_deadline():
    async def scenario():
        case = Case(lambda event: [])
        case.submit(left=0.1)
        await until(lambda: case.replies)
        assert case.replies == [504] and isinstance(case.module.events[-1], interface.ClientDisconnected)
        assert not case.dispatcher.holds("r")

    run(scenario())


@pytest.mark.parametrize("kind", [interface.Request, interface.Outcome, interface.TimerFired])
def test_a_fault_in_the_module_fails_that_request_and_no_other(kind, caplog):
    async def scenario():
        def rules(event):
            name = getattr(event, "request", "r")
            if isinstance(event, kind) and name == "r":
                raise RuntimeError("odd")
            return (
                [interface.Send(name, "w"), interface.SetTimer(0.05, 1)] if isinstance(event, interface.Request) else []
            )

        case = Case(rules)
        case.know(await Worker("w", hang if kind is interface.TimerFired else None).start())
        case.submit()
        await until(lambda: case.replies)
        assert case.replies == [200 if kind is interface.Outcome else 500] and "odd" in caplog.text
        case.module.rules = on(interface.Request, interface.Refuse("s"))
        case.submit("s")
        assert case.replies[1:] == [503]

    run(scenario())


def test_timers_of_a_request_that_is_over_are_dropped_and_others_still_come():
    async def scenario():
        case = Case(on(interface.Request, interface.Send("r", "w"), interface.SetTimer(0.3, 1)))
        case.know(await Worker("w").start())
        case.submit()
        await until(lambda: case.replies)
        case.module.rules = on(interface.WorkerList, interface.SetTimer(0.4, 2))
        case.know()
        await until(lambda: interface.TimerFired(2) in case.module.events)
        assert interface.TimerFired(1) not in case.module.events
        case.module.rules = on(interface.Request, interface.SetTimer(0.01, 3))
        case.submit("s")
        await until(lambda: interface.TimerFired(3) in case.module.events)  # it is still held

    run(scenario())


def test_a_client_that_leaves_is_told_once_and_gets_nothing():
    async def scenario():
        worker = await Worker("w", hang).start()
        case = Case(on(interface.Request, interface.Send("r", "w")))
        case.know(worker)
        request = case.submit(left=0.3)
        await until(lambda: worker.seen)
        case.dispatcher.client_disconnected(request)
        case.dispatcher.client_disconnected(request)
        assert case.module.events.count(interface.ClientDisconnected("r")) == 1
        await until(lambda: case.module.outcomes())
        assert case.module.outcomes() == [(0, interface.TIMED_OUT, True)] and case.replies == []

    run(scenario())


def test_an_attempt_waiting_for_its_connection_is_not_written_once_its_worker_drains():
    async def scenario():
        worker = await Worker("w").start()
        case = Case(on(interface.Request, interface.Send("r", "w")))
        case.know(worker)
        case.submit()  # the connection is on its way
        case.know(worker, status="draining")
        await until(lambda: case.module.outcomes())
        assert case.module.outcomes() == [(0, interface.NOT_SENT, False)]  # nobody is to blame
        await until(lambda: worker.closed == worker.connections)
        assert not worker.seen

    run(scenario())


class Transport(asyncio.Transport):
    """A transport whose kernel takes only a part."""

    def __init__(self) -> None:
        super().__init__()
        self.left, self.aborted = 0, False

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Nothing to set."""

    def write(self, data: bytes) -> None:
        """Hold all of it back."""
        self.left = len(data)

    def get_write_buffer_size(self) -> int:
        """What has not left."""
        return self.left

    def is_closing(self) -> bool:
        """Whether it was aborted."""
        return self.aborted

    def abort(self) -> None:
        """Close."""
        self.aborted = True


@pytest.mark.parametrize(("left", "status"), [(False, interface.UNREACHABLE), (True, interface.CONNECTION_RESET)])
def test_a_break_before_the_last_byte_left_proves_that_nothing_ran(left, status):
    async def scenario():
        case = Case(on(interface.Request, interface.Send("r", "w")))
        worker = Worker("w")
        worker.port = 9  # never connected to
        case.know(worker)
        made: list[Connection] = []

        async def connect(connection):
            made.append(connection)

        case.workers._connect = connect
        case.submit()
        await until(lambda: made)
        made[0].connection_made(Transport())
        if left:
            made[0].resume_writing()
        made[0].connection_lost(ConnectionResetError())
        assert case.module.outcomes() == [(0, status, False)]
        assert not case.workers._open

    run(scenario())


@pytest.mark.parametrize(
    ("number", "status"), [(errno.EMFILE, interface.NOT_SENT), (errno.ECONNREFUSED, interface.UNREACHABLE)]
)
def test_a_shortage_on_this_side_is_held_against_no_worker(number, status, monkeypatch):
    async def scenario():
        case = Case(on(interface.Request, interface.Send("r", "w")))
        worker = Worker("w")
        worker.port = 9
        case.know(worker)

        class Loop:
            def __getattr__(self, name):
                return getattr(case.loop, name)

            async def create_connection(self, *args):
                raise OSError(number, "none")

        case.workers.loop = Loop()
        case.submit()
        await until(lambda: case.module.outcomes())
        assert case.module.outcomes() == [(0, status, False)] and not case.workers._open

    run(scenario())


def test_an_attempt_given_up_before_its_connection_task_began_leaves_nothing():
    async def scenario():
        worker = await Worker("w").start()
        case = Case(on(interface.Request, interface.Send("r", "w"), interface.Cancel("r", 0)))
        case.know(worker)
        case.submit()
        assert case.module.outcomes() == [(0, interface.CANCELLED, False)] and not case.workers._open
        await asyncio.sleep(0)
        assert not case.workers._open

    run(scenario())
