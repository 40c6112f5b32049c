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
class SettingKey:
    """One setting. `follows`: the decision that follows it, or, where `used` is false, why none does.

    `needed`: the decisions have no default for it. What the process alone follows is asked for where it is read.
    """

    kind: str  # number, whole, flag or text; empty where nothing follows it, since then any value will do
    follows: str
    used: bool = True
    required: bool = True
    minimum: float = 0.0
    maximum: float = math.inf
    choices: tuple[str, ...] = ()

    def problem(self, value: Any) -> str:
        """What is wrong with a value; empty where nothing is."""
        match self.kind:
            case "flag":
                return "" if isinstance(value, bool) else "must be true or false"
            case "text":
                if not isinstance(value, str):
                    return "must be text"
                return f"must be one of {', '.join(self.choices)}" if self.choices and value not in self.choices else ""
        if isinstance(value, bool) or not isinstance(value, int if self.kind == "whole" else int | float):
            return f"must be a {'whole ' if self.kind == 'whole' else ''}number"
        if not (math.isfinite(value) and self.minimum <= value <= self.maximum):
            return f"must be from {self.minimum:g}" + ("" if self.maximum == math.inf else f" to {self.maximum:g}")
        return ""


def _unused(reason: str) -> SettingKey:
    return SettingKey("", reason, used=False, required=False)


NO_PEER_MESSAGES = "gateways don't talk to each other"
NO_TARIFFS = "decisions go by aims, worth, quotas and rules, not by what is taken off a result"

FACTS: Mapping[str, SettingKey] = {
    "Caps.Cancel": SettingKey("flag", "a hedge may call an attempt off; what others ended is called off"),
    "Caps.ConnectTimeoutUs": SettingKey(
        "number", "when a connection that does not come up is given up", required=False
    ),
    "Caps.CpuUsPerRequest": _unused("bounds the process, not its decisions"),
    "Caps.CpuUsPerS": _unused("bounds the process, not its decisions"),
    "Caps.IdleCloseUs": SettingKey("number", "how long an idle connection is used again", required=False),
    "Caps.MaxAttempts": SettingKey("whole", "further attempts, hedges", minimum=1),
    "Caps.MaxOpen": _unused("what is beyond it never comes here"),
    "Caps.MaxRetryAfterUs": SettingKey("number", "the longest wait that a refusal advises"),
    "Caps.MaxStreams": _unused("a connection carries one request at a time"),
    "Caps.PeerMessages": _unused(NO_PEER_MESSAGES),
    "Caps.Probes": _unused("answers tell of health; nothing is probed"),
    "Caps.RetryAfter": SettingKey("flag", "whether refusals advise a wait"),
    "Caps.SecondCopies": SettingKey("flag", "a hedge may be a second attempt beside the first"),
    "Classes[].AimStretch": _unused("the aim is taken unstretched, which is the earlier one"),
    "Classes[].DeadlineUs": SettingKey("number", "when a request ends"),
    "Classes[].Effect": SettingKey("text", "whether a further attempt may go", choices=interface.EFFECTS),
    "Classes[].Group": SettingKey("text", "where a further attempt of a token may go", choices=interface.GROUPS),
    "Classes[].Importance": SettingKey(
        "number", "under pressure: where the bucket is full, from when on one is late", required=False
    ),
    "Classes[].LateWorth": SettingKey("number", "0: tries that come past the aim are refused"),
    "Classes[].Name": SettingKey("text", "the class that a request names"),
    "Classes[].SloUs": SettingKey("number", "the aim: signals, latecomers, hedges"),
    "Classes[].Streaming": SettingKey("flag", "whether answers are streams"),
    "Classes[].WindowUs": SettingKey("number", "how long a token may be sent again"),
    "Clients.MarksRetry": _unused("each request's own mark is read"),
    "Dcs": _unused("zones are read from the list of workers"),
    "Discovery": SettingKey("text", "whether the list must be asked for", choices=("pushed", "on_request")),
    "FamilyInfo.CountFee": _unused("what the counter bears bounds the calls, below what they cost"),
    "FamilyInfo.CountLimitUs": SettingKey("number", "how long a try waits for its count", required=False),
    "FamilyInfo.InboxPerS": _unused(NO_PEER_MESSAGES),
    "FamilyInfo.MeterUs": SettingKey("number", "periods of the estimate of whole stores, smoothing; 0: parts alone"),
    "FamilyInfo.PostPaid": _unused("an answer's own units are read where it has some"),
    "FamilyInfo.SharedCounter": SettingKey("flag", "whether slivers of quotas are counted", required=False),
    "FamilyInfo.UnitsTop": SettingKey("number", "requests of more units are turned down", required=False),
    "Goal.Whole": _unused(NO_TARIFFS),
    "Goal.WorstClass": _unused(NO_TARIFFS),
    "Goal.WorstTenant": _unused(NO_TARIFFS),
    "Goal.WorstWindow": _unused(NO_TARIFFS),
    "Index": SettingKey("whole", "the gateway's place among the others: its arc of the ring", required=False),
    "Kinds": _unused("what a worker can do is learned from its answers"),
    "Layer": _unused("there is one tier"),
    "MyZone": SettingKey("text", "workers of the own zone are preferred"),
    "NInstances": SettingKey("whole", "parts of the cold guard, arcs, latecomers", minimum=1),
    "Plans[].AtOnce": SettingKey("number", "places at once, by parts and by what others may have out"),
    "Plans[].BeyondEarns": SettingKey("number", "beyond the quota only where that pays"),
    "Plans[].CapDepth": SettingKey("number", "the ceiling's store"),
    "Plans[].CapSlack": SettingKey("number", "how far the ceiling may be passed"),
    "Plans[].ExcessCost": SettingKey("number", "how sure a part must be to run ahead"),
    "Plans[].HardRate": SettingKey("number", "the ceiling's rate"),
    "Plans[].MostAtOnce": SettingKey("number", "the quota's store"),
    "Plans[].Name": SettingKey("text", "the plan that a request names"),
    "Plans[].Price": SettingKey("number", "whose quotas are counted first", required=False),
    "Plans[].Refill": SettingKey("number", "the quota's rate"),
    "Report.Fields": _unused("load reports change no decision: they are older than most queues"),
    "Report.How": _unused("load reports change no decision: they are older than most queues"),
    "Rules.AskWithinUs": _unused("where the list must be asked for, it is subscribed to from the start"),
    "Rules.ColdFrom": SettingKey("number", "what a worker can do right after its start", maximum=1.0),
    "Rules.DrainGraceUs": SettingKey(
        "number", "how long after news of a drain written requests may go out", required=False
    ),
    "Rules.FallUs": SettingKey("number", "the cold guard's span"),
    "Rules.GraceToAnswerUs": _unused("requests end before their clients' time does"),
    "Rules.OverloadFactor": SettingKey("number", "what a cold worker bears", minimum=1.0),
    "Rules.RampTimeUs": SettingKey("number", "how long a worker counts as cold"),
    "TickUs": SettingKey("number", "how long before its time a request is ended"),
    "Tiers": _unused("there is one tier"),
    "WeightKind": _unused("sizes are read next to the mean of their list, whatever they mean"),
    "Workload": _unused("a name"),
    **{
        f"Tariffs.{name}": _unused(NO_TARIFFS)
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


LIST_KEYS = tuple(dict.fromkeys(key.partition("[].")[0] for key in FACTS if "[]." in key))


def stated(settings: Mapping[str, Any], prefix: str = "") -> Iterator[tuple[str, str, Any]]:
    """What is stated: the key as it stands in `FACTS`, where it stands, and its value."""
    for name, value in settings.items():
        key = f"{prefix}{name}"
        if isinstance(value, Mapping):
            yield from ((key, f"{name}.{path}", leaf) for key, path, leaf in stated(value, f"{key}."))
        elif isinstance(value, list) and value and all(isinstance(item, Mapping) for item in value):
            for index, item in enumerate(value):
                yield from ((key, f"{name}[{index}].{path}", leaf) for key, path, leaf in stated(item, f"{key}[]."))
        else:
            yield key, name, value


def check(settings: Mapping[str, Any]) -> None:
    """ValueError, naming the first key that is missing or whose value nothing could follow."""
    for name in LIST_KEYS:
        entries = settings.get(name, [])
        if not isinstance(entries, list) or not all(isinstance(item, Mapping) for item in entries):
            raise ValueError(f"{name}: must be a list of objects, not {entries!r}")
    seen: Counter[str] = Counter()
    for key, path, value in stated(settings):
        seen[key] += 1
        setting_key = FACTS.get(key)
        if (
            setting_key is not None and setting_key.used and (problem := setting_key.problem(value))
        ):  # what nothing follows can't be wrong
            raise ValueError(f"{path}: {problem}, not {value!r}")
    for key, setting_key in FACTS.items():
        head, separator, _ = key.partition("[].")
        expected = len(settings.get(head, ())) if separator else 1
        if setting_key.required and seen[key] < expected:
            raise ValueError(f"{key}: missing")
