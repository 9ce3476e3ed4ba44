"""Several controllers share one fleet, divide it and take over from each other."""
