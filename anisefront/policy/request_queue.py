"""Queue of admitted requests that wait to be dispatched.

Removal is lazy: the entry of a removed request stays in its heap until it reaches the top, or until such entries make
up half of the heap. So a heap is at most about twice as long as needed, and each change takes logarithmic time.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from typing import NamedTuple, TypeAlias

from anisefront.policy.request import Request

MIN_REMOVED = 64  # a heap with no more entries of removed requests is not rebuilt


class QueueGroup(NamedTuple):
    """Requests with a queue of their own: those of one class, within their quotas or beyond them."""

    class_name: str
    within_quota: bool


# Entries sort by the order of dispatch. Plain tuples for speed, since both are created for each queued request.
_Entry: TypeAlias = tuple[float, float, int, Request]  # negative priority, negative arrival time, serial, request
_Position: TypeAlias = tuple[QueueGroup, int]  # group, serial


class RequestQueue:
    """Priority queues of requests, one for each group.

    Requests are dispatched by priority, and the newest first among those of equal priority. With the oldest first, all
    requests would be dispatched near the end of their latency objectives under overload, and many would be late. Among
    requests with the same time of arrival, the one that was queued first is dispatched first.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._heaps: dict[QueueGroup, list[_Entry]] = {}
        self._positions: dict[int, _Position] = {}  # of queued requests, by request id
        self._removed: dict[QueueGroup, int] = {}  # number of entries of removed requests
        self._serial = 0
        self._counts: dict[str, int] = {}  # by class
        self._arrival_sums_us: dict[str, int] = {}  # by class; integers, since sums of floats drift

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return len(self._positions)

    def add(self, request: Request, group: QueueGroup) -> None:
        """Queue a request."""
        self._serial += 1
        self._positions[request.arrival.id] = (group, self._serial)
        entry = (-request.priority_weight, -request.arrived_ms, self._serial, request)
        heapq.heappush(self._heaps.setdefault(group, []), entry)
        class_name = request.request_class.name
        self._counts[class_name] = self._counts.get(class_name, 0) + 1
        arrivals = self._arrival_sums_us.get(class_name, 0)
        self._arrival_sums_us[class_name] = arrivals + round(request.arrived_ms * 1000)

    def remove(self, request: Request) -> None:
        """Remove a queued request."""
        group, _ = self._positions.pop(request.arrival.id)
        class_name = request.request_class.name
        self._counts[class_name] -= 1
        self._arrival_sums_us[class_name] -= round(request.arrived_ms * 1000)
        removed = self._removed.get(group, 0) + 1
        self._removed[group] = removed
        heap = self._heaps[group]
        if removed > MIN_REMOVED and 2 * removed > len(heap):
            self._heaps[group] = [entry for entry in heap if self._is_queued(group, entry)]
            heapq.heapify(self._heaps[group])
            self._removed[group] = 0

    def first(self, groups: Iterable[QueueGroup]) -> Request | None:
        """Return the first request of these groups, None if all are empty."""
        first: _Entry | None = None
        for group in groups:
            heap = self._heaps.get(group)
            while heap and not self._is_queued(group, heap[0]):
                heapq.heappop(heap)
                self._removed[group] -= 1
            if heap and (first is None or heap[0][:3] < first[:3]):
                first = heap[0]
        return first[3] if first else None

    def count_of(self, class_name: str) -> int:
        """Return how many requests of a class are queued."""
        return self._counts.get(class_name, 0)

    def total_age_ms(self, class_name: str, now_ms: float) -> float:
        """Return the sum of the ages of a class's queued requests."""
        arrivals_us = self._arrival_sums_us.get(class_name, 0)
        return (self.count_of(class_name) * round(now_ms * 1000) - arrivals_us) / 1000

    def _is_queued(self, group: QueueGroup, entry: _Entry) -> bool:
        return self._positions.get(entry[3].arrival.id) == (group, entry[2])
