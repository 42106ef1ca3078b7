"""Structures of the decision module in which a change costs what it changes, however much is held. Nothing is decided
here: what goes first is in the keys that are handed in. Standard library only."""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Hashable, Iterable

from anisefront.policy.state import Ask, Request

LEAST_DEAD = 64  # entries that are no more, in one heap, before it is made anew


class Held:
    """Requests that may go out, by group; in each the least key first, of equal keys the one that came here first.

    What leaves without being first is marked and thrown away when it comes to the top, or when half of a heap is such;
    so a heap holds at most twice what is alive, and each change costs a logarithm."""

    def __init__(self) -> None:
        self._heaps: dict[Hashable, list[tuple[tuple[float, ...], int, Request]]] = {}
        self._places: dict[int, tuple[Hashable, int]] = {}  # of what is alive: group and serial, by the request's id
        self._dead: dict[Hashable, int] = {}
        self._serial = 0
        self.count: dict[str, int] = {}  # by class
        self._came_us: dict[str, int] = {}  # whole microseconds, so that what is added and taken leaves nothing over

    def __len__(self) -> int:
        return len(self._places)

    def put(self, request: Request, group: Hashable, key: tuple[float, ...]) -> None:
        """One more."""
        self._serial += 1
        self._places[request.arrival.id] = (group, self._serial)
        heapq.heappush(self._heaps.setdefault(group, []), (key, self._serial, request))
        name = request.kind.name
        self.count[name] = self.count.get(name, 0) + 1
        self._came_us[name] = self._came_us.get(name, 0) + round(request.came_ms * 1000)

    def drop(self, request: Request) -> None:
        """It is no longer held."""
        group, _ = self._places.pop(request.arrival.id)
        name = request.kind.name
        self.count[name] -= 1
        self._came_us[name] -= round(request.came_ms * 1000)
        dead = self._dead[group] = self._dead.get(group, 0) + 1
        heap = self._heaps[group]
        if dead > LEAST_DEAD and 2 * dead > len(heap):
            self._heaps[group] = [entry for entry in heap if self._alive(group, entry)]
            heapq.heapify(self._heaps[group])
            self._dead[group] = 0

    def _alive(self, group: Hashable, entry: tuple[tuple[float, ...], int, Request]) -> bool:
        return self._places.get(entry[2].arrival.id) == (group, entry[1])

    def first(self, groups: Iterable[Hashable]) -> Request | None:
        """Of these groups the request that goes first."""
        best = None
        for group in groups:
            heap = self._heaps.get(group)
            while heap and not self._alive(group, heap[0]):
                heapq.heappop(heap)
                self._dead[group] -= 1
            if heap and (best is None or heap[0][:2] < best[:2]):
                best = heap[0]
        return best[2] if best else None

    def ages_ms(self, name: str, now: float) -> float:
        """How long those of a class are here, in sum."""
        return (self.count.get(name, 0) * round(now * 1000) - self._came_us.get(name, 0)) / 1000


class Waiting:
    """Tries that wait at their customer's home: the greatest worth first, of equal worth the newest.

    Those of one worth stand in the order in which they came, so that both ends are at hand: the newest is served, and
    what is out of time goes from the other end."""

    __slots__ = ("_by_key", "_by_worth")

    def __init__(self) -> None:
        self._by_key: dict[Hashable, Ask] = {}
        self._by_worth: dict[float, deque[Ask]] = {}

    def __len__(self) -> int:
        return len(self._by_key)

    def __contains__(self, key: Hashable) -> bool:
        return key in self._by_key

    def put(self, ask: Ask) -> None:
        """One more, which came after all others."""
        self._by_key[ask.key] = ask
        self._by_worth.setdefault(ask.worth, deque()).append(ask)

    def drop(self, key: Hashable) -> None:
        """It waits no longer, if it did."""
        ask = self._by_key.pop(key, None)
        if ask is not None:
            ask.until_ms = 0.0

    def let_go(self, now: float) -> None:
        """Those whose time is up, as far as none that came before them has time left."""
        for worth in [worth for worth, asks in self._by_worth.items() if asks and asks[0].until_ms <= now]:
            asks = self._by_worth[worth]
            while asks and asks[0].until_ms <= now:
                self._forget(asks.popleft())
            if not asks:
                del self._by_worth[worth]

    def first(self, now: float) -> Ask | None:
        """The one that is served next."""
        for worth in sorted(self._by_worth, reverse=True):
            asks = self._by_worth[worth]
            while asks:
                if asks[-1].until_ms > now:
                    return asks[-1]
                self._forget(asks.pop())
            del self._by_worth[worth]
        return None

    def _forget(self, ask: Ask) -> None:
        if self._by_key.get(ask.key) is ask:
            del self._by_key[ask.key]
