"""Seeded sessions that speak to ravenshelf only in its outer forms, to compare two commits."""
