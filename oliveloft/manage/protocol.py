"""The line protocol for operators' calls: parsing and formatting, without I/O.

A call is one line, `WORD` or `WORD ID`, in any case, ended by LF, CR LF or the end of the stream. The answer is one
line that begins with `ok` or `fail` and continues with an explanation.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

MAX_CALL_BYTES = 512
WORKER_ID = re.compile(rb"[!-~]{1,256}")
HEALTH, OFFLINE, ONLINE, LEAVE, JOIN = "HEALTH", "OFFLINE", "ONLINE", "LEAVE", "JOIN"
REFUSED = "REFUSED"  # reports the steps that an invariant check refused in this process, counted by reason
READ_ONLY_CALLS = frozenset((HEALTH, REFUSED))
TAKES_WORKER_ID = {HEALTH: False, OFFLINE: True, ONLINE: True, LEAVE: False, JOIN: False, REFUSED: False}


class InvalidCall(Exception):
    """Raised for a line that is not a valid call; the message, which the caller receives, says why."""


@dataclass(frozen=True, slots=True)
class Call:
    """A parsed call: the command in upper case, and the worker's id for the commands that take one."""

    command: str
    worker: str = ""


def parse(line: bytes) -> Call:
    """Parse a line into a call; raise `InvalidCall` if it is none."""
    parts = line.split()
    if not parts:
        raise InvalidCall("an empty line is no call; one of " + ", ".join(TAKES_WORKER_ID))
    command = parts[0].decode("ascii", "replace").upper()
    if command not in TAKES_WORKER_ID:
        raise InvalidCall(f"{command[:32]!r} is no call; one of " + ", ".join(TAKES_WORKER_ID))
    if not TAKES_WORKER_ID[command]:
        if len(parts) > 1:
            raise InvalidCall(f"{command} takes nothing more")
        return Call(command)
    if len(parts) != 2:
        raise InvalidCall(f"{command} takes one worker id")
    if not WORKER_ID.fullmatch(parts[1]):
        raise InvalidCall("the worker id is too long or not plain text")
    return Call(command, parts[1].decode("ascii"))


def format_answer(succeeded: bool, explanation: str) -> bytes:
    """Format the answer to a call as one line, whatever whitespace the explanation contains."""
    one_line = " ".join(explanation.split())
    return f"{'ok' if succeeded else 'fail'} {one_line}\n".encode("ascii", "replace")
