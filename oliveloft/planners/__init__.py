"""Forwarders and planners on sockets: configuration, wire, a planner's process and a forwarder's links to
them."""
