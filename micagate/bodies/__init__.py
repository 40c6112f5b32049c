"""Buffering of long bodies, and whether a request with such a body can have a further attempt. No I/O."""
