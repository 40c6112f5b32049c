"""The verb `settings` of the command line: lists each setting of a gatekeeper's file with the decision that uses it."""

from __future__ import annotations

import json
import sys
from collections.abc import Mapping
from typing import Any

from micagate.settings_keys import SETTING_KEYS, iter_settings
from oliveloft.config.loading import ConfigError, parse, read

UNKNOWN = "not known here: nothing follows it"


def setting_rows(settings: Mapping[str, Any]) -> list[dict[str, Any]]:
    """Return a row per setting: its path and value, whether it is used, and what follows it or why nothing does."""
    return [
        {
            "setting": path,
            "value": value,
            "used": key in SETTING_KEYS and SETTING_KEYS[key].used,
            "follows": SETTING_KEYS[key].effect if key in SETTING_KEYS else UNKNOWN,
        }
        for key, path, value in iter_settings(settings)
    ]


def main(path: str, as_json: bool) -> int:
    """Print the settings of a file; return 2, after printing the error, if the file cannot be used."""
    try:
        env = {"PROXY_CONFIG": path, "PROXY_LISTEN": "127.0.0.1:0", "PROXY_DISCOVERY": "127.0.0.1:1"}
        raw = read(env)
        parse(raw, env)
        settings = setting_rows(raw["settings"])
    except ConfigError as error:
        print(f"oliveloft: {error}", file=sys.stderr)
        return 2
    if as_json:
        print(json.dumps(settings))
        return 0
    width = max(len(row["setting"]) for row in settings)
    for row in settings:
        value = json.dumps(row["value"])
        print(f"{row['setting']:{width}}  {value:14}  {'' if row['used'] else 'unused: '}{row['follows']}")
    return 0
