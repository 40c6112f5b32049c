"""oliveloft: an admission gateway and load balancer on asyncio sockets; `micagate` makes its decisions."""
