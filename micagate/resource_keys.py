"""Keys of the resources that planners divide, and a table of what planner sessions report of them."""

from __future__ import annotations

SessionValues = dict[str, dict[int, tuple[float, ...]]]  # by resource and session; the latest report is the last


def set_values(table: SessionValues, key: str, session: int, *values: float) -> None:
    """Set what a session reports of a resource, as its latest report; remove it if there are no values or all are 0."""
    by_session = table.setdefault(key, {})
    by_session.pop(session, None)
    if any(values):
        by_session[session] = values
    if not by_session:
        del table[key]


def customer_key(plan: str, customer: str) -> str:
    """Return the resource key of a customer's quota and ceiling."""
    return f"c/{plan}/{customer}"


def worker_key(worker: str) -> str:
    """Return the resource key of a worker's capacity."""
    return f"w/{worker}"


def parse_customer_key(key: str) -> tuple[str, str] | None:
    """Return the plan and customer of a resource key; None for a key of another kind."""
    kind, _, rest = key.partition("/")
    plan, _, customer = rest.partition("/")
    return (plan, customer) if kind == "c" else None
