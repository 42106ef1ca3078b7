"""Expected response times of attempts, by request class and size."""

from __future__ import annotations

import math

from anisefront.policy.control_period import EWMA_GAIN
from anisefront.policy.settings import RequestClass

INITIAL_MS = 200.0  # until there are responses, but at most `INITIAL_FRACTION` of the latency objective
INITIAL_FRACTION = 0.25
MAX_SIZE = 16  # units; larger requests count as this size
MIN_LOAD = 0.25  # of an attempt, in average attempts
MAX_LOAD = 8.0
# At most this fraction of the latency objective is reserved for the response, and at least this fraction of the time
# that a request has left is available for queueing.
RESPONSE_FRACTION = 0.45
RESERVED_MULTIPLE = 2.5  # of the expected response time, since many responses take longer than expected
UNRESPONSIVE_MULTIPLE = 3.0  # of the expected response time, after which an attempt counts as unresponsive


def size_of(units: float) -> int:
    """Return the size class in which a request's response time is learned."""
    return min(MAX_SIZE, math.ceil(units))


def max_queueing_ms(request_class: RequestClass) -> float:
    """Return how long a request may be queued, so that its response can be within the latency objective."""
    return request_class.latency_objective_ms * (1 - RESPONSE_FRACTION)


class ResponseTimes:
    """Exponentially weighted means of response times."""

    __slots__ = ("by_class", "_by_size", "_overall_ms")

    def __init__(self) -> None:
        """Start without responses."""
        self.by_class: dict[str, float] = {}
        self._by_size: dict[str, dict[int, float]] = {}  # by class and size
        self._overall_ms = INITIAL_MS  # over all classes and sizes

    def add_classes(self, classes: tuple[RequestClass, ...]) -> None:
        """Add new classes, with an initial expected response time."""
        for request_class in classes:
            initial = min(INITIAL_MS, request_class.latency_objective_ms * INITIAL_FRACTION)
            self.by_class.setdefault(request_class.name, initial)
            self._by_size.setdefault(request_class.name, {})

    def expected_ms(self, class_name: str, size: int) -> float:
        """Return the expected response time of an attempt."""
        return self._by_size[class_name].get(size, self.by_class[class_name])

    def reserved_ms(self, request_class: RequestClass, size: int) -> float:
        """Return the time to reserve for a response.

        It is bounded: if it exceeded the latency objective, all requests would be shed, and without responses the
        expected time would never decrease.
        """
        reserved = RESERVED_MULTIPLE * self.expected_ms(request_class.name, size)
        return min(reserved, RESPONSE_FRACTION * request_class.latency_objective_ms)

    def load_of(self, expected_ms: float) -> float:
        """Return the load of an attempt with this expected response time, in average attempts."""
        return min(MAX_LOAD, max(MIN_LOAD, expected_ms / self._overall_ms))

    def record(self, class_name: str, size: int, duration_ms: float) -> float:
        """Record the duration of a successful attempt, and return its ratio to the expected one."""
        expected = self.expected_ms(class_name, size)
        self._by_size[class_name][size] = expected + (duration_ms - expected) * EWMA_GAIN
        self.by_class[class_name] += (duration_ms - self.by_class[class_name]) * EWMA_GAIN
        self._overall_ms += (duration_ms - self._overall_ms) * EWMA_GAIN
        return duration_ms / expected
