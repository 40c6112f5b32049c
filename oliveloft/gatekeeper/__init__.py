"""The gatekeeper: sockets on both sides, and between them the bridge to the decisions."""
