"""Lists the keys of a platform's settings: the type of each value, and what it affects or why it has no effect.

`check` rejects a missing or invalid value with an error that names the key. Unchecked, a flag given as text would
count as true and an unknown discovery mode as the default, and both would show only in operation. Unknown keys are
accepted, since platforms add some, and so are any values of keys that have no effect.
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
    """The type of a setting and its bounds.

    `effect` says what the setting affects or, if `used` is false, why it has no effect. `required`: it has no default
    here. Settings that only the process reads are checked where they are read, in `oliveloft/config/`.
    """

    kind: str  # number, whole, flag or text; empty if unused, and then any value is valid
    effect: str
    used: bool = True
    required: bool = True
    minimum: float = 0.0
    maximum: float = math.inf
    choices: tuple[str, ...] = ()

    def problem(self, value: Any) -> str:
        """Return what is wrong with a value; empty if it is valid."""
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
    """Return the entry of a key that has no effect."""
    return SettingKey("", reason, used=False, required=False)


NO_PEER_MESSAGES = "gateways exchange no messages"
NO_TARIFFS = "decisions depend on latency objectives, importance, quotas and rules, not on tariffs"

# By key; `[]` stands for each item of a list.
SETTING_KEYS: Mapping[str, SettingKey] = {
    "Caps.Cancel": SettingKey("flag", "whether attempts that are no longer needed are cancelled, also by hedges"),
    "Caps.ConnectTimeoutUs": SettingKey("number", "timeout of a connection attempt", required=False),
    "Caps.CpuUsPerRequest": _unused("bounds the process, not its decisions"),
    "Caps.CpuUsPerS": _unused("bounds the process, not its decisions"),
    "Caps.IdleCloseUs": SettingKey("number", "how long an idle connection is reused", required=False),
    "Caps.MaxAttempts": SettingKey("whole", "the most attempts of a request, hedges included", minimum=1),
    "Caps.MaxOpen": _unused("requests beyond it do not reach the gateway"),
    "Caps.MaxRetryAfterUs": SettingKey("number", "the longest wait that a rejection advises"),
    "Caps.MaxStreams": _unused("a connection carries one request at a time"),
    "Caps.PeerMessages": _unused(NO_PEER_MESSAGES),
    "Caps.Probes": _unused("health is learned from responses; workers are not probed"),
    "Caps.RetryAfter": SettingKey("flag", "whether rejections advise a wait"),
    "Caps.SecondCopies": SettingKey("flag", "whether a hedge may run beside the first attempt"),
    "Classes[].AimStretch": _unused("the latency objective is used unstretched, which is the earlier one"),
    "Classes[].DeadlineUs": SettingKey("number", "the deadline of a request"),
    "Classes[].Effect": SettingKey("text", "whether a further attempt may be sent", choices=interface.EFFECTS),
    "Classes[].Group": SettingKey("text", "where a further attempt with a token may be sent", choices=interface.GROUPS),
    "Classes[].Importance": SettingKey(
        "number",
        "during overload: the part of the throttle's bucket, and when a request counts as late",
        required=False,
    ),
    "Classes[].LateWorth": SettingKey("number", "0: client retries past the latency objective are rejected"),
    "Classes[].Name": SettingKey("text", "the class that a request names"),
    "Classes[].SloUs": SettingKey(
        "number", "the latency objective: overload signals, rejection of late requests, hedges"
    ),
    "Classes[].Streaming": SettingKey("flag", "whether responses are streamed"),
    "Classes[].WindowUs": SettingKey("number", "how long a request with a token may be sent again"),
    "Clients.MarksRetry": _unused("the mark of each request is read instead"),
    "Dcs": _unused("zones are read from the list of workers"),
    "Discovery": SettingKey(
        "text", "whether the list of workers must be subscribed to", choices=("pushed", "on_request")
    ),
    "FamilyInfo.CountFee": _unused("the calls are limited by what the counter can serve, which is below their cost"),
    "FamilyInfo.CountLimitUs": SettingKey("number", "how long a request waits for the shared counter", required=False),
    "FamilyInfo.InboxPerS": _unused(NO_PEER_MESSAGES),
    "FamilyInfo.MeterUs": SettingKey(
        "number", "the meter's period: estimates of quota balances and their smoothing; 0: local shares only"
    ),
    "FamilyInfo.PostPaid": _unused("the units of each response are read if it has any"),
    "FamilyInfo.SharedCounter": SettingKey(
        "flag", "whether minimum shares of quotas are counted by the shared counter", required=False
    ),
    "FamilyInfo.UnitsTop": SettingKey("number", "requests of more units are rejected", required=False),
    "Goal.Whole": _unused(NO_TARIFFS),
    "Goal.WorstClass": _unused(NO_TARIFFS),
    "Goal.WorstTenant": _unused(NO_TARIFFS),
    "Goal.WorstWindow": _unused(NO_TARIFFS),
    "Index": SettingKey("whole", "the gateway's number, which determines its subset of the workers", required=False),
    "Kinds": _unused("the capacity of a worker is learned from its responses"),
    "Layer": _unused("there is one tier"),
    "MyZone": SettingKey("text", "workers of the same zone are preferred"),
    "NInstances": SettingKey(
        "whole", "the number of gateways: slow-start limits, worker subsets, rejection of late requests", minimum=1
    ),
    "Plans[].AtOnce": SettingKey("number", "the concurrency limit, by local shares and the use of other gateways"),
    "Plans[].BeyondEarns": SettingKey("number", "requests beyond the quota are admitted only if it is above the cost"),
    "Plans[].CapDepth": SettingKey("number", "the capacity of the ceiling's bucket"),
    "Plans[].CapSlack": SettingKey("number", "how far the ceiling may be exceeded"),
    "Plans[].ExcessCost": SettingKey("number", "how certain a local share must be before it spends in advance"),
    "Plans[].HardRate": SettingKey("number", "the refill rate of the ceiling"),
    "Plans[].MostAtOnce": SettingKey("number", "the capacity of the quota's bucket"),
    "Plans[].Name": SettingKey("text", "the plan that a request names"),
    "Plans[].Price": SettingKey("number", "which quotas the shared counter counts first", required=False),
    "Plans[].Refill": SettingKey("number", "the refill rate of the quota"),
    "Report.Fields": _unused("load reports change no decision: they are older than most queues"),
    "Report.How": _unused("load reports change no decision: they are older than most queues"),
    "Rules.AskWithinUs": _unused("a list that must be requested is subscribed to from the start"),
    "Rules.ColdFrom": SettingKey(
        "number", "share of its capacity that a worker has right after its start", maximum=1.0
    ),
    "Rules.DrainGraceUs": SettingKey(
        "number", "how long requests may still be written after a worker starts to drain", required=False
    ),
    "Rules.FallUs": SettingKey("number", "the time span of the slow-start limit"),
    "Rules.GraceToAnswerUs": _unused("requests end before the timeout of their clients"),
    "Rules.OverloadFactor": SettingKey(
        "number", "the load that a worker in slow start can take, over its capacity", minimum=1.0
    ),
    "Rules.RampTimeUs": SettingKey("number", "the duration of slow start"),
    "TickUs": SettingKey("number", "how long before its deadline a request is ended"),
    "Tiers": _unused("there is one tier"),
    "WeightKind": _unused("sizes are used relative to the mean of the list, whatever their unit"),
    "Workload": _unused("a name only"),
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


LIST_KEYS = tuple(dict.fromkeys(key.partition("[].")[0] for key in SETTING_KEYS if "[]." in key))


def iter_settings(settings: Mapping[str, Any], prefix: str = "") -> Iterator[tuple[str, str, Any]]:
    """Yield each setting: its key as in `SETTING_KEYS`, its path with list indices, and its value."""
    for name, value in settings.items():
        key = f"{prefix}{name}"
        if isinstance(value, Mapping):
            yield from ((leaf_key, f"{name}.{path}", leaf) for leaf_key, path, leaf in iter_settings(value, f"{key}."))
        elif isinstance(value, list) and value and all(isinstance(item, Mapping) for item in value):
            for index, item in enumerate(value):
                yield from (
                    (leaf_key, f"{name}[{index}].{path}", leaf)
                    for leaf_key, path, leaf in iter_settings(item, f"{key}[].")
                )
        else:
            yield key, name, value


def check(settings: Mapping[str, Any]) -> None:
    """Raise ValueError for the first invalid value or missing key, with its name."""
    for name in LIST_KEYS:
        entries = settings.get(name, [])
        if not isinstance(entries, list) or not all(isinstance(item, Mapping) for item in entries):
            raise ValueError(f"{name}: must be a list of objects, not {entries!r}")
    seen: Counter[str] = Counter()
    for key, path, value in iter_settings(settings):
        seen[key] += 1
        setting_key = SETTING_KEYS.get(key)
        # Any value of an unused key is valid.
        if setting_key is not None and setting_key.used and (problem := setting_key.problem(value)):
            raise ValueError(f"{path}: {problem}, not {value!r}")
    for key, setting_key in SETTING_KEYS.items():
        list_key, separator, _ = key.partition("[].")
        expected = len(settings.get(list_key, ())) if separator else 1
        if setting_key.required and seen[key] < expected:
            raise ValueError(f"{key}: missing")
