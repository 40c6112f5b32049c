"""Cluster membership of gatekeepers: who is alive, which facts hold for the fleet, and how both spread. No I/O."""
