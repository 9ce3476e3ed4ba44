"""Several control-plane servers share one fleet: leases of shards, their takeover, and records that outlive
a holder.
"""
