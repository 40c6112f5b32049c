"""Measurements: `python -m benchmarks.NAME [--short]`, whose last line is one JSON object."""
