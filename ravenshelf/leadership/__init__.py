"""Leadership among servers that share a fleet: shard leases, their takeover, and durable shard records."""
