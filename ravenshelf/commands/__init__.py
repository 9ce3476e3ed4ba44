"""Command line with a module for each group of commands; process/serving.py implements `serve`."""
