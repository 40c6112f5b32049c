"""Conversion between an object's attributes and a mapping of plain values by written key.

A missing key leaves the attribute as it is, and an unknown key is ignored, so that an older and a newer version can
read each other's state as far as both have it. A value of another type than the one it would replace is an error that
names the field.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping
from typing import Any


class MalformedState(Exception):
    """Raised for a state that cannot be restored; the message names the field."""


PLAIN_TYPES = frozenset((float, int, str, type(None)))  # without bool: a bool may only be replaced by a bool


def dump_fields(owner: object, fields: Mapping[str, str]) -> dict[str, Any]:
    """Return the attributes of `fields` by written key, with containers as plain lists and dicts."""
    state = {name: getattr(owner, attribute) for name, attribute in fields.items()}
    for name, value in state.items():
        if type(value) not in PLAIN_TYPES:
            state[name] = _to_plain(value)
    return state


def _to_plain(value: Any) -> Any:
    if isinstance(value, deque | list | tuple):
        return [_to_plain(each) for each in value]
    if isinstance(value, dict):
        return {key: _to_plain(each) for key, each in value.items()}
    return value


def load_fields(owner: object, fields: Mapping[str, str], state: Mapping[str, Any]) -> None:
    """Set the attributes of `fields` from `state` by written key; raises MalformedState if a type is wrong."""
    for name, attribute in fields.items():
        if name in state:
            value, old = state[name], getattr(owner, attribute)
            # Fast path for plain values, without NaN: 30,000 customers have a million of them.
            if type(value) in PLAIN_TYPES and type(old) in PLAIN_TYPES and value == value:
                setattr(owner, attribute, value)
            else:
                setattr(owner, attribute, _convert(value, old, f"{type(owner).__name__}.{name}"))


def _convert(value: Any, old: Any, field: str) -> Any:
    """Return a value in the type of the one that it replaces."""
    if isinstance(old, deque):
        return deque((_checked_value(each, field) for each in _checked_list(value, field)), old.maxlen)
    if isinstance(old, list):
        return [_checked_value(each, field) for each in _checked_list(value, field)]
    if isinstance(old, dict):
        if not isinstance(value, dict):
            raise MalformedState(f"{field}: expected a mapping")
        return {key: _checked_value(each, field) for key, each in value.items()}
    if isinstance(old, bool):
        if not isinstance(value, bool):
            raise MalformedState(f"{field}: expected a boolean")
        return value
    return _checked_value(value, field)


def _checked_list(value: Any, field: str) -> list[Any]:
    if not isinstance(value, list):
        raise MalformedState(f"{field}: expected a list")
    return value


def _checked_value(value: Any, field: str) -> Any:
    if isinstance(value, list):
        return tuple(_checked_value(each, field) for each in value)
    if value is None or isinstance(value, str | bool | int) or isinstance(value, float) and not math.isnan(value):
        return value
    raise MalformedState(f"{field}: unexpected value {value!r}")
