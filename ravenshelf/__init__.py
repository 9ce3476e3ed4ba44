"""Control plane that writes each proxy a table of endpoints with weights."""

__version__ = "0.3.0"
