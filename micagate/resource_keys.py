"""What planners tell of things, kept by thing and session, and the names that things go by. Decides nothing."""

from __future__ import annotations

Told = dict[str, dict[int, tuple[float, ...]]]  # by thing and session; the latest told is the last


def put(table: Told, key: str, session: int, *values: float) -> None:
    """Set what a session tells of a thing, as the latest of it; where all is 0, or nothing, forget it."""
    held = table.setdefault(key, {})
    held.pop(session, None)
    if any(values):
        held[session] = values
    if not held:
        del table[key]


def customer_key(plan: str, customer: str) -> str:
    """The thing that a customer's quota and ceiling are."""
    return f"c/{plan}/{customer}"


def worker_key(worker: str) -> str:
    """The thing that a cold worker's room is."""
    return f"w/{worker}"


def customer_of(key: str) -> tuple[str, str] | None:
    """The plan and the customer whose quota and ceiling a thing is; None where it is another thing."""
    kind, _, rest = key.partition("/")
    plan, _, customer = rest.partition("/")
    return (plan, customer) if kind == "c" else None
