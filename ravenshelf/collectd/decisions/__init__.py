"""Decisions about collectd's values: which are believed, and the host loads made of them. No I/O."""
