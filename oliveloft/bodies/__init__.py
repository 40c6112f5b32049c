"""Request bodies that are too large to buffer and are streamed through the gatekeeper."""
