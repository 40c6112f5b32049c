"""Loads a gatekeeper's configuration: the JSON file named by PROXY_CONFIG, checked key by key.

Environment variables supply the addresses and the name where the file leaves them out.
"""

from __future__ import annotations

import json
import os
import resource
import socket
import sys
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

from micagate.adapter import parse_settings as read_settings
from micagate.bodies import buffering
from micagate.interface import Settings

MICROSECONDS_PER_SECOND = 1_000_000
BYTES_PER_MB = 1024 * 1024
BASE_MEMORY_MB = 48  # needed beside what connections hold, with some for what they leave unused in the heap
# Connections may hold this share of the memory limit less BASE_MEMORY_MB, and with little memory another share of what
# the process alone leaves.
BUFFER_SHARE, MIN_BUFFER_MB = 0.75, 0.75
IDLE_MEMORY_MB, LOW_BUFFER_SHARE = 30, 0.33
# With little memory there are fewer connections than descriptors: what the limit leaves to them, by what each takes
# beside the bytes that it holds.
PROCESS_MEMORY_MB, CONNECTION_BYTES, MIN_CONNECTIONS = 27, 7 * 1024, 64
# Customers' accounts may take this share of what the memory limit leaves to anything but the process.
ACCOUNT_SHARE, ACCOUNT_BYTES, MIN_ACCOUNTS = 0.25, 1280, 256


class ConfigError(Exception):
    """Raised for a configuration that cannot be used; the message names the key."""


@dataclass(frozen=True, slots=True)
class Config:
    """A checked configuration; times are in seconds, sizes in bytes."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    counter: tuple[str, int] | None
    seed: int
    max_descriptors: int
    known: dict[str, Any] | None  # a worker list to start with, in the form of a discovery answer; not checked yet
    settings: Settings
    drain_grace: float
    connect_timeout: float
    idle_timeout: float
    max_units: float  # of one request
    management: tuple[str, int] | None = None  # the operators' address
    max_body_bytes: int = buffering.MAX_BODY_BYTES  # of a request or a response
    max_buffered_bytes: int = buffering.MAX_BUFFERED_BYTES  # of all connections together
    max_connections: int = sys.maxsize  # of clients and to workers, for which there is memory
    accept_fd: int | None = None  # the inherited socket that listens for clients, if there is one


def parse_address(text: object, min_port: int = 1) -> tuple[str, int]:
    """Parse `host:port`; raise ValueError if it is malformed. Port 0, if allowed, lets the system pick one."""
    if not isinstance(text, str):
        raise ValueError(f"{text!r} is not host:port")
    host, colon, port = text.rpartition(":")
    if not host or not colon or not port.isdecimal() or not min_port <= int(port) < 65536:
        raise ValueError(f"{text!r} is not host:port")
    return host.strip("[]"), int(port)


def load(env: Mapping[str, str]) -> Config:
    """Load and check the configuration that the environment names."""
    return parse(read(env), env)


def read(env: Mapping[str, str]) -> dict[str, Any]:
    """Read the JSON object that the environment names, without checking it."""
    path = env.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG: not set")
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
    except (OSError, ValueError) as error:
        raise ConfigError(f"PROXY_CONFIG: cannot read {path}: {error}") from error
    if not isinstance(raw, dict):
        raise ConfigError(f"PROXY_CONFIG: {path} does not hold a JSON object")
    return raw


def parse(raw: dict[str, Any], env: Mapping[str, str]) -> Config:
    """Check a configuration; the environment supplies addresses and the name where the JSON object has none."""
    settings_json = raw.get("settings")
    if not isinstance(settings_json, dict):
        raise ConfigError("settings: missing or no object")
    try:
        settings = read_settings(settings_json)
        settings = replace(settings, max_accounts=min(settings.max_accounts, _max_accounts(raw)))
        drain_grace = settings_json["Rules"]["DrainGraceUs"] / MICROSECONDS_PER_SECOND
        connect_timeout, idle_timeout = (
            settings_json["Caps"][key] / MICROSECONDS_PER_SECOND for key in ("ConnectTimeoutUs", "IdleCloseUs")
        )
        max_units = float(settings_json["FamilyInfo"].get("UnitsTop", "inf"))
    except KeyError as error:
        raise ConfigError(f"settings: missing key {error}") from error
    except (TypeError, ValueError, AttributeError, IndexError) as error:
        raise ConfigError(f"settings: {error}") from error
    known = raw.get("known")
    if known is not None and not isinstance(known, dict):
        raise ConfigError("known: not a JSON object")
    try:
        seed = int(str(raw.get("seed", "0")), 16)
    except ValueError as error:
        raise ConfigError(f"seed: {raw['seed']!r} is not a hexadecimal number") from error
    counter = None
    if "counter" in raw:
        counter = _address(raw, env, "counter", "", 1)
    management = None
    if "management" in raw or env.get("PROXY_MANAGEMENT"):
        management = _address(raw, env, "management", "PROXY_MANAGEMENT", 0)
    return Config(
        management=management,
        accept_fd=_accept_fd(env),
        max_body_bytes=_megabytes(raw, "body_mb", buffering.MAX_BODY_BYTES / BYTES_PER_MB),
        max_buffered_bytes=_max_buffered_bytes(raw),
        max_connections=_max_connections(raw),
        name=str(raw.get("name") or env.get("PROXY_NAME") or "oliveloft"),
        listen=_address(raw, env, "listen", "PROXY_LISTEN", 0),
        discovery=_address(raw, env, "discovery", "PROXY_DISCOVERY", 1),
        counter=counter,
        seed=seed,
        max_descriptors=_max_descriptors(raw),
        known=known,
        settings=settings,
        drain_grace=drain_grace,
        connect_timeout=connect_timeout,
        idle_timeout=idle_timeout,
        max_units=max_units,
    )


def _address(raw: dict[str, Any], env: Mapping[str, str], key: str, variable: str, min_port: int) -> tuple[str, int]:
    try:
        return parse_address(raw.get(key, env.get(variable)), min_port)
    except ValueError as error:
        raise ConfigError(f"{key}: {error}") from error


def _accept_fd(env: Mapping[str, str]) -> int | None:
    """Return the inherited listening socket that PROXY_ACCEPT_FD names, if any; raise ConfigError if it is unusable."""
    text = env.get("PROXY_ACCEPT_FD")
    if not text:
        return None
    if not text.isdecimal():
        raise ConfigError(f"PROXY_ACCEPT_FD: {text!r} is not a file descriptor")
    try:
        with socket.socket(fileno=os.dup(int(text))) as inherited:
            listens = inherited.type == socket.SOCK_STREAM and inherited.getsockopt(
                socket.SOL_SOCKET, socket.SO_ACCEPTCONN
            )
    except OSError as error:
        raise ConfigError(f"PROXY_ACCEPT_FD: {text}: {error.strerror or error}") from error
    if not listens:
        raise ConfigError(f"PROXY_ACCEPT_FD: {text} is not a listening socket")
    return int(text)


def _megabytes(raw: dict[str, Any], key: str, default: float) -> int:
    """Return a limit that is set in MB, in bytes."""
    limits = raw.get("limits", {})
    value = limits.get(key, default) if isinstance(limits, dict) else default
    if not isinstance(value, int | float) or isinstance(value, bool) or not 0.0625 <= value < 1e6:
        raise ConfigError(f"limits.{key}: must be a number of MB from 0.0625, not {value!r}")
    return int(value * BYTES_PER_MB)


def _max_buffered_bytes(raw: dict[str, Any]) -> int:
    """Return how much memory connections may hold: a share of what the memory limit leaves, unless it is set."""
    limits = raw.get("limits", {})
    if isinstance(limits, dict) and "held_mb" in limits:
        return _megabytes(raw, "held_mb", buffering.MAX_BUFFERED_BYTES / BYTES_PER_MB)
    memory_mb = _megabytes(raw, "memory_mb", 192.0) / BYTES_PER_MB
    share_mb = max(BUFFER_SHARE * (memory_mb - BASE_MEMORY_MB), LOW_BUFFER_SHARE * (memory_mb - IDLE_MEMORY_MB))
    return int(max(MIN_BUFFER_MB, min(buffering.MAX_BUFFERED_BYTES / BYTES_PER_MB, share_mb)) * BYTES_PER_MB)


def _max_connections(raw: dict[str, Any]) -> int:
    """Return for how many connections there is memory, beside the process and what they may hold."""
    memory_bytes = _megabytes(raw, "memory_mb", 192.0) - PROCESS_MEMORY_MB * BYTES_PER_MB - _max_buffered_bytes(raw)
    return max(MIN_CONNECTIONS, memory_bytes // CONNECTION_BYTES)


def _max_accounts(raw: dict[str, Any]) -> int:
    """Return for how many customers' accounts there is memory."""
    memory_bytes = _megabytes(raw, "memory_mb", 192.0) - PROCESS_MEMORY_MB * BYTES_PER_MB
    return max(MIN_ACCOUNTS, int(ACCOUNT_SHARE * memory_bytes) // ACCOUNT_BYTES)


def _max_descriptors(raw: dict[str, Any]) -> int:
    """Return how many descriptors the process may hold: the limit that is set, or the system's if that is lower."""
    limits = raw.get("limits", {})
    count = limits.get("sockets", 1024) if isinstance(limits, dict) else None
    if not isinstance(count, int) or isinstance(count, bool) or count < 32:
        raise ConfigError(f"limits.sockets: must be a whole number from 32, not {count!r}")
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return count if soft == resource.RLIM_INFINITY else min(count, soft)
