"""Connects gateways to the simulator: translates the lines of its protocol to events, and actions to lines.

The simulator writes batches to standard input. A batch begins with CLOCK and ends with FLUSH; the answer holds the
lines of the resulting actions and ends with YIELD. All decisions are made by `micagate/gateway.py`.
"""

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
CLIENT_RETRY_FLAG = 2  # bit of `Options` in SUBMIT


class MalformedInputError(Exception):
    """A line violates the protocol; the message says how."""


def seconds(text: str) -> float:
    """Convert a whole number of microseconds to seconds; `-`, for an absent value, is 0."""
    return 0.0 if text == "-" else int(text) / MICROSECONDS_PER_SECOND


def microseconds(value: float) -> int:
    """Convert seconds to microseconds, rounded."""
    return round(value * MICROSECONDS_PER_SECOND)


def parse_settings(facts: dict[str, Any]) -> interface.Settings:
    """Return the settings from the `Facts` of a LAUNCH. Ignores unknown keys; raises ValueError for invalid values."""
    check(facts)
    caps, rules, family = facts["Caps"], facts["Rules"], facts["FamilyInfo"]
    classes = tuple(
        interface.RequestClass(
            name=request_class["Name"],
            aim=request_class["SloUs"] / MICROSECONDS_PER_SECOND,
            deadline=request_class["DeadlineUs"] / MICROSECONDS_PER_SECOND,
            effect=request_class["Effect"],
            group=request_class["Group"],
            window=request_class["WindowUs"] / MICROSECONDS_PER_SECOND,
            streaming=request_class["Streaming"],
            late_value=request_class["LateWorth"],
            importance=request_class.get("Importance", 1.0),
        )
        for request_class in facts["Classes"]
    )
    plans = tuple(
        interface.Plan(
            name=plan["Name"],
            rate=plan["Refill"],
            burst=plan["MostAtOnce"],
            concurrency_limit=plan["AtOnce"],
            ceiling_rate=plan["HardRate"],
            ceiling_capacity=plan["CapDepth"],
            ceiling_slack=plan["CapSlack"],
            excess_revenue=plan["BeyondEarns"],
            excess_cost=plan["ExcessCost"],
            price=plan.get("Price", 1.0),
        )
        for plan in facts["Plans"]
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
    """Parse an ENTRY line of a list of workers."""
    keyword, worker, zone, _kind, cell, state, size, boot_time = line.split(" ")[:8]
    if keyword != "ENTRY":
        raise MalformedInputError(f"expected an ENTRY, found {keyword!r}")
    if state not in STATES:
        raise MalformedInputError(f"unknown state {state!r}")
    started = seconds(boot_time)
    return interface.WorkerEntry(
        worker=worker,
        zone=zone,
        cell=int(cell),
        state=STATES[state],
        size=1.0 if size == "-" else float(size),
        started=started or None,
    )


def parse_submit(values: list[str]) -> interface.Event:
    """Parse SUBMIT: OpId Class Tariff Account TimeLeftUs PriceUnits Spread Base Options."""
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
    """Parse RESPONSE: OpId Shot FinalUnits Worker Terminal Status SpentUs Used Metrics."""
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
    """Parse SUM: Status Reading SlotName SpentUs."""
    if values[0] not in STATUSES:
        raise MalformedInputError(f"unknown status {values[0]!r}")
    return interface.CounterResult(
        name=int(values[2]),
        status=STATUSES[values[0]],
        total=0.0 if values[1] == "-" else float(values[1]),
        took=seconds(values[3]),
    )


# Events of an instance: the number of values after the instance, and their parser. Gateways request no probes and
# exchange no messages, so SAMPLED and MAIL are read and ignored.
EVENT_PARSERS: dict[str, tuple[int, Callable[[list[str]], interface.Event | None]]] = {
    "SUBMIT": (9, parse_submit),
    "RESPONSE": (9, parse_response),
    "STARTED": (4, lambda values: interface.StreamStarted(values[0], int(values[3]), values[2], seconds(values[1]))),
    "WAKE": (1, lambda values: interface.TimerFired(int(values[0]))),
    "ABANDONED": (1, lambda values: interface.ClientDisconnected(values[0])),
    "SUM": (4, parse_sum),
    "SAMPLED": (4, lambda values: None),
    "MAIL": (2, lambda values: None),
}


def action_line(instance: int, action: interface.Action) -> str:
    """Return the protocol line of an action."""
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
            # No event of the protocol leads to these.
            raise ValueError("the simulator's protocol has no planners or operators")


class Adapter:
    """Runs the gateways that the simulator launches in this process."""

    def __init__(self, source: TextIO, sink: TextIO) -> None:
        self._lines = self._count_lines(source)
        self._sink = sink
        self._gateways: dict[int, Gateway] = {}
        self._worker_lists: dict[int, tuple[interface.WorkerEntry, ...]] = {}
        self._line_number = 0
        self._line = ""

    def _count_lines(self, source: TextIO) -> Iterator[str]:
        """Yield the lines without their ends, and keep the last one and its number for error messages."""
        for line in source:
            self._line_number += 1
            self._line = line.rstrip("\n")
            yield self._line

    def _next_line(self) -> str:
        """Return the next line of the current batch."""
        line = next(self._lines, None)
        if line is None:
            raise MalformedInputError("input ended inside a batch")
        return line

    def run(self) -> int:
        """Serve batches until the input ends, and return the exit status."""
        try:
            for line in self._lines:
                if line:
                    self._process_batch(line)
        except (MalformedInputError, ValueError, KeyError, IndexError, TypeError, UnicodeError) as error:
            message = f"missing setting {error}" if isinstance(error, KeyError) else str(error)
            print(f"micagate: line {self._line_number}: {message}: {self._line[:120]!r}", file=sys.stderr)
            return 1
        return 0

    def _process_batch(self, line: str) -> None:
        """Process a batch, whose first line is `line`, and write the answer."""
        parts = line.split(" ")
        if parts[0] != "CLOCK" or len(parts) < 3:
            raise MalformedInputError("expected CLOCK, a time and a batch number")
        now, batch = int(parts[1]) / MICROSECONDS_PER_SECOND, int(parts[2])
        output: list[str] = []
        while (line := self._next_line()) != "FLUSH":
            self._process_line(now, line, output)
        output.append(f"YIELD {batch}\n")
        self._sink.write("\n".join(output))
        self._sink.flush()

    def _process_line(self, now: float, line: str, output: list[str]) -> None:
        """Process one line of a batch and append the resulting lines to `output`."""
        command, _, rest = line.partition(" ")
        values = rest.split(" ")
        if command == "DIRECTORY":
            self._worker_lists[int(values[0])] = tuple(
                parse_worker_entry(self._next_line()) for _ in range(int(values[1]))
            )
        elif command == "LAUNCH":
            instance, seed, facts = rest.split(" ", 2)
            self._gateways[int(instance)] = Gateway(parse_settings(json.loads(facts)), int(seed), now)
        elif command == "DOWN":
            self._gateways.pop(int(values[0]), None)
        elif command == "UPDATE":
            self._handle_event(now, int(values[0]), self._parse_update(values), output)
        elif command in EVENT_PARSERS:
            count, parse = EVENT_PARSERS[command]
            if len(values) <= count:
                raise MalformedInputError(f"{command} has too few values")
            event = parse(values[1:])
            if event is not None:
                self._handle_event(now, int(values[0]), event, output)
        else:
            raise MalformedInputError(f"unknown message {command!r}")

    def _parse_update(self, values: list[str]) -> interface.Event:
        """Parse UPDATE, which refers to an earlier DIRECTORY by its number."""
        scope = values[1]
        if scope == "unavailable":
            return interface.WorkerList(failed=True)
        if scope not in ("update", "replace", "restored"):
            raise MalformedInputError(f"unknown scope {scope!r}")
        list_number = int(values[3])
        if list_number not in self._worker_lists:
            raise MalformedInputError(f"no DIRECTORY {list_number}")
        return interface.WorkerList(self._worker_lists[list_number], whole=scope != "update")

    def _handle_event(self, now: float, instance: int, event: interface.Event, output: list[str]) -> None:
        """Pass an event to a gateway and append the lines of its actions."""
        gateway = self._gateways.get(instance)
        if gateway is None:
            raise MalformedInputError(f"no instance {instance}")
        try:
            actions = gateway.handle(now, event)
        except Exception as error:  # reported to the simulator in place of a traceback
            message = " ".join(f"{type(error).__name__}: {error}".split())
            output.append(f"BAIL_OUT {instance} {message}")
            return
        output.extend(action_line(instance, action) for action in actions)


def main() -> int:
    """Run on standard input and output, and return the exit status."""
    return Adapter(sys.stdin, sys.stdout).run()


if __name__ == "__main__":
    sys.exit(main())
