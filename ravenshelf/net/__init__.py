"""Connections and codecs: stream lines, HTTP, datagrams and frames, without decisions or tables."""
