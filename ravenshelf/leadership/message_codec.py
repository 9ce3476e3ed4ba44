"""Encoding of messages between members: a msgpack list of the kind and the fields of the type, in order.

The first message of a connection, `hello`, is no message of the decisions; `link` and `peer_connections`
handle it.
"""

from typing import Any, get_args

import msgspec

from ravenshelf.errors import RavenshelfError
from ravenshelf.leadership.decisions import messages
from ravenshelf.leadership.decisions.messages import Message
from ravenshelf.net import frames

TYPE_OF_KIND: dict[str, type] = {
    "read": messages.StateRequest,
    "state": messages.StateReply,
    "renew": messages.RenewalRequest,
    "renewed": messages.RenewalReply,
    "probe": messages.ProbeRequest,
    "probed": messages.ProbeReply,
    "ask": messages.LeaseRequest,
    "granted": messages.LeaseReply,
    "write": messages.RecordWrite,
    "written": messages.RecordWriteReply,
    "free": messages.LeaseRelease,
}
KIND_OF_TYPE = {message_type: kind for kind, message_type in TYPE_OF_KIND.items()}
KINDS_WHILE_RECOVERING = ("read", "state")

assert set(KIND_OF_TYPE) == set(get_args(Message))


class MalformedMessageError(RavenshelfError):
    """A list that is not a message of the protocol; `message` is that list."""

    def __init__(self, message: list[Any], reason: str) -> None:
        super().__init__(reason)
        self.message = message


def encode(message: Message) -> bytes:
    """Return the frame of a message."""
    return frames.pack_frame(msgspec.msgpack.encode((KIND_OF_TYPE[type(message)], *message)))


def decode(message: list[Any]) -> Message:
    """Convert a list, as `link.Frames` returns it for each frame, into a message.

    Raises:
        MalformedMessageError: The kind is unknown, or a field is missing, additional or of another type.
    """
    message_type = TYPE_OF_KIND.get(message[0])
    if message_type is None:
        raise MalformedMessageError(message, f"unknown kind {message[0]!r}")
    try:
        return msgspec.convert(message[1:], message_type)
    except msgspec.ValidationError as error:
        raise MalformedMessageError(message, str(error)) from error
