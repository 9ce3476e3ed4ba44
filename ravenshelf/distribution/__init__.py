"""Interest-scoped distribution: one owner decides each service, and servers subscribe to some services."""
