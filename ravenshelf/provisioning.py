"""The words of the settings into ours, one copy for the simulator's wire and for sockets."""

WORDS = {
    "azs": "zones",
    "balancers": "pilots",
    "classes": "traffic_groups",
    "objective": "latency_budget",
    "deadline": "expiry",
    "importance": "utility",
    "late_worth": "late_utility",
    "memory_span": "dedupe_window",
    "idempotency": "effect",
    "key_scope": "dedupe_scope",
    "family_info": "service",
    "family": "service_kind",
}
EFFECTS = {"pure": "retriable", "token": "deduped", "side_effect": "non-retriable"}
# what a load report on sockets calls the columns of the settings' `telemetry`
LOAD_WORDS = {
    "inflight": "active",
    "queue": "waiting",
    "util": "cpu",
    "latency_ms": "avg_ms",
    "qps": "rps",
    "eps": "err_rps",
}


def provisioning(raw):
    """The settings as a plain map in our words; what is not known here is handed on as it is."""
    if isinstance(raw, list):
        return [provisioning(item) for item in raw]
    if not isinstance(raw, dict):
        return raw
    out = {}
    for name, value in raw.items():
        stem = name.replace("-", "_")
        timed = stem.endswith("_ms") and isinstance(value, (int, float)) and not isinstance(value, bool)
        stem = stem[:-3] if timed else stem
        word = WORDS.get(stem, stem)
        if timed:
            out[word + "_us"] = round(value * 1000)
        elif word == "effect":
            out[word] = EFFECTS.get(value, "non-retriable")
        else:
            out[word] = provisioning(value)
    return out
