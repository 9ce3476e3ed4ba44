"""Topics in which a controller describes itself.

One topic lists the services that the controller owns. There is one more topic for each shard that it owns,
which lists the topics that the controller publishes for the shard.
"""

from collections.abc import Iterator, Mapping

from ravenshelf.distribution.decisions.ownership import Claim
from ravenshelf.distribution.messages import Entry, Setting

_CLAIMS_PREFIX = "claims/"
_PUBLISHED_PREFIX = "published/"
_SERVICE_KEY_PREFIX = "s:"
_TOPIC_KEY_PREFIX = "p:"


def claims_topic(controller: str) -> str:
    """Return the topic in which a controller claims the services that it owns."""
    return _CLAIMS_PREFIX + controller


def publication_list_topic(shard: int) -> str:
    """Return the topic in which a shard's owner lists the topics that it publishes, for its replicas."""
    return f"{_PUBLISHED_PREFIX}{shard}"


def service_of_topic(topic: str) -> str:
    """Return the service of a topic; empty for topics in which a controller describes itself."""
    return topic.rpartition("@")[0]


def claim_entry(service: str, epoch: int) -> tuple[str, Entry]:
    """Return the key and the entry that claim a service, for the topic `claims_topic`."""
    return _SERVICE_KEY_PREFIX + service, Setting(str(epoch))


def publication_entry(topic: str) -> tuple[str, Entry]:
    """Return the key and the entry that list a topic as published, for the topic `publication_list_topic`."""
    return _TOPIC_KEY_PREFIX + topic, Setting("")


def read_claims(controller: str, entries: Mapping[str, Entry]) -> Iterator[tuple[str, Claim]]:
    """Yield the services that a controller claims, with the claims; malformed entries are ignored."""
    for key, entry in entries.items():
        if key.startswith(_SERVICE_KEY_PREFIX) and isinstance(entry, Setting) and entry.value.isdigit():
            yield key[len(_SERVICE_KEY_PREFIX) :], Claim(controller, int(entry.value))


def read_published_topics(entries: Mapping[str, Entry]) -> Iterator[str]:
    """Yield the topics that the entries of a `publication_list_topic` list."""
    for key in entries:
        if key.startswith(_TOPIC_KEY_PREFIX):
            yield key[len(_TOPIC_KEY_PREFIX) :]
