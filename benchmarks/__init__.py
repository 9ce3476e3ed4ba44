"""Measurements: `python -m benchmarks.NAME [--short]`.

The last line of the output is one JSON object with figures, aim and held.
"""
