"""Stand-ins and fault injection, shared by tests, benchmarks and the demo; loopback only.

`simulation` a clock and a network that run by the thousand from a seed; `capacity` what a worker can take;
`fleet` decisions against modelled workers in simulated time; `scripted` and `modelled` servers on sockets;
`traffic` clients with a shape; `faults` a TCP proxy that breaks links on command.
"""
