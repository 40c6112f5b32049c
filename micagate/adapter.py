"""The simulator's wire: translates its lines to events and actions to its lines. It decides nothing."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable, Iterator
from typing import Any, TextIO

from micagate import interface
from micagate.gateway import Gateway
from micagate.settings_keys import check

MICROSECONDS_PER_SECOND = 1_000_000
STATES = {"healthy": interface.HEALTHY, "cordoned": interface.DRAINING, "deregistered": interface.REMOVED}
STATUSES = {
    "success": interface.SUCCESS,
    "failure": interface.FAILURE,
    "overloaded": interface.OVERLOADED,
    "timed_out": interface.TIMED_OUT,
    "unreachable": interface.UNREACHABLE,
    "broken": interface.CONNECTION_RESET,
    "withdrawn": interface.CANCELLED,
    "void": interface.NOT_SENT,
}
CLIENT_RETRY_FLAG = 2  # bit of `Options`


class MalformedInputError(Exception):
    """Input that the wire does not allow; the text says what is wrong."""


def seconds(text: str) -> float:
    """Seconds from a whole number of microseconds; absent is 0."""
    return 0.0 if text == "-" else int(text) / MICROSECONDS_PER_SECOND


def microseconds(value: float) -> int:
    """Microseconds, rounded."""
    return round(value * MICROSECONDS_PER_SECOND)


def settings(facts: dict[str, Any]) -> interface.Settings:
    """Settings from the `Facts` of a `LAUNCH`; unknown keys are skipped, what can't be followed is a ValueError."""
    check(facts)
    caps, rules, family = facts["Caps"], facts["Rules"], facts["FamilyInfo"]
    classes = tuple(
        interface.RequestClass(
            name=c["Name"],
            aim=c["SloUs"] / MICROSECONDS_PER_SECOND,
            deadline=c["DeadlineUs"] / MICROSECONDS_PER_SECOND,
            effect=c["Effect"],
            group=c["Group"],
            window=c["WindowUs"] / MICROSECONDS_PER_SECOND,
            streaming=c["Streaming"],
            late_value=c["LateWorth"],
            importance=c.get("Importance", 1.0),
        )
        for c in facts["Classes"]
    )
    plans = tuple(
        interface.Plan(
            name=p["Name"],
            rate=p["Refill"],
            burst=p["MostAtOnce"],
            concurrency_limit=p["AtOnce"],
            ceiling_rate=p["HardRate"],
            ceiling_capacity=p["CapDepth"],
            ceiling_slack=p["CapSlack"],
            excess_revenue=p["BeyondEarns"],
            excess_cost=p["ExcessCost"],
            price=p.get("Price", 1.0),
        )
        for p in facts["Plans"]
    )
    return interface.Settings(
        classes=classes,
        plans=plans,
        gateways=facts["NInstances"],
        number=facts.get("Index"),
        zone=facts["MyZone"],
        tick=facts["TickUs"] / MICROSECONDS_PER_SECOND,
        max_attempts=caps["MaxAttempts"],
        can_cancel=caps["Cancel"],
        hedging=caps["SecondCopies"],
        max_retry_after=caps["MaxRetryAfterUs"] / MICROSECONDS_PER_SECOND if caps["RetryAfter"] else 0.0,
        counter_timeout=family.get("CountLimitUs", 0) / MICROSECONDS_PER_SECOND if family.get("SharedCounter") else 0.0,
        requires_subscription=facts["Discovery"] == "on_request",
        meter_period=family["MeterUs"] / MICROSECONDS_PER_SECOND,
        slow_start_min_factor=rules["ColdFrom"],
        slow_start_duration=rules["RampTimeUs"] / MICROSECONDS_PER_SECOND,
        overload_factor=rules["OverloadFactor"],
        fall_time=rules["FallUs"] / MICROSECONDS_PER_SECOND,
    )


def parse_worker_entry(line: str) -> interface.WorkerEntry:
    """A line of a workers list."""
    word, worker, area, _kind, cohort, state, hint, boot = line.split(" ")[:8]
    if word != "ENTRY":
        raise MalformedInputError(f"expected an ENTRY, found {word!r}")
    if state not in STATES:
        raise MalformedInputError(f"unknown state {state!r}")
    started = seconds(boot)
    return interface.WorkerEntry(
        worker=worker,
        zone=area,
        cell=int(cohort),
        state=STATES[state],
        size=1.0 if hint == "-" else float(hint),
        started=started or None,
    )


def parse_submit(values: list[str]) -> interface.Event:
    """SUBMIT: OpId Class Tariff Account TimeLeftUs PriceUnits Spread Base Options."""
    options = 0 if values[8] == "-" else int(values[8])
    return interface.Request(
        request=values[0],
        klass=values[1],
        plan=values[2],
        customer=values[3],
        time_left=seconds(values[4]),
        units=1.0 if values[5] == "-" else float(values[5]),
        gateway_count=1 if values[6] == "-" else int(values[6]),
        first_gateway=0 if values[7] == "-" else int(values[7]),
        client_retry=bool(options & CLIENT_RETRY_FLAG),
    )


def parse_response(values: list[str]) -> interface.Event:
    """RESPONSE: OpId Shot FinalUnits Worker Terminal Status SpentUs Used Metrics."""
    if values[5] not in STATUSES:
        raise MalformedInputError(f"unknown status {values[5]!r}")
    used = 0 if values[7] == "-" else int(values[7])
    return interface.Outcome(
        request=values[0],
        attempt=int(values[1]),
        worker=values[3],
        status=STATUSES[values[5]],
        terminal=values[4] == "1",
        took=seconds(values[6]),
        used=(used - 1) / 100 if used else None,
        final_units=0.0 if values[2] == "-" else float(values[2]),
    )


def parse_sum(values: list[str]) -> interface.Event:
    """SUM: Status Reading SlotName SpentUs."""
    if values[0] not in STATUSES:
        raise MalformedInputError(f"unknown status {values[0]!r}")
    return interface.CounterResult(
        name=int(values[2]),
        status=STATUSES[values[0]],
        total=0.0 if values[1] == "-" else float(values[1]),
        took=seconds(values[3]),
    )


# Events of an instance: how many values follow the instance, and what they become. The module asks for no
# probes or messages, so answers to these are read and left.
EVENT_PARSERS: dict[str, tuple[int, Callable[[list[str]], interface.Event | None]]] = {
    "SUBMIT": (9, parse_submit),
    "RESPONSE": (9, parse_response),
    "STARTED": (4, lambda v: interface.StreamStarted(v[0], int(v[3]), v[2], seconds(v[1]))),
    "WAKE": (1, lambda v: interface.TimerFired(int(v[0]))),
    "ABANDONED": (1, lambda v: interface.ClientDisconnected(v[0])),
    "SUM": (4, parse_sum),
    "SAMPLED": (4, lambda v: None),
    "MAIL": (2, lambda v: None),
}


def action_line(instance: int, action: interface.Action) -> str:
    """The wire's line for an action."""
    match action:
        case interface.Send(request, worker, within):
            return f"SUBMIT_TO {instance} {request} {worker} {microseconds(within)}"
        case interface.Refuse(request, retry_after):
            return f"TURN_AWAY {instance} {request} {microseconds(retry_after)}"
        case interface.Fail(request):
            return f"FINISH_ERROR {instance} {request}"
        case interface.Cancel(request, attempt):
            return f"WITHDRAW {instance} {request} {attempt}"
        case interface.SetTimer(delay, ref):
            return f"SET_TIMER {instance} {max(0, microseconds(delay))} {ref}"
        case interface.Subscribe():
            return f"SUBSCRIBE {instance} 1"
        case interface.CounterAdd(name, amount, life):
            return f"ADD {instance} {name} {amount:.7g} {microseconds(life)}"
        case interface.DemandReport() | interface.ReleasedLevels() | interface.MaintenanceResult():
            raise ValueError("the wire has no planners or operators")  # nor an event that calls for these


class Adapter:
    """Hosts the gateways of one process."""

    def __init__(self, source: TextIO, sink: TextIO) -> None:
        self._lines = self._count_lines(source)
        self._sink = sink
        self._gateways: dict[int, Gateway] = {}
        self._worker_lists: dict[int, tuple[interface.WorkerEntry, ...]] = {}
        self._number = 0
        self._line = ""

    def _count_lines(self, source: TextIO) -> Iterator[str]:
        for line in source:
            self._number += 1
            self._line = line.rstrip("\n")
            yield self._line

    def _next_line(self) -> str:
        line = next(self._lines, None)
        if line is None:
            raise MalformedInputError("input ended inside a batch")
        return line

    def run(self) -> int:
        """Serve batches until the input ends; the exit status."""
        try:
            for line in self._lines:
                if line:
                    self._process_batch(line)
        except (MalformedInputError, ValueError, KeyError, IndexError, TypeError, UnicodeError) as error:
            message = f"missing setting {error}" if isinstance(error, KeyError) else str(error)
            print(f"micagate: line {self._number}: {message}: {self._line[:120]!r}", file=sys.stderr)
            return 1
        return 0

    def _process_batch(self, line: str) -> None:
        parts = line.split(" ")
        if parts[0] != "CLOCK" or len(parts) < 3:
            raise MalformedInputError("expected CLOCK, a time and a batch number")
        now, batch = int(parts[1]) / MICROSECONDS_PER_SECOND, int(parts[2])
        out: list[str] = []
        while (line := self._next_line()) != "FLUSH":
            self._process_line(now, line, out)
        out.append(f"YIELD {batch}\n")
        self._sink.write("\n".join(out))
        self._sink.flush()

    def _process_line(self, now: float, line: str, out: list[str]) -> None:
        word, _, rest = line.partition(" ")
        values = rest.split(" ")
        if word == "DIRECTORY":
            self._worker_lists[int(values[0])] = tuple(
                parse_worker_entry(self._next_line()) for _ in range(int(values[1]))
            )
        elif word == "LAUNCH":
            number, seed, facts = rest.split(" ", 2)
            self._gateways[int(number)] = Gateway(settings(json.loads(facts)), int(seed), now)
        elif word == "DOWN":
            self._gateways.pop(int(values[0]), None)
        elif word == "UPDATE":
            self._handle_event(now, int(values[0]), self._parse_update(values), out)
        elif word in EVENT_PARSERS:
            count, parse = EVENT_PARSERS[word]
            if len(values) <= count:
                raise MalformedInputError(f"{word} has too few values")
            event = parse(values[1:])
            if event is not None:
                self._handle_event(now, int(values[0]), event, out)
        else:
            raise MalformedInputError(f"unknown message {word!r}")

    def _parse_update(self, values: list[str]) -> interface.Event:
        scope = values[1]
        if scope == "unavailable":
            return interface.WorkerList(failed=True)
        if scope not in ("update", "replace", "restored"):
            raise MalformedInputError(f"unknown scope {scope!r}")
        table = int(values[3])
        if table not in self._worker_lists:
            raise MalformedInputError(f"no DIRECTORY {table}")
        return interface.WorkerList(self._worker_lists[table], whole=scope != "update")

    def _handle_event(self, now: float, instance: int, event: interface.Event, out: list[str]) -> None:
        gateway = self._gateways.get(instance)
        if gateway is None:
            raise MalformedInputError(f"no instance {instance}")
        try:
            actions = gateway.handle(now, event)
        except Exception as error:  # a fault in the decisions goes out on the wire, not as a traceback
            message = " ".join(f"{type(error).__name__}: {error}".split())
            out.append(f"BAIL_OUT {instance} {message}")
            return
        out.extend(action_line(instance, action) for action in actions)


def main() -> int:
    """Run on standard input and output."""
    return Adapter(sys.stdin, sys.stdout).run()


if __name__ == "__main__":
    sys.exit(main())
