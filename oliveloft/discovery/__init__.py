"""Where workers are and how they stand."""
