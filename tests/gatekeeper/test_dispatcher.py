"""The dispatcher with a scripted gateway: attempts end once, requests end in time, an error fails one request."""

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
from rig.fake_servers import FakeWorker, answer, hang, run, until

CLASSES = (
    interface.RequestClass("write", 1.0, 4.0, interface.SIDE_EFFECT),
    interface.RequestClass("read", 1.0, 4.0),
    interface.RequestClass("keyed", 1.0, 4.0, interface.TOKEN, window=0.1),
)
SETTINGS = interface.Settings(CLASSES, (interface.Plan("free"),), max_attempts=2)


class FakeGateway:
    """A scripted gateway: `rules` gives the actions for each event; the events are recorded."""

    def __init__(self, rules: Callable[[interface.Event], list[interface.Action]]) -> None:
        self.rules, self.events = rules, []

    def handle(self, now: float, event: interface.Event) -> list[interface.Action]:
        """Record the event and return the actions for it."""
        self.events.append(event)
        return self.rules(event)

    def outcomes(self) -> list[tuple[int, str, bool]]:
        """The number, status and `terminal` of each attempt that has ended."""
        return [
            (event.attempt, event.status, event.terminal)
            for event in self.events
            if isinstance(event, interface.Outcome)
        ]


class Case:
    """A dispatcher with a scripted gateway and real worker connections."""

    def __init__(self, rules: Callable[[interface.Event], list[interface.Action]], **settings: object) -> None:
        self.loop = asyncio.get_running_loop()
        self.gateway = FakeGateway(rules)
        self.pool = ConnectionPool(self.loop, 10, 0.25, 15.0)
        defaults = {name: getattr(SETTINGS, name) for name in SETTINGS.__slots__}
        self.dispatcher = RequestDispatcher(
            self.loop, interface.Settings(**{**defaults, **settings}), self.gateway, self.pool
        )
        self.replies: list[int] = []

    def update_workers(self, *workers: FakeWorker, **changes: object) -> None:
        """Apply a discovery snapshot with these workers."""
        self.dispatcher.update_workers(
            DiscoveryUpdate(
                {"index": 1, "snapshot": True, "endpoints": [worker.entry(**changes) for worker in workers]}
            )
        )

    def submit(self, name: str = "r", time_left: float = 3.0, klass: str = "write", sink: object = None) -> Request:
        """Submit a request."""
        event = interface.Request(name, klass, "free", "c", time_left)
        head = b"POST / HTTP/1.1\r\nX-Request-ID: r\r\nContent-Length: 0\r\n"
        return self.dispatcher.submit(
            event,
            head,
            b"",
            self.loop.time() + time_left,
            lambda status, headers, body: self.replies.append(status),
            sink,
        )


def on(kind: type, *actions: interface.Action) -> Callable[[interface.Event], list[interface.Action]]:
    """Rules that return these actions for one kind of event, and none for others."""
    return lambda event: list(actions) if isinstance(event, kind) else []


def test_a_success_is_the_final_reply_and_the_request_is_released():
    async def scenario():
        case = Case(on(interface.Request, interface.Send("r", "w")))
        case.update_workers(await FakeWorker("w").start())
        request = case.submit()
        await until(lambda: case.gateway.outcomes())
        assert case.replies == [200] and case.gateway.outcomes() == [(0, interface.SUCCESS, True)]
        assert not case.dispatcher.has_request("r") and request.deadline_timer is None

    run(scenario())


@pytest.mark.parametrize(
    ("sends", "changes", "expected"),
    [
        (["nobody"], {}, [(0, interface.NOT_SENT, False)]),
        (["w", "w"], {}, [(1, interface.NOT_SENT, False)]),  # no hedge of a request with a side effect
        (
            ["nobody"] * 3,
            {},
            [(0, interface.NOT_SENT, False), (1, interface.NOT_SENT, False), (2, interface.NOT_SENT, False)],
        ),
    ],
)
def test_an_attempt_that_is_not_allowed_ends_as_not_sent(sends, changes, expected):
    async def scenario():
        worker = await FakeWorker("w", hang).start()
        case = Case(on(interface.Request, *(interface.Send("r", name) for name in sends)), **changes)
        case.update_workers(worker)
        case.submit()
        assert case.gateway.outcomes() == expected and case.replies == []
        await until(lambda: len(worker.received) == ("w" in sends))

    run(scenario())


def test_attempts_beyond_the_limit_end_as_not_sent():
    async def scenario():
        worker = await FakeWorker("w", hang).start()
        case = Case(on(interface.Request, *(interface.Send("r", "w"),) * 3), hedging=True)
        case.update_workers(worker)
        case.submit(klass="read")
        assert case.gateway.outcomes() == [(2, interface.NOT_SENT, False)]
        assert case.dispatcher.guard.refused == {Reason.TOO_MANY_ATTEMPTS: 1}
        await until(lambda: len(worker.received) == 2)

    run(scenario())


def test_a_request_with_a_side_effect_is_not_retried_while_it_may_have_run():
    async def scenario():
        worker = await FakeWorker("w", hang).start()
        case = Case(on(interface.Request, *(interface.Send("r", "w"),) * 2), hedging=True)
        case.update_workers(worker)
        case.submit(klass="write")
        assert case.gateway.outcomes() == [(1, interface.NOT_SENT, False)]
        assert case.dispatcher.guard.refused == {Reason.REPEAT_MAY_RUN_TWICE: 1}
        await until(lambda: len(worker.received) == 1)

    run(scenario())


def test_a_hedge_is_refused_if_the_settings_allow_none():
    async def scenario():
        worker = await FakeWorker("w", hang).start()
        case = Case(on(interface.Request, *(interface.Send("r", "w"),) * 2), hedging=False)
        case.update_workers(worker)
        case.submit(klass="read")
        assert case.dispatcher.guard.refused == {Reason.HEDGE_NOT_ALLOWED: 1}

    run(scenario())


def test_a_send_for_a_request_that_is_over_is_refused():
    async def scenario():
        worker = await FakeWorker("w", hang).start()
        case = Case(on(interface.Request, interface.Send("r", "w")))
        case.update_workers(worker)
        request = case.submit()
        await until(lambda: worker.received)
        request.state = RequestState.CLIENT_DISCONNECTED
        case.dispatcher._send("r", "w", 0.0)
        assert case.dispatcher.guard.refused == {Reason.REQUEST_OVER: 1}
        request.state, request.deadline = RequestState.PENDING, case.loop.time() - 0.001
        case.dispatcher._send("r", "w", 0.0)
        assert case.dispatcher.guard.refused == {Reason.REQUEST_OVER: 1, Reason.DEADLINE_PASSED: 1}

    run(scenario())


def test_at_the_deadline_the_gateway_is_notified_before_the_attempt_ends():
    async def scenario():
        case = Case(lambda event: [])
        case.update_workers(await FakeWorker("w", hang).start())
        stopped = [False]

        def rules(event):
            """Retry as the real gateway would if it assumed more time than there is."""
            stopped[0] = stopped[0] or isinstance(event, interface.StopRetrying)
            if isinstance(event, interface.Request) or isinstance(event, interface.Outcome) and not stopped[0]:
                return [interface.Send("r", "w")]
            return [interface.Fail("r")] if isinstance(event, interface.Outcome) else []

        case.gateway.rules = rules
        case.submit(time_left=0.1, klass="read")
        await until(lambda: case.replies)
        assert case.replies == [502] and not case.dispatcher.guard.refused
        assert case.gateway.outcomes() == [(0, interface.TIMED_OUT, False)]

    run(scenario())


def test_a_second_final_reply_is_refused():
    async def scenario():
        case = Case(on(interface.Request, interface.Send("r", "w"), interface.Refuse("r", 0.0), interface.Fail("r")))
        case.update_workers(await FakeWorker("w", hang).start())
        case.submit()
        # The first reply withdraws the attempt that is not written, so the request is released before the second reply.
        assert case.replies == [503] and not case.dispatcher.has_request("r")
        late = case.submit("s")
        late.state = RequestState.REPLIED
        case.dispatcher._reply(late, 502, b"", b"")
        assert case.replies == [503] and case.dispatcher.guard.refused == {Reason.REPLIED_TWICE: 1}

    run(scenario())


def test_a_send_to_a_draining_or_removed_worker_is_refused():
    async def scenario():
        worker = await FakeWorker("w").start()
        for status in ("draining", "removed"):
            case = Case(on(interface.Request, interface.Send("r", "w")))
            case.update_workers(worker)
            case.update_workers(worker, status=status)
            case.submit()
            assert case.gateway.outcomes() == [(0, interface.NOT_SENT, False)]
            assert case.dispatcher.guard.refused == {Reason.ENDPOINT_NOT_READY: 1}
        assert not worker.received and not worker.connections

    run(scenario())


def test_an_attempt_is_written_once_and_only_to_a_ready_endpoint():
    assert write_refusal(AttemptState.CONNECTING, EndpointState.READY) is None
    assert write_refusal(AttemptState.WRITTEN, EndpointState.READY) is Reason.SENT_TWICE
    assert write_refusal(AttemptState.OVER, EndpointState.READY) is Reason.REQUEST_OVER
    for state in (EndpointState.DRAINING, EndpointState.REMOVED):
        assert write_refusal(AttemptState.CONNECTING, state) is Reason.ENDPOINT_NOT_READY

    async def scenario():
        worker = await FakeWorker("w").start()
        case = Case(on(interface.Request, interface.Send("r", "w")))
        case.update_workers(worker)
        case.submit()
        await until(lambda: case.replies)
        pool = case.pool
        (connection,) = pool._endpoints["w"].idle
        pool._endpoints["w"].idle.clear()
        attempt = types.SimpleNamespace(state=AttemptState.WRITTEN, request="r", number=0, finish=lambda status: None)
        connection.send(attempt)
        assert pool.guard.refused == {Reason.SENT_TWICE: 1} and len(worker.received) == 1
        assert pool._endpoints["w"].idle == [connection]  # kept for later requests

    run(scenario())


def test_a_timeout_closes_the_workers_connection_and_is_not_terminal():
    async def scenario():
        worker = await FakeWorker("w", hang).start()
        case = Case(on(interface.Request, interface.Send("r", "w", 0.1)))
        case.update_workers(worker)
        case.submit()
        await until(lambda: worker.connections_closed)
        assert case.gateway.outcomes() == [(0, interface.TIMED_OUT, False)] and case.replies == []

    run(scenario())


def test_a_cancel_closes_the_workers_connection_and_a_late_one_does_nothing():
    async def scenario():
        worker = await FakeWorker("w", hang).start()
        case = Case(on(interface.Request, interface.Send("r", "w")))
        case.update_workers(worker)
        case.submit()
        await until(lambda: worker.received)
        case.gateway.rules = on(
            interface.TimerFired, interface.Cancel("r", 0), interface.Cancel("r", 0), interface.Cancel("r", 7)
        )
        case.dispatcher._timer_fired(1, "r")
        await until(lambda: worker.connections_closed)
        assert case.gateway.outcomes() == [(0, interface.CANCELLED, False)]

    run(scenario())


def test_after_the_gateway_failed_a_request_its_attempt_is_still_reported_without_a_second_reply():
    async def scenario():
        go = asyncio.Event()

        async def late(request, writer):
            await go.wait()
            await answer()(request, writer)

        worker = await FakeWorker("w", late).start()
        case = Case(on(interface.Request, interface.Send("r", "w")))
        case.update_workers(worker)
        case.submit()
        await until(lambda: worker.received)
        case.gateway.rules = on(
            interface.TimerFired, interface.Fail("r"), interface.Refuse("r", 0.1), interface.Send("r", "w")
        )
        case.dispatcher._timer_fired(1, "r")
        assert case.replies == [502] and case.gateway.outcomes() == [(1, interface.NOT_SENT, True)]
        go.set()
        await until(lambda: len(case.gateway.outcomes()) == 2)
        assert case.gateway.outcomes()[1] == (0, interface.SUCCESS, True) and case.replies == [502]
        assert len(worker.received) == 1 and not case.dispatcher.has_request("r")

    run(scenario())


# Guards against: a further attempt was sent for a client whose close the event loop had not reported yet.
def test_no_further_attempt_follows_for_a_client_that_has_left():
    async def scenario():
        class Sink:
            def peer_closed(self):
                return True

        def rules(event):
            if isinstance(event, interface.Request):
                return [interface.Send("r", "w")]
            is_open = isinstance(event, interface.Outcome) and not event.terminal
            return [interface.Send("r", "v")] if is_open else []

        worker, other = await FakeWorker("w", answer(500)).start(), await FakeWorker("v").start()
        case = Case(rules)
        case.update_workers(worker, other)
        case.submit(klass="read", sink=Sink())
        await until(lambda: not case.dispatcher.has_request("r"))
        assert case.gateway.outcomes() == [(0, interface.FAILURE, True)]
        assert not other.received and not case.replies

    run(scenario())


def test_a_request_that_the_gateway_never_ends_is_answered_at_its_deadline():
    async def scenario():
        case = Case(lambda event: [])
        case.submit(time_left=0.1)
        await until(lambda: case.replies)
        assert case.replies == [504] and isinstance(case.gateway.events[-1], interface.ClientDisconnected)
        assert not case.dispatcher.has_request("r")

    run(scenario())


@pytest.mark.parametrize("kind", [interface.Request, interface.Outcome, interface.TimerFired])
def test_an_error_in_the_gateway_fails_one_request_and_no_other(kind, caplog):
    async def scenario():
        def rules(event):
            name = getattr(event, "request", "r")
            if isinstance(event, kind) and name == "r":
                raise RuntimeError("odd")
            return (
                [interface.Send(name, "w"), interface.SetTimer(0.05, 1)] if isinstance(event, interface.Request) else []
            )

        case = Case(rules)
        case.update_workers(await FakeWorker("w", hang if kind is interface.TimerFired else None).start())
        case.submit()
        await until(lambda: case.replies)
        assert case.replies == [200 if kind is interface.Outcome else 500] and "odd" in caplog.text
        case.gateway.rules = on(interface.Request, interface.Refuse("s"))
        case.submit("s")
        assert case.replies[1:] == [503]

    run(scenario())


def test_timers_of_a_request_that_is_over_are_cancelled_and_others_still_fire():
    async def scenario():
        case = Case(on(interface.Request, interface.Send("r", "w"), interface.SetTimer(0.3, 1)))
        case.update_workers(await FakeWorker("w").start())
        case.submit()
        await until(lambda: case.replies)
        case.gateway.rules = on(interface.WorkerList, interface.SetTimer(0.4, 2))
        case.update_workers()
        await until(lambda: interface.TimerFired(2) in case.gateway.events)
        assert interface.TimerFired(1) not in case.gateway.events
        case.gateway.rules = on(interface.Request, interface.SetTimer(0.01, 3))
        case.submit("s")
        await until(lambda: interface.TimerFired(3) in case.gateway.events)  # the request is still pending

    run(scenario())


def test_a_disconnect_is_reported_once_and_the_client_gets_no_reply():
    async def scenario():
        worker = await FakeWorker("w", hang).start()
        case = Case(on(interface.Request, interface.Send("r", "w")))
        case.update_workers(worker)
        request = case.submit(time_left=0.3)
        await until(lambda: worker.received)
        case.dispatcher.client_disconnected(request)
        case.dispatcher.client_disconnected(request)
        assert case.gateway.events.count(interface.ClientDisconnected("r")) == 1
        await until(lambda: case.gateway.outcomes())
        assert case.gateway.outcomes() == [(0, interface.TIMED_OUT, True)] and case.replies == []

    run(scenario())


def test_an_attempt_waiting_for_its_connection_is_not_written_once_its_worker_drains():
    async def scenario():
        worker = await FakeWorker("w").start()
        case = Case(on(interface.Request, interface.Send("r", "w")))
        case.update_workers(worker)
        case.submit()  # the connection is being established
        case.update_workers(worker, status="draining")
        await until(lambda: case.gateway.outcomes())
        assert case.gateway.outcomes() == [(0, interface.NOT_SENT, False)]  # not the worker's fault
        await until(lambda: worker.connections_closed == worker.connections)
        assert not worker.received

    run(scenario())


class Transport(asyncio.Transport):
    """A fake transport whose written data stays in its buffer."""

    def __init__(self) -> None:
        super().__init__()
        self.buffered, self.aborted = 0, False

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Ignored."""

    def write(self, data: bytes) -> None:
        """Keep the data in the buffer."""
        self.buffered = len(data)

    def get_write_buffer_size(self) -> int:
        """The size of the buffered data."""
        return self.buffered

    def is_closing(self) -> bool:
        """Whether it was aborted."""
        return self.aborted

    def abort(self) -> None:
        """Close."""
        self.aborted = True


# Guards against: a repeat of a keyed request was written, or completed, when the window was over.
@pytest.mark.parametrize(("connected", "status"), [(False, interface.NOT_SENT), (True, interface.UNREACHABLE)])
def test_a_repeat_that_is_not_written_by_the_end_of_its_window_is_given_up(connected, status):
    async def scenario():
        def rules(event):
            if isinstance(event, interface.Request):
                return [interface.Send("r", "w")]
            is_failure = isinstance(event, interface.Outcome) and event.status == interface.FAILURE
            return [interface.Send("r", "v")] if is_failure else []

        case = Case(rules)
        workers = FakeWorker("w"), FakeWorker("v")
        for worker in workers:
            worker.port = 9  # never connected to
        case.update_workers(*workers)
        connections: list[Connection] = []

        async def connect(connection):
            connections.append(connection)

        case.pool._connect = connect
        case.submit(klass="keyed")
        await until(lambda: connections)
        connections[0].connection_made(Transport())
        connections[0].resume_writing()
        connections[0].data_received(b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n")
        await until(lambda: connections[1:])
        transport = Transport()
        if connected:
            connections[1].connection_made(transport)  # its write buffer never empties
        await until(lambda: len(case.gateway.outcomes()) == 2)
        assert case.gateway.outcomes() == [(0, interface.FAILURE, False), (1, status, False)]
        assert transport.aborted == connected

    run(scenario())


@pytest.mark.parametrize(("all_sent", "status"), [(False, interface.UNREACHABLE), (True, interface.CONNECTION_RESET)])
def test_a_connection_lost_before_the_last_byte_was_sent_proves_that_the_request_did_not_run(all_sent, status):
    async def scenario():
        case = Case(on(interface.Request, interface.Send("r", "w")))
        worker = FakeWorker("w")
        worker.port = 9  # never connected to
        case.update_workers(worker)
        connections: list[Connection] = []

        async def connect(connection):
            connections.append(connection)

        case.pool._connect = connect
        case.submit()
        await until(lambda: connections)
        connections[0].connection_made(Transport())
        if all_sent:
            connections[0].resume_writing()
        connections[0].connection_lost(ConnectionResetError())
        assert case.gateway.outcomes() == [(0, status, False)]
        assert not case.pool._connections

    run(scenario())


@pytest.mark.parametrize(
    ("error", "status"), [(errno.EMFILE, interface.NOT_SENT), (errno.ECONNREFUSED, interface.UNREACHABLE)]
)
def test_a_local_shortage_is_not_the_workers_fault(error, status, monkeypatch):
    async def scenario():
        case = Case(on(interface.Request, interface.Send("r", "w")))
        worker = FakeWorker("w")
        worker.port = 9
        case.update_workers(worker)

        class Loop:
            def __getattr__(self, name):
                return getattr(case.loop, name)

            async def create_connection(self, *args):
                raise OSError(error, "none")

        case.pool.loop = Loop()
        case.submit()
        await until(lambda: case.gateway.outcomes())
        assert case.gateway.outcomes() == [(0, status, False)] and not case.pool._connections

    run(scenario())


def test_an_attempt_cancelled_before_its_connection_task_starts_leaves_no_connection():
    async def scenario():
        worker = await FakeWorker("w").start()
        case = Case(on(interface.Request, interface.Send("r", "w"), interface.Cancel("r", 0)))
        case.update_workers(worker)
        case.submit()
        assert case.gateway.outcomes() == [(0, interface.CANCELLED, False)] and not case.pool._connections
        await asyncio.sleep(0)
        assert not case.pool._connections

    run(scenario())


# Guards against: a worker that came up at the address of one that had gone got that one's requests as well.
def test_a_worker_whose_address_another_one_has_taken_gets_no_more_requests():
    async def scenario():
        worker = await FakeWorker("old").start()
        case = Case(on(interface.Request, interface.Send("r", "old")))
        case.update_workers(worker)
        worker.name = "new"
        entries = [worker.entry()]
        case.dispatcher.update_workers(DiscoveryUpdate({"index": 2, "snapshot": False, "endpoints": entries}))
        listed = {entry.worker: entry.state for entry in case.gateway.events[-1].entries}
        assert listed == {"new": interface.HEALTHY, "old": interface.REMOVED}
        assert case.pool.address("old") is None and case.pool.address("new") is not None
        case.submit()
        await until(lambda: case.gateway.outcomes())
        assert case.gateway.outcomes() == [(0, interface.NOT_SENT, False)] and not worker.received

    run(scenario())
