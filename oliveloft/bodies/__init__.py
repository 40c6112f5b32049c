"""Long bodies on their way through the gatekeeper."""
