"""What the discovery watches of a fleet ask of discovery when it is slow, or comes back after an outage.

    python benchmarks/discovery_watches.py [INSTANCES]

For another checkout set PYTHONPATH to its folder. The clock is simulated; one discovery service serves all instances.
It accepts each connection at once, except where it refuses them. A call is answered after `delay_s`, or that long after
the outage; a call that was closed before costs no list.
"""

from __future__ import annotations

import random
import sys
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from twisted.internet.error import ConnectionRefusedError as RefusedError
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from anisefront.resp_gateway.discovery_watch import DiscoveryWatch

INSTANCES = 850
STEP_S = 0.05
SPREAD_S = 2.0  # over which the instances start
RUN_S = 60.0
LIST = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2d\r\n{"index":43,"snapshot":true,"endpoints":[]} \n\r\n'
EMPTY_LINE = b"1\r\n\n\r\n"
HEARTBEAT_S = 2.0


@dataclass
class Scenario:
    """How discovery behaves; times are seconds from the first instance's start."""

    name: str
    delay_s: float = 0.0
    outage_until_s: float = 0.0
    refuses: bool = False  # connections during the outage


SCENARIOS = (
    *(Scenario(f"answers after {delay_s} s", delay_s) for delay_s in (0.3, 1.5, 3.0, 5.0)),
    Scenario("silent for 8 s", 0.0, 8.0),
    Scenario("silent for 30 s", 0.0, 30.0),
    Scenario("silent for 30 s, then answers after 3 s", 3.0, 30.0),
    Scenario("refuses for 30 s", 0.0, 30.0, refuses=True),
)


@dataclass
class Figures:
    """What was counted.

    Attributes:
        calls: Times of the connections, in seconds.
        lists: Lists that were sent.
        lists_after_s: When each instance had its list.
        most_open: Most watches that one instance had open.
    """

    calls: list[float] = field(default_factory=list)
    lists: int = 0
    lists_after_s: dict[int, float] = field(default_factory=dict)
    most_open: int = 0


class Transport:
    """Transport of a watch; the request is not looked at."""

    def __init__(self) -> None:
        """Start open."""
        self.is_open = True

    def write(self, data: bytes) -> None:
        """Receive the request."""

    def abortConnection(self) -> None:
        """Close the connection."""
        self.is_open = False


class Connector:
    """Connector of a connection that is up or refused at once."""

    def disconnect(self) -> None:
        """Stop connecting."""


class Reactor(Clock):
    """Event loop of one instance whose connections lead to the discovery service."""

    def __init__(self, connect: Callable[[Reactor, object], None]) -> None:
        """Create a loop; `connect` is called with each factory."""
        super().__init__()
        self._connect = connect

    def connectTCP(self, host: str, port: int, factory: object, timeout: float) -> Connector:
        """Connect at the next step."""
        self.callLater(0, self._connect, self, factory)
        return Connector()


class Instance:
    """One instance's watch."""

    def __init__(self, number: int, scenario: Scenario, figures: Figures, start_s: float) -> None:
        """Create a watch that starts at a time."""
        self._number = number
        self._scenario = scenario
        self._figures = figures
        self._open: list[Transport] = []
        self.reactor = Reactor(self._connect)
        self._watch = DiscoveryWatch(
            self.reactor, ("127.0.0.1", 8500), lambda: 41, self._on_change, lambda error: sys.exit(error)
        )
        self.reactor.callLater(start_s, self._watch.start)

    def _on_change(self, change: object) -> None:
        self._figures.lists_after_s.setdefault(self._number, self.reactor.seconds())

    def _connect(self, reactor: Reactor, factory) -> None:
        now_s = reactor.seconds()
        self._figures.calls.append(now_s)
        if self._scenario.refuses and now_s < self._scenario.outage_until_s:
            factory.clientConnectionFailed(None, Failure(RefusedError()))
            return
        protocol = factory.buildProtocol(None)
        if protocol is None:
            return
        transport = Transport()
        protocol.makeConnection(transport)
        self._open = [each for each in self._open if each.is_open] + [transport]
        self._figures.most_open = max(self._figures.most_open, sum(each.is_open for each in self._open))
        answer_s = max(now_s, self._scenario.outage_until_s) + self._scenario.delay_s
        reactor.callLater(answer_s - now_s, self._answer, transport, protocol)

    def _answer(self, transport: Transport, protocol) -> None:
        if not transport.is_open:
            return
        # What discovery sends in the same step has left before a watch is closed for the first answer.
        self._figures.lists += sum(each is transport or self._is_due() for each in self._open if each.is_open)
        protocol.dataReceived(LIST)
        self._beat(transport, protocol)

    def _is_due(self) -> bool:
        """Return whether all open calls are answered in one step, the end of an outage."""
        return self._scenario.outage_until_s > 0 and not self._scenario.refuses and self._scenario.delay_s == 0

    def _beat(self, transport: Transport, protocol) -> None:
        if transport.is_open:
            protocol.dataReceived(EMPTY_LINE)
            self.reactor.callLater(HEARTBEAT_S, self._beat, transport, protocol)


def run(scenario: Scenario, instances: int) -> Figures:
    """Play a scenario with all instances."""
    figures = Figures()
    rng = random.Random(1)
    for number in range(instances):
        instance = Instance(number, scenario, figures, rng.uniform(0.0, SPREAD_S))
        for _ in range(round(RUN_S / STEP_S)):
            instance.reactor.advance(STEP_S)
    return figures


def main() -> None:
    """Print a row for each scenario."""
    instances = int(sys.argv[1]) if len(sys.argv) > 1 else INSTANCES
    print(
        "| discovery | calls an instance | most calls in a second | lists an instance | last list after | most open |"
    )
    print("| --- | --- | --- | --- | --- | --- |")
    for scenario in SCENARIOS:
        figures = run(scenario, instances)
        peak = max(Counter(int(moment) for moment in figures.calls).values())
        missing = instances - len(figures.lists_after_s)
        last = f"never at {missing}" if missing else f"{max(figures.lists_after_s.values()):.1f} s"
        calls = len(figures.calls) / instances
        lists = figures.lists / instances
        print(f"| {scenario.name} | {calls:.1f} | {peak} | {lists:.2f} | {last} | {figures.most_open} |")


if __name__ == "__main__":
    main()
