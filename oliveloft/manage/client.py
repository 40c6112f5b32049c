"""The verb `manage` of the command line: sends one operator's call to a gatekeeper, for people and scripts."""

from __future__ import annotations

import json
import os
import socket
import sys
import time

from oliveloft.config.loading import ConfigError, parse_address, read
from oliveloft.manage import protocol

EXIT_OK, EXIT_FAILED, EXIT_USAGE, EXIT_NO_ANSWER = 0, 1, 2, 3
MAX_ANSWER_BYTES = 4096


def send_call(server_address: tuple[str, int], line: str, timeout_seconds: float) -> str:
    """Send a call and return the answer; raise OSError or TimeoutError if there is none in time."""
    deadline = time.monotonic() + timeout_seconds
    with socket.create_connection(server_address, timeout=timeout_seconds) as sock:
        sock.sendall(line.encode() + b"\n")
        answer = b""
        while b"\n" not in answer and len(answer) < MAX_ANSWER_BYTES:
            sock.settimeout(max(0.001, deadline - time.monotonic()))
            if not (data := sock.recv(MAX_ANSWER_BYTES)):
                break
            answer += data
    return answer.decode("ascii", "replace").strip()


def resolve_address(address: str | None) -> tuple[str, int]:
    """Return the address that is given, or else that of PROXY_MANAGEMENT or of the file that PROXY_CONFIG names."""
    if address is None:
        address = os.environ.get("PROXY_MANAGEMENT")
    if address is None and os.environ.get("PROXY_CONFIG"):
        address = read(os.environ).get("management")
    if address is None:
        raise ConfigError("--at: no address; neither PROXY_MANAGEMENT nor PROXY_CONFIG names one")
    try:
        return parse_address(address)
    except ValueError as error:
        raise ConfigError(f"--at: {error}") from error


def main(command: str, worker: str | None, address: str | None, timeout_seconds: float, as_json: bool) -> int:
    """Make a call and print its answer; return the exit status."""
    line = command if worker is None else f"{command} {worker}"
    try:
        call = protocol.parse(line.encode())
        server_address = resolve_address(address)
    except (protocol.InvalidCall, ConfigError) as error:
        print(f"oliveloft: {error}", file=sys.stderr)
        return EXIT_USAGE
    started_at = time.monotonic()
    try:
        answer = send_call(server_address, line, timeout_seconds)
    except OSError as error:
        answer, succeeded, code = f"no answer: {error}", False, EXIT_NO_ANSWER
    else:
        succeeded = answer == "ok" or answer.startswith("ok ")
        code = EXIT_OK if succeeded else EXIT_FAILED if answer.startswith("fail") else EXIT_NO_ANSWER
        answer = answer or "no answer: closed"
    if as_json:
        print(
            json.dumps(
                {
                    "call": call.command,
                    "worker": call.worker,
                    "at": f"{server_address[0]}:{server_address[1]}",
                    "ok": succeeded,
                    "answer": answer,
                    "ms": round(1000 * (time.monotonic() - started_at), 1),
                }
            )
        )
    else:
        print(answer)
    return code
