"""Sharing of customers' quotas and workers' capacity among many forwarders by a few planners. No I/O.

Each of the `count` forwarders that share a resource (a customer's quota and ceiling, the capacity of a worker in
slow start) owns 1/count of it. A forwarder leases what it does not need to the planner for a term, and the planner
grants that to forwarders that need more, for a shorter life. So all forwarders together never spend more than the
whole, whichever planner or forwarder plans, crashes or is partitioned, and without a planner each forwarder has the
share that it owns. `docs/design/planners.md` has the proof and the alternatives.

- `terms`: the times that both sides agree on
- `allocate`: computes how much of a resource each forwarder should have
- `demand`: estimates a forwarder's needs from its traffic
- `ledger`: the planner's record of leases and grants
- `holder`: the forwarder's record of leases and grants
- `pace`: estimates the capacity of workers
- `messages`: the messages between forwarders and planners
- `ownership`: decides which planner plans which shard
"""
