"""The command line: one module for each group of commands; `serve` itself is in process/serving.py."""
