"""A gatekeeper among others that it knows, with a memory: the world round `micagate.membership` and `recovery`."""
