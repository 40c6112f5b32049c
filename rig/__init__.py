"""Stand-ins and fault injection, shared by tests, benchmarks and the demo; loopback only.

`simulation` a clock and a network that run by the thousand from a seed; `capacity` what a worker can take;
`planning` forwarders and planners on those; `fleet` decisions against modelled workers in simulated time;
`fake_servers` and `limited_worker` on sockets; `traffic` clients with a shape; `faults` a TCP proxy that breaks
links on command; `etcd` a stand-in store; `installation` all of it with the real program in processes;
`traces` records days.
"""
