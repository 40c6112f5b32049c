"""A gatekeeper as a cluster member: sockets and disk for `micagate.membership` and `micagate.recovery`."""
