"""A distribution on a virtual clock and network: the real decision modules, without sockets."""
