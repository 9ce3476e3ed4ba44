"""Execution of the commands of a control cycle that are not messages to proxies."""

from collections.abc import Callable

from ravenshelf import log_events
from ravenshelf.policy import commands
from ravenshelf.process.deadline_keys import ControllerTimer
from ravenshelf.process.health_checks import HealthChecks
from ravenshelf.process.registry_client import RegistryClient
from ravenshelf.process.timers import Timers
from ravenshelf.state.counters import Counters


class CommandExecutor:
    """Dispatcher that passes each command to the component that carries it out.

    Args:
        timers: Deadlines of the server, for the controller's timers.
        registry_client: Client of the endpoint registry, for watches and fetches.
        health_checks: Runner of health checks.
        send_to_peer: Function that sends a payload to a peer and returns whether a datagram was sent.
        counters: Counters of datagrams.
    """

    def __init__(
        self,
        timers: Timers,
        registry_client: RegistryClient,
        health_checks: HealthChecks,
        send_to_peer: Callable[[int | None, bytes], bool],
        counters: Counters,
    ):
        self.timers = timers
        self.registry_client = registry_client
        self.health_checks = health_checks
        self.send_to_peer = send_to_peer
        self.counters = counters

    def execute(self, command: commands.Command) -> None:
        """Carry out one command; a command of any other type is ignored."""
        match command:
            case commands.StartTimer(at, key):
                # A timer whose time is in the past expires in a later iteration of the event loop, not now.
                self.timers.set(ControllerTimer(at, key), at)
            case commands.LogMessage(text):
                log_events.DECISION_MESSAGE(text=text)
            case commands.WatchEndpoints(enabled):
                self.registry_client.watch_endpoints(enabled)
            case commands.FetchEndpoints():
                self.registry_client.fetch()
            case commands.CheckHealth(endpoint):
                self.health_checks.begin(endpoint)
            case commands.SendPeerMessage(peer, payload):
                was_sent = self.send_to_peer(peer, payload)
                self.counters["datagrams_sent" if was_sent else "datagrams_not_sent"] += 1
