"""Shares of customers' quotas and of workers between many forwarders, planned by a few planners. No I/O.

Every forwarder of a set of `count` owns the part 1/count of a thing (a customer's quota and ceiling, a cold
worker's room). It lends to the planner what it does not need, for a term, and the planner lends that on to
those who need more, for a shorter life. So what all may spend together is the whole at most, whoever plans,
dies or is cut off, and without any planner each has its part. `docs/design/planners.md` has the proof and the
ways weighed.

`terms` the times that both sides agree on; `allocate` who should have how much; `ledger` the planner's book;
`holder` the forwarder's; `messages` what goes between them; `ownership` which planner plans what.
"""
