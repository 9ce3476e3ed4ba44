"""Outside systems as stand-ins: scripted, seeded, on loopback. Used by tests, examples and benchmarks."""
