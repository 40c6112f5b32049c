"""What one gatekeeper is told at its start: the JSON file named by PROXY_CONFIG, checked key by key."""

from __future__ import annotations

import json
import os
import resource
import socket
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from micagate.adapter import settings as read_settings
from micagate.bodies import buffering
from micagate.interface import Settings

MICRO = 1_000_000
MEGA = 1024 * 1024
BASE = 48  # MB that the process needs beside the bodies it holds: itself, and their windows
HELD_SHARE, LEAST_HELD = 0.75, 1  # of the rest; MB


class ConfigError(Exception):
    """A configuration that cannot be used; the text names the key."""


@dataclass(frozen=True, slots=True)
class Config:
    """A checked configuration; times are seconds."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    counter: tuple[str, int] | None
    seed: int
    sockets: int
    known: dict[str, Any] | None
    settings: Settings
    drain_grace: float
    connect_timeout: float
    idle_close: float
    units_top: float
    management: tuple[str, int] | None = None  # the operators' address
    longest: int = buffering.LONGEST  # bytes of a body, of a request or of an answer
    held: int = buffering.HELD  # bytes of long bodies that are held at once, all together
    accept_fd: int | None = None  # the clients' listening socket, where whoever started the process holds it


def address(text: object, least: int = 1) -> tuple[str, int]:
    """Host and port of `host:port`; ValueError where it is none. Port 0 lets the system pick one."""
    if not isinstance(text, str):
        raise ValueError(f"{text!r} is not host:port")
    host, colon, port = text.rpartition(":")
    if not host or not colon or not port.isdecimal() or not least <= int(port) < 65536:
        raise ValueError(f"{text!r} is not host:port")
    return host.strip("[]"), int(port)


def load(env: Mapping[str, str]) -> Config:
    """The configuration that the environment names."""
    return parse(read(env), env)


def read(env: Mapping[str, str]) -> dict[str, Any]:
    """The JSON object that the environment names, not checked yet."""
    path = env.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG: not set")
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
    except (OSError, ValueError) as error:
        raise ConfigError(f"PROXY_CONFIG: cannot read {path}: {error}") from error
    if not isinstance(raw, dict):
        raise ConfigError(f"PROXY_CONFIG: {path} holds no JSON object")
    return raw


def parse(raw: dict[str, Any], env: Mapping[str, str]) -> Config:
    """A checked configuration from its JSON object; the environment fills in what that leaves out."""
    facts = raw.get("settings")
    if not isinstance(facts, dict):
        raise ConfigError("settings: missing or no object")
    try:
        settings = read_settings(facts)
        grace = facts["Rules"]["DrainGraceUs"] / MICRO
        connect, idle = (facts["Caps"][key] / MICRO for key in ("ConnectTimeoutUs", "IdleCloseUs"))
        units_top = float(facts["FamilyInfo"].get("UnitsTop", "inf"))
    except KeyError as error:
        raise ConfigError(f"settings: missing key {error}") from error
    except (TypeError, ValueError, AttributeError, IndexError) as error:
        raise ConfigError(f"settings: {error}") from error
    known = raw.get("known")
    if known is not None and not isinstance(known, dict):
        raise ConfigError("known: no object")
    try:
        seed = int(str(raw.get("seed", "0")), 16)
    except ValueError as error:
        raise ConfigError(f"seed: {raw['seed']!r} is no hexadecimal number") from error
    counter = None
    if "counter" in raw:
        counter = _address(raw, env, "counter", "", 1)
    management = None
    if "management" in raw or env.get("PROXY_MANAGEMENT"):
        management = _address(raw, env, "management", "PROXY_MANAGEMENT", 0)
    return Config(
        management=management,
        accept_fd=_accept_fd(env),
        longest=_megabytes(raw, "body_mb", buffering.LONGEST / MEGA),
        held=_held(raw),
        name=str(raw.get("name") or env.get("PROXY_NAME") or "oliveloft"),
        listen=_address(raw, env, "listen", "PROXY_LISTEN", 0),
        discovery=_address(raw, env, "discovery", "PROXY_DISCOVERY", 1),
        counter=counter,
        seed=seed,
        sockets=_sockets(raw),
        known=known,
        settings=settings,
        drain_grace=grace,
        connect_timeout=connect,
        idle_close=idle,
        units_top=units_top,
    )


def _address(raw: dict[str, Any], env: Mapping[str, str], key: str, variable: str, least: int) -> tuple[str, int]:
    try:
        return address(raw.get(key, env.get(variable)), least)
    except ValueError as error:
        raise ConfigError(f"{key}: {error}") from error


def _accept_fd(env: Mapping[str, str]) -> int | None:
    """The inherited listening socket that the environment names; ConfigError where it is none."""
    text = env.get("PROXY_ACCEPT_FD")
    if not text:
        return None
    if not text.isdecimal():
        raise ConfigError(f"PROXY_ACCEPT_FD: {text!r} is no descriptor")
    try:
        with socket.socket(fileno=os.dup(int(text))) as held:
            listens = held.type == socket.SOCK_STREAM and held.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    except OSError as error:
        raise ConfigError(f"PROXY_ACCEPT_FD: {text}: {error.strerror or error}") from error
    if not listens:
        raise ConfigError(f"PROXY_ACCEPT_FD: {text} is no listening socket")
    return int(text)


def _megabytes(raw: dict[str, Any], key: str, usual: float) -> int:
    """A limit in MB, as bytes."""
    limits = raw.get("limits", {})
    told = limits.get(key, usual) if isinstance(limits, dict) else usual
    if not isinstance(told, int | float) or isinstance(told, bool) or not 0.0625 <= told < 1e6:
        raise ConfigError(f"limits.{key}: must be a number of MB from 0.0625, not {told!r}")
    return int(told * MEGA)


def _held(raw: dict[str, Any]) -> int:
    """What long bodies may hold: of the memory that the limit leaves, unless it is set."""
    limits = raw.get("limits", {})
    if isinstance(limits, dict) and "held_mb" in limits:
        return _megabytes(raw, "held_mb", buffering.HELD / MEGA)
    memory = _megabytes(raw, "memory_mb", 192.0) / MEGA
    return int(max(LEAST_HELD, min(buffering.HELD / MEGA, HELD_SHARE * (memory - BASE))) * MEGA)


def _sockets(raw: dict[str, Any]) -> int:
    """How many descriptors the process may hold: the limit told, or the system's where that is lower."""
    limits = raw.get("limits", {})
    told = limits.get("sockets", 1024) if isinstance(limits, dict) else None
    if not isinstance(told, int) or isinstance(told, bool) or told < 32:
        raise ConfigError(f"limits.sockets: must be a whole number from 32, not {told!r}")
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return told if soft == resource.RLIM_INFINITY else min(told, soft)
