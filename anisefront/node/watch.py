"""The connection to discovery, on Twisted: a watch that is opened again whenever it ends or falls silent."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet import protocol
from twisted.python.failure import Failure

from anisefront.node.discovery import QUIET_S, Change, DiscoveryFault, WatchReader, watch_request

AGAIN_S = (0.1, 0.2, 0.5, 1.0)  # before each further try; the agent is on this machine and costs nothing
CONNECT_S = 1.0


class _Link(protocol.Protocol):
    """One watch."""

    def __init__(self, watch: Watch) -> None:
        self._watch, self._reader, self._quiet = watch, WatchReader(), None

    def connectionMade(self) -> None:
        host, port = self._watch.address
        self.transport.write(watch_request(self._watch.index(), f"{host}:{port}"))
        self._quiet = self._watch.reactor.callLater(QUIET_S, self.abort)

    def dataReceived(self, data: bytes) -> None:
        if self._watch.link is not self:
            return
        self._quiet.reset(QUIET_S)
        try:
            for change in self._reader.feed(data):
                self._watch.told(change)
        except DiscoveryFault as problem:
            self._watch.fault(str(problem))
            self.abort()
            return
        if self._reader.ended:
            self.abort()

    def abort(self) -> None:
        """End it; another is opened if it is the present one."""
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        if self._quiet is not None and self._quiet.active():
            self._quiet.cancel()
        self._watch.ended(self)


class _Factory(protocol.ClientFactory):
    noisy = False

    def __init__(self, watch: Watch) -> None:
        self._watch = watch

    def buildProtocol(self, address: object) -> _Link:
        link = _Link(self._watch)
        if self._watch.factory is self:
            self._watch.link, self._watch.tries = link, 0
        return link

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        self._watch.unconnected(self)


class Watch:
    """Keeps a watch on discovery. `told` takes each change, `index` says up to which version all is known."""

    def __init__(self, reactor: Any, address: tuple[str, int], index: Callable[[], int],
                 told: Callable[[Change], None], fault: Callable[[str], None]) -> None:
        self.reactor, self.address, self.index, self.told, self.fault = reactor, address, index, told, fault
        self.link: _Link | None = None
        self.factory: _Factory | None = None
        self.tries = 0
        self._later: Any = None
        self._stopped = False

    def start(self) -> None:
        """Open the watch."""
        self._later = None
        if not self._stopped:
            self.factory = _Factory(self)
            self.reactor.connectTCP(*self.address, self.factory, timeout=CONNECT_S)

    def move(self, address: tuple[str, int]) -> None:
        """Discovery is elsewhere from now on; what is known stays in force until it tells more."""
        if address == self.address:
            return
        self.address, old = address, self.link
        self.link = self.factory = None
        if self._later is not None and self._later.active():
            self._later.cancel()
        self.tries = 0
        self.start()
        if old is not None:
            old.abort()

    def stop(self) -> None:
        """End it for good."""
        self._stopped = True
        if self.link is not None:
            self.link.abort()

    def ended(self, link: _Link) -> None:
        """A watch is over."""
        if link is self.link:
            self.link = None
            self._again()

    def unconnected(self, factory: _Factory) -> None:
        """Discovery can't be reached."""
        if factory is self.factory:
            self._again()

    def _again(self) -> None:
        if not self._stopped:
            delay = AGAIN_S[min(self.tries, len(AGAIN_S) - 1)]
            self.tries += 1
            self._later = self.reactor.callLater(delay, self.start)
