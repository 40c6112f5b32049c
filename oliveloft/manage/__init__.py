"""The operators' address: one line to a connection, and one line back."""
