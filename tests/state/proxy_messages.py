"""The messages of proxy tables by proxy."""


def parts_by_proxy(tables):
    return {message.proxy: message.parts for message in tables.take_messages()}
