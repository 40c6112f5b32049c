"""Gatekeepers that know each other: who is there, what holds for all, and how both are told on. Pure."""
