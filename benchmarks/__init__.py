"""Benchmarks: `python -m benchmarks.NAME [--short]`, whose last line of output is one JSON object."""
