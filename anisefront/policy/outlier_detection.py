"""Outlier detection: outcomes of attempts at each endpoint, observed by this gateway instance and by its peers.

Endpoints are not ejected: failures and high latency raise their cost in `endpoint_selection`.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import NamedTuple

from anisefront.policy.endpoint_state import EndpointState
from anisefront.policy.load_reports import LoadReports
from anisefront.policy.peer_codec import MAX_OBSERVATIONS, EndpointObservation, latency_ratio_of, observation_of

UNRESPONSIVE_WEIGHT = 0.6  # in failures, of an attempt that has had no response for long
PEER_WEIGHT = 0.5  # of a peer's observation at an instance that starts no attempts itself
OBSERVATION_LIFETIME_MS = 2000.0  # age up to which an observation is sent to peers


class _TimedObservation(NamedTuple):
    observed_ms: float
    observation: EndpointObservation


class OutlierDetection:
    """Records outcomes of attempts, and exchanges observations with peers."""

    __slots__ = ("_class_names", "_load_reports", "_observations")

    def __init__(self, class_names: list[str], load_reports: LoadReports) -> None:
        """Start without observations."""
        self._class_names = class_names
        self._load_reports = load_reports
        self._observations: list[_TimedObservation] = []

    def change_classes(self, class_names: list[str]) -> None:
        """Set the classes, which observations refer to by index."""
        self._class_names = class_names

    def record_attempt(
        self, now_ms: float, state: EndpointState, class_name: str, latency_ratio: float, weight: float = 1.0
    ) -> None:
        """Record the outcome of an attempt: actual over expected duration, infinity for a failure.

        Overload responses count as failures: an endpoint that rejects at once appears idle and would attract attempts.
        """
        normalized = latency_ratio * self._load_reports.latency_normalization(now_ms, state)
        state.health.record(now_ms, class_name, latency_ratio, normalized, weight)
        observation = observation_of(state.endpoint.id, self._class_names.index(class_name), normalized)
        latest = self._observations[1 - MAX_OBSERVATIONS :]
        self._observations = [*latest, _TimedObservation(now_ms, observation)]

    def record_unresponsive(self, now_ms: float, state: EndpointState, class_name: str) -> None:
        """Record that an attempt has had no response for long."""
        self.record_attempt(now_ms, state, class_name, math.inf, UNRESPONSIVE_WEIGHT)

    def record_peer_observations(
        self,
        now_ms: float,
        observations: tuple[EndpointObservation, ...],
        states_by_tag: Mapping[int, EndpointState],
        own_attempts_weight: float,
    ) -> None:
        """Record what a peer observed.

        Its weight decreases with the number of attempts that this gateway instance starts itself. Otherwise all
        instances would move from the same endpoints to the same others at once.
        """
        weight = PEER_WEIGHT / (1 + own_attempts_weight)
        for observation in observations:
            state = states_by_tag.get(observation.endpoint_tag)
            if state is not None and observation.class_index < len(self._class_names):
                ratio = latency_ratio_of(observation)
                state.health.record(now_ms, self._class_names[observation.class_index], ratio, ratio, weight)

    def recent_observations(self, now_ms: float) -> list[EndpointObservation]:
        """Return the observations to send to peers."""
        return [each.observation for each in self._observations if now_ms - each.observed_ms <= OBSERVATION_LIFETIME_MS]
