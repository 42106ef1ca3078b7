"""The connection to discovery, on Twisted: a watch that is opened again whenever it ends or falls silent.

    connecting --up--> new --first object--> heard --a line in time--> heard
        |               |                      |
     too late       too late: suspect       too late: suspect
        '---------------'----------------------'--> another is opened beside it

What a silent watch misses counts as told 6 s after it fell silent, whatever becomes of the connection that replaces it;
so times here leave room for three tries. A suspect watch stays open beside the new one until that speaks: while
discovery is down all are silent, and what it tells at its return must find an open watch. It decides nothing.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet import protocol
from twisted.python.failure import Failure

from anisefront.resp_gateway.discovery import Change, DiscoveryFault, WatchReader, watch_request

QUIET_S = 3.0  # an empty line comes every 2 s: a watch that has missed one is suspect
FIRST_S = 0.7  # the agent is on this machine and answers a new watch at once
CONNECT_S = 0.7
AGAIN_S = (0.1, 0.1, 0.2, 0.5)  # before each further try, but the first after a silence; a try costs the agent nothing
MOST_LINKS = 2


class _Link(protocol.Protocol):
    """One watch. `since`: the version that it was opened from."""

    def __init__(self, watch: Watch) -> None:
        self._watch, self._reader, self._timer = watch, WatchReader(), None
        self.since, self.suspect, self._heard = 0, False, False
        self._last_s = 0.0  # when it told its last whole line, or was opened
        self._broken = False  # it may have missed a change

    def connectionMade(self) -> None:
        host, port = self._watch.address
        self.since = self._watch.index()
        self._last_s = self._watch.reactor.seconds()
        self.transport.write(watch_request(self.since, f"{host}:{port}"))
        self._timer = self._watch.reactor.callLater(FIRST_S, self._overdue)

    def dataReceived(self, data: bytes) -> None:
        if self not in self._watch.links:
            return
        lines = self._reader.lines
        try:
            changes = self._reader.feed(data)
        except DiscoveryFault as problem:
            self._watch.unreadable(str(problem))
            self.abort()
            return
        # Danger: bytes that make no whole line are no sign of life: they may drip for good and tell nothing.
        if self._reader.lines > lines:
            self._told_line(first_change=bool(changes) and not lines)
        for change in changes:
            first, self._heard = not self._heard, True
            if first and not change.snapshot and change.index < self.since:
                # Danger: a discovery that counts anew would tell changes that look older than what is known, for good.
                self._watch.forget()
                self.abort()
                return
            self._watch.told(change)
        if self._reader.ended:
            self.abort()

    def _told_line(self, first_change: bool) -> None:
        """Danger: one that fell silent and is heard again, if only by its empty lines, may have missed a change for
        good: what it tells is taken in, but another has to take its place. A first object tells all since `since`."""
        now = self._watch.reactor.seconds()
        self._broken = self._broken or (now - self._last_s >= QUIET_S and not first_change)
        self._last_s = now
        if not self._broken:
            self._timer.reset(QUIET_S) if self._timer.active() else self._watch_time()
            self._watch.speaks(self)

    def _watch_time(self) -> None:
        self.suspect = False
        self._timer = self._watch.reactor.callLater(QUIET_S, self._overdue)

    def _overdue(self) -> None:
        self.suspect = True
        self._watch.suspects(self)

    def abort(self) -> None:
        """End it; another is opened if none is left that is heard."""
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._watch.ended(self)


class _Factory(protocol.ClientFactory):
    noisy = False

    def __init__(self, watch: Watch) -> None:
        self._watch = watch

    def buildProtocol(self, address: object) -> _Link | None:
        return self._watch.up(self)

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        self._watch.unconnected(self)


class Watch:
    """Keeps a watch on discovery. `told` takes each change, `index` says up to which version all is known, `forget`
    that versions are counted anew, `fault` hears of what can't be read, once while it lasts."""

    def __init__(
        self,
        reactor: Any,
        address: tuple[str, int],
        index: Callable[[], int],
        told: Callable[[Change], None],
        fault: Callable[[str], None],
        forget: Callable[[], None] = lambda: None,
    ) -> None:
        self.reactor, self.address, self.index, self.told, self.forget = reactor, address, index, told, forget
        self.links: list[_Link] = []  # the oldest first
        self.tries = 0  # since one was heard
        self._fault, self._said = fault, ""
        self._factory: _Factory | None = None  # of the connection that is being made
        self._connector: Any = None
        self._later: Any = None
        self._started = self._stopped = False

    def start(self) -> None:
        """Open the watch."""
        self._started = True
        self._open()

    def _open(self) -> None:
        self._later = None
        if self._stopped or not self._started or self._factory is not None:
            return
        self.tries += 1
        self._factory = _Factory(self)
        self._connector = self.reactor.connectTCP(*self.address, self._factory, timeout=CONNECT_S)

    def move(self, address: tuple[str, int]) -> None:
        """Discovery is elsewhere from now on; what is known stays in force until it tells more."""
        if address == self.address:
            return
        self.address, self.tries, self._said = address, 0, ""
        self.forget()  # another discovery has its own versions
        self._drop_pending()
        self._drop(self.links)
        self._open()

    def stop(self) -> None:
        """End it for good."""
        self._stopped = True
        self._drop_pending()
        self._drop(self.links)

    def up(self, factory: _Factory) -> _Link | None:
        """A connection is there; None where it is not wanted any more."""
        if factory is not self._factory:
            return None
        self._factory = None
        link = _Link(self)
        self.links.append(link)
        self._drop(self.links[:-MOST_LINKS])
        return link

    def unconnected(self, factory: _Factory) -> None:
        """Discovery can't be reached."""
        if factory is self._factory:
            self._factory = None
            self._again()

    def speaks(self, link: _Link) -> None:
        """A watch has told a whole line: it is the one; what was opened beside it goes."""
        self.tries = 0
        if len(self.links) > 1 or self._factory is not None or self._later is not None:
            self._drop_pending()
            self._drop([each for each in self.links if each is not link])

    def suspects(self, link: _Link) -> None:
        """A watch is silent."""
        self._again(at_once=not self.tries)

    def unreadable(self, why: str) -> None:
        """A watch told what can't be read; the last list stays in force."""
        if why != self._said:
            self._said = why
            self._fault(why)

    def ended(self, link: _Link) -> None:
        """A watch is over."""
        if link in self.links:
            self.links.remove(link)
            self._again()

    def _drop(self, links: list[_Link]) -> None:
        for link in list(links):
            self.links.remove(link)
            link.abort()

    def _drop_pending(self) -> None:
        later, self._later = self._later, None
        if later is not None and later.active():
            later.cancel()
        factory, self._factory = self._factory, None
        if factory is not None:
            self._connector.disconnect()

    def _again(self, at_once: bool = False) -> None:
        """Open another where none is heard, being made, or about to be."""
        if (
            self._stopped
            or self._factory is not None
            or self._later is not None
            or any(not link.suspect for link in self.links)
        ):
            return
        delay = 0.0 if at_once else AGAIN_S[min(self.tries, len(AGAIN_S) - 1)]
        self._later = self.reactor.callLater(delay, self._open)
