"""Forwarders and planners on sockets: configuration, wire protocol, the planner process, and a forwarder's links
to planners."""
