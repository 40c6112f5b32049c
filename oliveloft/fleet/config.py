"""Loads and checks `deploy/fleet.toml`: the members of the cluster and where each stores its records."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, fields
from pathlib import Path
from typing import Any, TypeVar

from micagate.membership.members import Terms
from micagate.membership.messages import MAX_NAME_LENGTH
from micagate.recovery.stages import Limits
from oliveloft.config.loading import ConfigError, parse_address
from oliveloft.planners.config import ConfigTable, Tls, parse_access

MAX_MEMBERS = 1000
T = TypeVar("T", Terms, Limits)


@dataclass(frozen=True, slots=True)
class FleetConfig:
    """A checked configuration; times are seconds.

    `listen` has the members that listen at another address than the one that peers connect to. `folder` is where
    records are stored; empty: nowhere.
    """

    members: dict[str, tuple[str, int]]
    listen: dict[str, tuple[str, int]]
    folder: str
    times: Terms
    limits: Limits
    secret: bytes
    tls: Tls | None


def load(path: str) -> FleetConfig:
    """Load a configuration file. ConfigError where it cannot be read or is invalid."""
    try:
        with open(path, "rb") as file:
            raw = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise ConfigError(f"{path}: {error}") from error
    return parse(raw, Path(path).parent)


def parse(raw: Mapping[str, Any], folder: Path) -> FleetConfig:
    """Check a parsed configuration; paths in it are relative to `folder`. ConfigError where it is invalid."""
    top = ConfigTable("fleet.toml", raw)
    members = _addresses("members", top.take("members", dict))
    if not members:
        raise ConfigError("members: must name at least one member")
    if len(members) > MAX_MEMBERS:
        raise ConfigError(f"members: {len(members)}, at most {MAX_MEMBERS}")
    owners: dict[tuple[str, int], str] = {}
    for name, endpoint in members.items():
        if endpoint in owners:
            raise ConfigError(
                f"members.{name}: {endpoint[0]}:{endpoint[1]} is already the address of {owners[endpoint]}"
            )
        owners[endpoint] = name
    listen = _addresses("listen", top.take("listen", dict, {}))
    for name in listen:
        if name not in members:
            raise ConfigError(f"listen.{name}: is not one of the members")
    memory = ConfigTable("memory", top.take("memory", dict, {}))
    memory_folder = memory.take("folder", str, "")
    memory.reject_unknown_keys()
    times = _numbers(ConfigTable("times", top.take("times", dict, {})), Terms)
    limits = _numbers(ConfigTable("recovery", top.take("recovery", dict, {})), Limits)
    secret, tls = parse_access(ConfigTable("access", top.take("access", dict, {})), folder)
    top.reject_unknown_keys()
    return FleetConfig(
        members, listen, str(folder / memory_folder) if memory_folder else "", times, limits, secret, tls
    )


def _addresses(table: str, raw: Mapping[str, Any]) -> dict[str, tuple[str, int]]:
    addresses = {}
    for name, raw_address in raw.items():
        if not 0 < len(name) <= MAX_NAME_LENGTH:
            raise ConfigError(f"{table}.{name[:64]}: a name has 1 to {MAX_NAME_LENGTH} characters")
        try:
            addresses[name] = parse_address(raw_address)
        except ValueError as error:
            raise ConfigError(f"{table}.{name}: {error}") from error
    return addresses


def _numbers(table: ConfigTable, kind: type[T]) -> T:
    values: dict[str, Any] = {}
    for field in fields(kind):
        values[field.name] = table.take(field.name, int if field.name == "full" else (int, float), field.default)
    table.reject_unknown_keys()
    try:
        return kind(**values)
    except ValueError as error:
        raise ConfigError(f"{table.name}.{error}") from error
