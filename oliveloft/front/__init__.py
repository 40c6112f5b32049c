"""The clients' side: protocols that requests come in by."""
