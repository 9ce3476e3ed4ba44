"""The server process: its start, control cycles and stop, which connect the network, state and controller."""
