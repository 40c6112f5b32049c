"""Recovery of a gateway after a restart: what it persists, what it restores, and the stages of its start. No I/O."""
