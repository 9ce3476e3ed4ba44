"""Worlds to try ravenshelf in."""
