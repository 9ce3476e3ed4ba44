"""Decisions of the distribution, without I/O: ownership, versions, subscriptions, resync, aggregation."""
