"""Loads and checks `deploy/planners.toml`, the configuration of planners and forwarders. Unknown keys are errors."""

from __future__ import annotations

import difflib
import ssl
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, fields
from pathlib import Path
from typing import Any

from micagate.planning.terms import Terms
from oliveloft.config.loading import ConfigError, parse_address

MAX_FORWARDERS = 10_000
MIN_SECRET_BYTES = 16


@dataclass(frozen=True, slots=True)
class Tls:
    """Paths of this side's certificate, its key, and the authority that must have signed the peer's certificate."""

    certificate: str
    key: str
    authority: str

    def server(self) -> ssl.SSLContext:
        """Return a context that accepts only peers with a certificate of the authority."""
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        return self._load_certificates(context)

    def client(self) -> ssl.SSLContext:
        """Return a context for the connecting side. Host names are not checked: the authority alone decides access."""
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        context.check_hostname = False
        return self._load_certificates(context)

    def _load_certificates(self, context: ssl.SSLContext) -> ssl.SSLContext:
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        context.verify_mode = ssl.CERT_REQUIRED
        context.load_verify_locations(self.authority)
        context.load_cert_chain(self.certificate, self.key)
        return context


@dataclass(frozen=True, slots=True)
class PlannersConfig:
    """A checked configuration; times are seconds.

    `forwarders` is their number, `planners` maps names to addresses, `session` is the lifetime of a planner's store
    lease, and `paces` has planners share out the capacity of workers.
    """

    terms: Terms
    forwarders: int
    planners: dict[str, tuple[str, int]]
    embedded: bool
    endpoints: tuple[str, ...]
    prefix: str
    session: float
    secret: bytes
    tls: Tls | None
    paces: bool = False


class ConfigTable:
    """A table of a configuration file, whose keys are taken one by one; remaining keys are an error."""

    def __init__(self, name: str, raw: object) -> None:
        if not isinstance(raw, dict):
            raise ConfigError(f"{name}: must be a table")
        self.name, self._raw, self._known = name, dict(raw), set[str]()

    def take(self, key: str, kind: type | tuple[type, ...], default: Any = None) -> Any:
        """Return a key's value, or the default; ConfigError where it has the wrong type or is missing."""
        self._known.add(key)
        if key not in self._raw:
            if default is None:
                raise ConfigError(f"{self.name}.{key}: missing")
            return default
        value = self._raw.pop(key)
        if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
            kinds = kind if isinstance(kind, tuple) else (kind,)
            raise ConfigError(f"{self.name}.{key}: must be {' or '.join(k.__name__ for k in kinds)}, " f"not {value!r}")
        return value

    def reject_unknown_keys(self) -> None:
        """Raise ConfigError if a key was not taken, with the closest known key as a hint."""
        for key in self._raw:
            similar = difflib.get_close_matches(key, self._known, 1)
            hint = f" (is {similar[0]} meant?)" if similar else ""
            raise ConfigError(f"{self.name}.{key}: unknown{hint}")


def load(path: str) -> PlannersConfig:
    """Load a configuration file. ConfigError where it cannot be read or is invalid."""
    try:
        with open(path, "rb") as file:
            raw = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise ConfigError(f"{path}: {error}") from error
    return parse(raw, Path(path).parent)


def parse(raw: Mapping[str, Any], folder: Path) -> PlannersConfig:
    """Check a parsed configuration; paths in it are relative to `folder`. ConfigError where it is invalid."""
    top = ConfigTable("planners.toml", raw)
    terms = _terms(ConfigTable("terms", top.take("terms", dict, {})))
    forwarders = ConfigTable("forwarders", top.take("forwarders", dict))
    count = forwarders.take("count", int)
    if not 1 <= count <= MAX_FORWARDERS:
        raise ConfigError(f"forwarders.count: must be from 1 to {MAX_FORWARDERS}, not {count}")
    forwarders.reject_unknown_keys()
    planners: dict[str, tuple[str, int]] = {}
    for name, raw_address in top.take("planners", dict).items():
        if not name or len(name) > 64 or "/" in name:
            raise ConfigError(f"planners.{name}: a name has 1 to 64 characters and no slash")
        try:
            planners[name] = parse_address(raw_address)
        except ValueError as error:
            raise ConfigError(f"planners.{name}: {error}") from error
    if not planners:
        raise ConfigError("planners: none named")
    store = ConfigTable("store", top.take("store", dict, {}))
    engine = store.take("engine", str, "embedded")
    if engine not in ("embedded", "etcd"):
        raise ConfigError(f"store.engine: must be embedded or etcd, not {engine!r}")
    endpoints = store.take("endpoints", list, ["http://127.0.0.1:2379"])
    if not endpoints or not all(str(e).startswith(("http://", "https://")) for e in endpoints):
        raise ConfigError(f"store.endpoints: must be http://host:port each, not {endpoints!r}")
    prefix = store.take("prefix", str, "/oliveloft/")
    if not prefix.startswith("/") or not prefix.endswith("/"):
        raise ConfigError(f"store.prefix: must begin and end with a slash, not {prefix!r}")
    session = store.take("session", (int, float), 2.0)
    if not 1 <= session <= 60:
        raise ConfigError(f"store.session: must be from 1 to 60 s, not {session!r}")
    store.reject_unknown_keys()
    workers = ConfigTable("workers", top.take("workers", dict, {}))
    paces = workers.take("paces", bool, False)
    workers.reject_unknown_keys()
    secret, tls = parse_access(ConfigTable("access", top.take("access", dict, {})), folder)
    top.reject_unknown_keys()
    return PlannersConfig(
        terms,
        count,
        planners,
        engine == "embedded",
        tuple(e.rstrip("/") for e in endpoints),
        prefix,
        float(session),
        secret,
        tls,
        paces,
    )


def _terms(table: ConfigTable) -> Terms:
    values = {}
    for field in fields(Terms):
        is_integer = field.name in ("entries", "shards")
        values[field.name] = table.take(field.name, int if is_integer else (int, float), field.default)
    table.reject_unknown_keys()
    try:
        return Terms(**values)
    except ValueError as error:
        raise ConfigError(f"terms.{error}") from error


def parse_access(table: ConfigTable, folder: Path) -> tuple[bytes, Tls | None]:
    """Check the table `access`; return the shared secret (empty: none) and the certificates."""
    file = table.take("secret_file", str, "")
    secret = b""
    if file:
        try:
            secret = (folder / file).read_bytes().strip()
        except OSError as error:
            raise ConfigError(f"access.secret_file: {error}") from error
        if len(secret) < MIN_SECRET_BYTES:
            raise ConfigError(f"access.secret_file: {file} must hold {MIN_SECRET_BYTES} bytes or more")
    names = [table.take(key, str, "") for key in ("certificate", "key", "authority")]
    is_open = table.take("open", bool, False)
    table.reject_unknown_keys()
    tls = None
    if any(names):
        if not all(names):
            raise ConfigError("access: certificate, key and authority go together")
        tls = Tls(*(str(folder / name) for name in names))
        try:
            tls.server()
        except (OSError, ssl.SSLError) as error:
            raise ConfigError(f"access: certificates: {error}") from error
    if not (secret or tls or is_open):
        raise ConfigError("access: name a secret_file or certificates, or, on a closed network, open = true")
    return secret, tls
