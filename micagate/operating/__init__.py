"""Operator commands to a running gateway: worker maintenance and draining of clients. No I/O."""
