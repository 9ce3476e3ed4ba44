"""Decision logic for collectd's values: which of them are used, and the host loads derived from them.

Nothing here performs I/O.
"""
