"""What a controller tells of itself: the services it owns, as one topic, and for each shard the topics it publishes."""

from collections.abc import Iterator, Mapping

from ravenshelf.distribution.decisions.ownership import Claim
from ravenshelf.distribution.messages import Entry, Setting

_CLAIMS, _PUBLISHED = "claims/", "published/"
_SERVICE, _TOPIC = "s:", "p:"


def claims_topic(controller: str) -> str:
    """The topic in which a controller says what it owns."""
    return _CLAIMS + controller


def published_topics(shard: int) -> str:
    """The topic in which a shard's owner names the topics that it publishes, for its replicas."""
    return f"{_PUBLISHED}{shard}"


def service_of(topic: str) -> str:
    """The service that a topic is of."""
    return topic.rpartition("@")[0]


def service_claim(service: str, epoch: int) -> tuple[str, Entry]:
    """The entry that claims a service."""
    return _SERVICE + service, Setting(str(epoch))


def published_topic(topic: str) -> tuple[str, Entry]:
    """The entry that says a topic is published, for replicas to subscribe to."""
    return _TOPIC + topic, Setting("")


def read_claims(controller: str, entries: Mapping[str, Entry]) -> Iterator[tuple[str, Claim]]:
    """The services that a controller claims."""
    for key, entry in entries.items():
        if key.startswith(_SERVICE) and isinstance(entry, Setting) and entry.value.isdigit():
            yield key[len(_SERVICE) :], Claim(controller, int(entry.value))


def read_published(entries: Mapping[str, Entry]) -> Iterator[str]:
    """The topics that a controller publishes."""
    for key in entries:
        if key.startswith(_TOPIC):
            yield key[len(_TOPIC) :]
