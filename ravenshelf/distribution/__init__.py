"""Interest-scoped distribution: each service is decided once, and servers subscribe to what they use."""
