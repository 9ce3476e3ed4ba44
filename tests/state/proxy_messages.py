"""The messages of proxy tables by proxy."""


def updates_by_proxy(tables):
    return {message.proxy: message.updates for message in tables.build_messages()}
