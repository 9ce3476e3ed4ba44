"""Data that survives a crash: append-only segments with checksums, and a journalled map."""
