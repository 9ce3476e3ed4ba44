"""Connections and codecs: stream lines, HTTP, datagrams, frames. Nothing here decides or keeps tables."""
