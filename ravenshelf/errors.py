"""The common base of every exception that this package raises on purpose."""


class RavenshelfError(Exception):
    """Base class: catching it catches every error that ravenshelf raises on purpose."""
