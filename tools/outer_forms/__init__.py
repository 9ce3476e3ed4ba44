"""Comparison of two commits by seeded sessions that use only the external interfaces of ravenshelf."""
