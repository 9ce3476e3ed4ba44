"""Data that survives a crash: append-only segments with checksums, and a map stored in a journal."""
