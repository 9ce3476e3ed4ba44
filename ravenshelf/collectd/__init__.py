"""collectd's values as a signal: the binary network protocol, and what of it reaches the decisions."""
