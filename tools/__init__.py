"""Tools for the development of ravenshelf."""
