"""Benchmarks, each run by `python -m benchmarks.NAME [--short]`.

The last line of the output is a JSON object with the figures, the aim, and whether it is met (`held`).
"""
