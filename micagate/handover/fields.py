"""An object's fields as plain values by name, and back: what is not there keeps its value, what is unknown is left.

So an older and a newer version read each other's state as far as both have it. A value of another kind than the one
that it would replace is damage, and is named.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping
from typing import Any


class Damaged(Exception):
    """A state that cannot be restored; the text names the value."""


PLAIN = frozenset((float, int, str, type(None)))  # a yes or no is none: it has to stay one


def take(owner: object, fields: Mapping[str, str]) -> dict[str, Any]:
    """The attributes of `fields`, by written key: numbers, texts, and lists and mappings of them."""
    state = {name: getattr(owner, attribute) for name, attribute in fields.items()}
    for name, value in state.items():
        if type(value) not in PLAIN:
            state[name] = _plain(value)
    return state


def _plain(value: Any) -> Any:
    if isinstance(value, deque | list | tuple):
        return [_plain(each) for each in value]
    if isinstance(value, dict):
        return {key: _plain(each) for key, each in value.items()}
    return value


def put(owner: object, fields: Mapping[str, str], state: Mapping[str, Any]) -> None:
    """Set the attributes of `fields` from a state, by written key. Damaged where a value is no such thing."""
    for name, attribute in fields.items():
        if name in state:
            value, old = state[name], getattr(owner, attribute)
            # Most are plain numbers: asked for first, as 30,000 customers have a million of them.
            if type(value) in PLAIN and type(old) in PLAIN and value == value:
                setattr(owner, attribute, value)
            else:
                setattr(owner, attribute, _as(value, old, f"{type(owner).__name__}.{name}"))


def _as(value: Any, old: Any, what: str) -> Any:
    """A value in the form of the one that it replaces."""
    if isinstance(old, deque):
        return deque((_item(each, what) for each in _list(value, what)), old.maxlen)
    if isinstance(old, list):
        return [_item(each, what) for each in _list(value, what)]
    if isinstance(old, dict):
        if not isinstance(value, dict):
            raise Damaged(f"{what} is no mapping")
        return {key: _item(each, what) for key, each in value.items()}
    if isinstance(old, bool):
        if not isinstance(value, bool):
            raise Damaged(f"{what} is no yes or no")
        return value
    return _item(value, what)


def _list(value: Any, what: str) -> list[Any]:
    if not isinstance(value, list):
        raise Damaged(f"{what} is no list")
    return value


def _item(value: Any, what: str) -> Any:
    if isinstance(value, list):
        return tuple(_item(each, what) for each in value)
    if value is None or isinstance(value, str | bool | int) or isinstance(value, float) and not math.isnan(value):
        return value
    raise Damaged(f"{what} holds {value!r}")
