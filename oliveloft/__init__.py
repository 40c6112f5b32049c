"""oliveloft: an admission gateway and load balancer on real sockets, round the decisions of `micagate`."""
