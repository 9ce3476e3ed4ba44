"""The pilot's figures to Graphite: carbon's plaintext and pickle protocols over TCP."""
