"""A distribution on a virtual clock and network: the real decision modules, with nothing but sockets left out."""
