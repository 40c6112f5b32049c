"""The back end: attempts, and the connections to workers that carry them."""
