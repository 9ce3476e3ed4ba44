"""What survives a crash: append-only segments with checksums."""
