"""The decisions: the endpoints that each proxy uses, their weights, and the load that a proxy admits."""
