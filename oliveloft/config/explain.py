"""What a gatekeeper's file states: each setting with the decision that follows it, or why none does."""

from __future__ import annotations

import json
import sys
from collections.abc import Mapping
from typing import Any

from micagate.settings_keys import FACTS, stated
from oliveloft.config.loading import ConfigError, parse, read

UNKNOWN = "not known here: nothing follows it"


def rows(facts: Mapping[str, Any]) -> list[dict[str, Any]]:
    """One for each setting that is stated: where it stands, its value, whether it is used, and what follows it."""
    return [
        {
            "setting": where,
            "value": value,
            "used": key in FACTS and FACTS[key].used,
            "follows": FACTS[key].follows if key in FACTS else UNKNOWN,
        }
        for key, where, value in stated(facts)
    ]


def main(path: str, as_json: bool) -> int:
    """Print them; 2 where the file cannot be used, with what is wrong."""
    try:
        env = {"PROXY_CONFIG": path, "PROXY_LISTEN": "127.0.0.1:0", "PROXY_DISCOVERY": "127.0.0.1:1"}
        raw = read(env)
        parse(raw, env)
        told = rows(raw["settings"])
    except ConfigError as error:
        print(f"oliveloft: {error}", file=sys.stderr)
        return 2
    if as_json:
        print(json.dumps(told))
        return 0
    wide = max(len(row["setting"]) for row in told)
    for row in told:
        shown = json.dumps(row["value"])
        print(f"{row['setting']:{wide}}  {shown:14}  {'' if row['used'] else 'unused: '}{row['follows']}")
    return 0
