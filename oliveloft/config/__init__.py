"""The configuration of one gatekeeper: loading, checking and explaining it."""
