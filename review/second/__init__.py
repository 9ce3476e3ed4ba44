"""A small deployment of stand-ins on loopback for the cases 6 to 10."""
