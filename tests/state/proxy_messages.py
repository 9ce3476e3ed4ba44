"""Helper that builds the messages of a cycle."""


def updates_by_proxy(tables):
    """End the cycle and return the table updates of its messages, by proxy."""
    return {message.proxy: message.updates for message in tables.build_messages()}
