"""Interest-scoped distribution: each service is decided once, and pilots subscribe only to what their proxies call."""
