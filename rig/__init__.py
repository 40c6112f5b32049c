"""Test harness: fake servers, fault injectors and simulations, shared by tests, benchmarks and the demo; loopback only.

In simulated time: `simulation` provides a seeded clock and network, cheap enough to run thousands of schedules;
`capacity` simulates what a worker can do; `planning` runs forwarders and planners on these; `fleet` runs the decisions
against simulated workers; `traces` records such runs.

On sockets and in processes: `fake_servers` and `limited_worker` are workers, discovery and clients; `traffic` generates
open-loop load; `faults` is a TCP proxy that injects network faults; `etcd` is a fake etcd server; `installation` starts
all of it together with the real program in processes of its own.
"""
