"""The settings that a platform states: what each is, and which decision follows it, or why none does.

`check` turns down what nothing here could follow, by the key's name: a flag that is text counts as set, a mode of
discovery that is not known as the usual one, and both show only when it matters. Keys that are not known
are left alone, since platforms add some, and so is what nothing follows.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from micagate import interface


@dataclass(frozen=True, slots=True)
class Fact:
    """One setting. `follows`: the decision that follows it, or, where `used` is false, why none does.

    `needed`: the decisions have no default for it. What the process alone follows is asked for where it is read.
    """

    kind: str  # number, whole, flag or text; empty where nothing follows it, since then any value will do
    follows: str
    used: bool = True
    needed: bool = True
    least: float = 0.0
    most: float = math.inf
    among: tuple[str, ...] = ()

    def wrong(self, value: Any) -> str:
        """What is wrong with a value; empty where nothing is."""
        match self.kind:
            case "flag":
                return "" if isinstance(value, bool) else "must be true or false"
            case "text":
                if not isinstance(value, str):
                    return "must be text"
                return f"must be one of {', '.join(self.among)}" if self.among and value not in self.among else ""
        if isinstance(value, bool) or not isinstance(value, int if self.kind == "whole" else int | float):
            return f"must be a {'whole ' if self.kind == 'whole' else ''}number"
        if not (math.isfinite(value) and self.least <= value <= self.most):
            return f"must be from {self.least:g}" + ("" if self.most == math.inf else f" to {self.most:g}")
        return ""


def _left(why: str) -> Fact:
    return Fact("", why, used=False, needed=False)


NO_PEERS = "gateways don't talk to each other"
NO_SCORE = "decisions go by aims, worth, quotas and rules, not by what is taken off a result"

FACTS: Mapping[str, Fact] = {
    "Caps.Cancel": Fact("flag", "a hedge may call an attempt off; what others ended is called off"),
    "Caps.ConnectTimeoutUs": Fact("number", "when a connection that does not come up is given up", needed=False),
    "Caps.CpuUsPerRequest": _left("bounds the process, not its decisions"),
    "Caps.CpuUsPerS": _left("bounds the process, not its decisions"),
    "Caps.IdleCloseUs": Fact("number", "how long an idle connection is used again", needed=False),
    "Caps.MaxAttempts": Fact("whole", "further attempts, hedges", least=1),
    "Caps.MaxOpen": _left("what is beyond it never comes here"),
    "Caps.MaxRetryAfterUs": Fact("number", "the longest wait that a refusal advises"),
    "Caps.MaxStreams": _left("a connection carries one request at a time"),
    "Caps.PeerMessages": _left(NO_PEERS),
    "Caps.Probes": _left("answers tell of health; nothing is probed"),
    "Caps.RetryAfter": Fact("flag", "whether refusals advise a wait"),
    "Caps.SecondCopies": Fact("flag", "a hedge may be a second attempt beside the first"),
    "Classes[].AimStretch": _left("the aim is taken unstretched, which is the earlier one"),
    "Classes[].DeadlineUs": Fact("number", "when a request ends"),
    "Classes[].Effect": Fact("text", "whether a further attempt may go", among=interface.EFFECTS),
    "Classes[].Group": Fact("text", "where a further attempt of a token may go", among=interface.GROUPS),
    "Classes[].Importance": Fact(
        "number", "under pressure: where the bucket is full, from when on one is late", needed=False
    ),
    "Classes[].LateWorth": Fact("number", "0: tries that come past the aim are refused"),
    "Classes[].Name": Fact("text", "the class that a request names"),
    "Classes[].SloUs": Fact("number", "the aim: signals, latecomers, hedges"),
    "Classes[].Streaming": Fact("flag", "whether answers are streams"),
    "Classes[].WindowUs": Fact("number", "how long a token may be sent again"),
    "Clients.MarksRetry": _left("each request's own mark is read"),
    "Dcs": _left("zones are read from the list of workers"),
    "Discovery": Fact("text", "whether the list must be asked for", among=("pushed", "on_request")),
    "FamilyInfo.CountFee": _left("what the counter bears bounds the calls, below what they cost"),
    "FamilyInfo.CountLimitUs": Fact("number", "how long a try waits for its count", needed=False),
    "FamilyInfo.InboxPerS": _left(NO_PEERS),
    "FamilyInfo.MeterUs": Fact("number", "periods of the estimate of whole stores, smoothing; 0: parts alone"),
    "FamilyInfo.PostPaid": _left("an answer's own units are read where it has some"),
    "FamilyInfo.SharedCounter": Fact("flag", "whether slivers of quotas are counted", needed=False),
    "FamilyInfo.UnitsTop": Fact("number", "requests of more units are turned down", needed=False),
    "Goal.Whole": _left(NO_SCORE),
    "Goal.WorstClass": _left(NO_SCORE),
    "Goal.WorstTenant": _left(NO_SCORE),
    "Goal.WorstWindow": _left(NO_SCORE),
    "Index": Fact("whole", "the gateway's place among the others: its arc of the ring", needed=False),
    "Kinds": _left("what a worker can do is learned from its answers"),
    "Layer": _left("there is one tier"),
    "MyZone": Fact("text", "workers of the own zone are preferred"),
    "NInstances": Fact("whole", "parts of the cold guard, arcs, latecomers", least=1),
    "Plans[].AtOnce": Fact("number", "places at once, by parts and by what others may have out"),
    "Plans[].BeyondEarns": Fact("number", "beyond the quota only where that pays"),
    "Plans[].CapDepth": Fact("number", "the ceiling's store"),
    "Plans[].CapSlack": Fact("number", "how far the ceiling may be passed"),
    "Plans[].ExcessCost": Fact("number", "how sure a part must be to run ahead"),
    "Plans[].HardRate": Fact("number", "the ceiling's rate"),
    "Plans[].MostAtOnce": Fact("number", "the quota's store"),
    "Plans[].Name": Fact("text", "the plan that a request names"),
    "Plans[].Price": Fact("number", "whose quotas are counted first", needed=False),
    "Plans[].Refill": Fact("number", "the quota's rate"),
    "Report.Fields": _left("load reports change no decision: they are older than most queues"),
    "Report.How": _left("load reports change no decision: they are older than most queues"),
    "Rules.AskWithinUs": _left("where the list must be asked for, it is subscribed to from the start"),
    "Rules.ColdFrom": Fact("number", "what a worker can do right after its start", most=1.0),
    "Rules.DrainGraceUs": Fact("number", "how long after news of a drain written requests may go out", needed=False),
    "Rules.FallUs": Fact("number", "the cold guard's span"),
    "Rules.GraceToAnswerUs": _left("requests end before their clients' time does"),
    "Rules.OverloadFactor": Fact("number", "what a cold worker bears", least=1.0),
    "Rules.RampTimeUs": Fact("number", "how long a worker counts as cold"),
    "TickUs": Fact("number", "how long before its time a request is ended"),
    "Tiers": _left("there is one tier"),
    "WeightKind": _left("sizes are read next to the mean of their list, whatever they mean"),
    "Workload": _left("a name"),
    **{
        f"Tariffs.{name}": _left(NO_SCORE)
        for name in (
            "Connection",
            "CrossZone",
            "Discovery",
            "Handshake",
            "LateFail",
            "Moves",
            "Origin",
            "Peer",
            "Probe",
            "Waste",
        )
    },
}


LISTS = tuple(dict.fromkeys(key.partition("[].")[0] for key in FACTS if "[]." in key))


def stated(facts: Mapping[str, Any], under: str = "") -> Iterator[tuple[str, str, Any]]:
    """What is stated: the key as it stands in `FACTS`, where it stands, and its value."""
    for name, value in facts.items():
        key = f"{under}{name}"
        if isinstance(value, Mapping):
            yield from ((known, f"{name}.{where}", inner) for known, where, inner in stated(value, f"{key}."))
        elif isinstance(value, list) and value and all(isinstance(each, Mapping) for each in value):
            for n, each in enumerate(value):
                yield from ((known, f"{name}[{n}].{where}", inner) for known, where, inner in stated(each, f"{key}[]."))
        else:
            yield key, name, value


def check(facts: Mapping[str, Any]) -> None:
    """ValueError, naming the first key that is missing or whose value nothing could follow."""
    for name in LISTS:
        entries = facts.get(name, [])
        if not isinstance(entries, list) or not all(isinstance(each, Mapping) for each in entries):
            raise ValueError(f"{name}: must be a list of objects, not {entries!r}")
    seen: Counter[str] = Counter()
    for key, where, value in stated(facts):
        seen[key] += 1
        fact = FACTS.get(key)
        if fact is not None and fact.used and (wrong := fact.wrong(value)):  # what nothing follows can't be wrong
            raise ValueError(f"{where}: {wrong}, not {value!r}")
    for key, fact in FACTS.items():
        head, listed, _ = key.partition("[].")
        there = len(facts.get(head, ())) if listed else 1
        if fact.needed and seen[key] < there:
            raise ValueError(f"{key}: missing")
