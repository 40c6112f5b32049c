"""Timeouts, retry intervals and backoff of the watch on discovery. All times are in seconds.

There are two kinds of discovery service. An agent that serves this process alone may be called often, as that loads
nobody else. A shared service, which all gatekeepers call, is retried at a random time within a backoff that doubles
(full jitter: Brooker, "Exponential Backoff And Jitter", 2015). The timeout of a shared service doubles as well when it
answers late, since a service that is called again before it has answered does work that nobody uses.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

# The platform counts a change as notified 6 s after a long poll stops being answered, or 2 s after its wait is over,
# whichever is later. This wait and this timeout leave 1.5 s to fetch the change by another call.
WAIT_SECONDS = 3.0  # the wait of a long poll: an unresponsive agent is noticed soon after
# The timeout of an answer, beyond the wait of its call: at first, and the maximum to which it doubles.
ANSWER_TIMEOUT_SECONDS, MAX_ANSWER_TIMEOUT_SECONDS = 1.5, 12.0
# An earlier call stays open while others are made, up to this time without a byte: a late answer is still valid.
OPEN_CALL_TIMEOUT_SECONDS = 12.0
# The pause before the next call to an agent that answers long polls at once with no change doubles from the first value
# to the second. The protocol requires the next call within 0.2 s.
FIRST_EMPTY_PAUSE_SECONDS, MAX_EMPTY_PAUSE_SECONDS = 0.01, 0.1

# An agent of this process alone. Changes that reach the agent after an outage count as notified at once, and a call
# made during the outage may never be answered. So further calls are made well within the shortest grace period of a
# drain (0.25 s).
PROBE_WAIT_SECONDS = 0.02  # the wait of a call while the agent does not answer
PROBE_INTERVAL_SECONDS = 0.12  # between calls while the agent does not answer
SNAPSHOT_INTERVAL_SECONDS = 0.5  # the same for calls for a snapshot, which are expensive
OWN_AGENT_BACKOFF_SECONDS, OWN_AGENT_DOUBLINGS = 0.05, 1
OWN_AGENT_OPEN_CALLS = 8  # calls that are open at the same time, at most
# Time that a new process waits for the first answer before it accepts clients: what the agent knows counts as notified
# from the start of the process. Nine in ten restarted processes have to be ready within 6 s of their start.
FIRST_ANSWER_SECONDS = 4.5

# A shared service, which all gatekeepers call.
SHARED_BACKOFF_SECONDS, SHARED_DOUBLINGS = 0.25, 2
CALL_COST_SECONDS = 0.15  # assumed time that the service takes for a call of one gatekeeper
# The maximum time over which the calls of all gatekeepers are spread, and the maximum to which the backoff doubles.
MAX_SPREAD_SECONDS, MAX_SHARED_BACKOFF_SECONDS = 3.0, 4.0
SHARED_UNANSWERED_BACKOFF_SECONDS = 1.0  # maximum of the first backoff after a long poll that is not answered
SHARED_OPEN_CALLS = 2  # calls that are open at the same time, at most


@dataclass(frozen=True, slots=True)
class WatchPolicy:
    """The times and limits of one watch."""

    own_agent: bool  # discovery serves this process alone
    first_call_seconds: float  # delay of the first call if a list is held already
    backoff_seconds: float  # upper bound of the random delay before the first retry
    max_backoff_seconds: float  # maximum to which that bound doubles
    open_calls: int  # calls that are open at the same time, at most

    def call_wait_seconds(self, answered: bool) -> float:
        """The wait that a call for changes asks for; `answered` says whether the call before was answered."""
        return PROBE_WAIT_SECONDS if self.own_agent and not answered else WAIT_SECONDS


def watch_policy(gatekeepers: int, number: int, has_list: bool) -> WatchPolicy:
    """The policy for a discovery service that this many gatekeepers call (1: an agent of this process alone).

    `number` is the index of this gatekeeper among them. The first calls are spread over at most `MAX_SPREAD_SECONDS`:
    later ones would be made after the changes that they ask for count as notified.
    """
    if gatekeepers <= 1:
        return WatchPolicy(
            True,
            0.0,
            OWN_AGENT_BACKOFF_SECONDS,
            OWN_AGENT_BACKOFF_SECONDS * 2**OWN_AGENT_DOUBLINGS,
            OWN_AGENT_OPEN_CALLS,
        )
    call_cost_seconds = min(CALL_COST_SECONDS, MAX_SPREAD_SECONDS / gatekeepers)
    backoff = max(SHARED_BACKOFF_SECONDS, call_cost_seconds * gatekeepers)
    max_backoff = max(backoff, min(MAX_SHARED_BACKOFF_SECONDS, backoff * 2**SHARED_DOUBLINGS))
    return WatchPolicy(
        False, call_cost_seconds * (number % gatekeepers) if has_list else 0.0, backoff, max_backoff, SHARED_OPEN_CALLS
    )


def call_to_drop(ages_seconds: Sequence[float]) -> int:
    """The index of the open call to drop for a further one; `ages_seconds` are ordered with the oldest call first.

    The delay of the agent's answers is unknown, and it may have lost the oldest calls during an outage. So the ages
    that are kept grow by about the same factor from each call to the one before it: whatever the delay is, some call
    stays open for about that long. The call to drop is the one whose two neighbours are closest to each other by ratio.
    """
    if len(ages_seconds) < 3:
        return 0
    inner = range(1, len(ages_seconds) - 1)
    return min(inner, key=lambda position: ages_seconds[position - 1] / max(ages_seconds[position + 1], 1e-6))
