"""Simulated distribution: the real decision modules on a virtual clock and network, without sockets."""
