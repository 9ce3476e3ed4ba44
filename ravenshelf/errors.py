"""Common base class of the exceptions that ravenshelf defines."""


class RavenshelfError(Exception):
    """Base class of the exceptions that ravenshelf defines, for callers that catch all of them."""
