"""Measurements: `python -m benchmarks.NAME [--short]`; the last line is one JSON object with figures, aim and held."""
