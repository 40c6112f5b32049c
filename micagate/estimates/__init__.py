"""Estimates of state that a gateway cannot observe directly. They are inputs to decisions and make none."""
