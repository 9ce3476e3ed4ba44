"""Export of the server's metrics to Graphite: carbon's plaintext and pickle protocols over TCP."""
