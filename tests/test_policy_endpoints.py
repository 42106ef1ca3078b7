"""Slow start, endpoint health and response times."""

import math
import random

import pytest
from test_rules import settings

from anisefront.policy.endpoint_health import EndpointHealth
from anisefront.policy.endpoint_state import EndpointState
from anisefront.policy.events import Arrival, Endpoint, EndpointStatus
from anisefront.policy.load_reports import LoadReports
from anisefront.policy.outlier_detection import OutlierDetection
from anisefront.policy.request import Request
from anisefront.policy.response_times import RESPONSE_FRACTION, ResponseTimes
from anisefront.policy.slow_start import DRAW_INTERVAL_MS, SlowStart

WARM_UP_MS = settings().warm_up_ms
INITIAL = settings().slow_start_initial_factor
LOOK = settings().classes[0]


def endpoint(name="s0", started_ms=0.0):
    return Endpoint(name, "z0", 0, EndpointStatus.READY, 1.0, started_ms)


def request():
    return Request(Arrival(1, "c", "look", "rated", 1e9), LOOK, settings().plans[0], None, 0.0, 600.0, 1.0)


class FixedRandom(random.Random):
    """A generator that always draws the same value."""

    def __init__(self, value):
        super().__init__()
        self.value = value
        self.draws = 0

    def random(self):
        self.draws += 1
        return self.value


# ---- slow start ----------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("age_ms", "factor"),
    [(0.0, INITIAL), (WARM_UP_MS / 2, (1 + INITIAL) / 2), (WARM_UP_MS, 1.0), (2 * WARM_UP_MS, 1.0), (-5.0, INITIAL)],
)
def test_capacity_grows_from_the_initial_factor_to_the_full_one(age_ms, factor):
    slow_start = SlowStart(settings(), random.Random(1))
    assert slow_start.factor(50_000.0 + age_ms, endpoint(started_ms=50_000.0)) == pytest.approx(factor)


def test_an_endpoint_that_started_long_ago_has_its_full_capacity():
    assert SlowStart(settings(), random.Random(1)).factor(1.0, endpoint(started_ms=0.0)) == 1.0


@pytest.mark.parametrize(("draw", "is_chosen"), [(0.0, True), (0.049, True), (0.051, False), (0.9, False)])
def test_an_endpoint_is_drawn_with_the_probability_of_its_fraction_of_the_capacity(draw, is_chosen):
    state = EndpointState(endpoint(started_ms=50_000.0))
    slow_start = SlowStart(settings(), FixedRandom(draw))
    drawn = slow_start.draw(50_000.0, request(), [state], INITIAL / 0.05, None)
    assert drawn is (state if is_chosen else None)


def test_a_queued_request_draws_once_in_the_interval():
    rng = FixedRandom(0.99)
    slow_start, one = SlowStart(settings(), rng), request()
    states = [EndpointState(endpoint(started_ms=50_000.0))]
    for now_ms in (50_000.0, 50_001.0, 50_000.0 + DRAW_INTERVAL_MS - 1):
        slow_start.draw(now_ms, one, states, 5.0, None)
    assert rng.draws == 1
    slow_start.draw(50_000.0 + DRAW_INTERVAL_MS, one, states, 5.0, None)
    assert rng.draws == 2


def test_an_attempted_an_ineligible_or_a_failing_endpoint_is_not_selected():
    state = EndpointState(endpoint(started_ms=50_000.0))
    slow_start = SlowStart(settings(), FixedRandom(0.0))
    attempted = request()
    attempted.record_attempt_started(50_000.0, state)
    assert slow_start.draw(50_000.0, attempted, [state], 1.0, None) is None
    assert slow_start.draw(50_000.0, request(), [state], 1.0, []) is None
    for _ in range(9):
        state.health.record(50_000.0, "look", math.inf, math.inf, 1.0)
    assert slow_start.draw(50_000.0, request(), [state], 1.0, None) is None


# ---- health ----------------------------------------------------------------------------------------


def test_failures_raise_the_failure_fraction_and_decay():
    health = EndpointHealth()
    assert health.failure_fraction(0.0, "look") == 0.0
    health.record(0.0, "look", math.inf, math.inf, 1.0)
    fresh = health.failure_fraction(0.0, "look")
    assert 0.5 < fresh < 1.0
    assert health.failure_fraction(20_000.0, "look") < 0.1 * fresh


def test_failures_of_one_class_count_less_for_another():
    health = EndpointHealth()
    for _ in range(5):
        health.record(0.0, "look", math.inf, math.inf, 1.0)
        health.record(0.0, "book", 1.0, 1.0, 1.0)
    assert health.failure_fraction(0.0, "book") < 0.2 < health.failure_fraction(0.0, "look")


def test_a_late_response_cancels_the_failure_of_the_unresponsive_attempt():
    health = EndpointHealth()
    health.record(0.0, "look", math.inf, math.inf, 0.6)
    health.record(0.0, "look", 4.0, 4.0, 1.0)
    assert health.failure_counts["look"] == 0.0


def test_the_latency_ratio_is_bounded_and_decays_to_one():
    health = EndpointHealth()
    for _ in range(100):
        health.record(0.0, "look", 1e6, 1e6, 1.0)
    assert 9 < health.latency_ratio_at(0.0) <= 10
    assert health.latency_ratio_at(150_000.0) == pytest.approx(1.0, abs=0.01)


def test_a_peers_observation_weighs_less_the_more_attempts_are_started_here():
    ratios = []
    for own_attempts in (0.0, 9.0):
        detection = OutlierDetection(["look"], LoadReports(()))
        state = EndpointState(endpoint())
        detection.record_attempt(0.0, EndpointState(endpoint()), "look", 8.0)
        (observation,) = detection.recent_observations(0.0)
        detection.record_peer_observations(0.0, (observation,), {observation.endpoint_tag: state}, own_attempts)
        ratios.append(state.health.latency_ratio)
    assert ratios[0] > ratios[1] > 1


def test_a_slow_response_of_a_loaded_endpoint_is_normalized():
    reports = LoadReports(("inflight",))
    idle, loaded = EndpointState(endpoint()), EndpointState(endpoint("s1"))
    for _ in range(200):
        reports.record(0.0, idle, (0.0,))
    reports.record(0.0, loaded, (12.0,))
    assert reports.latency_normalization(0.0, loaded) < 0.4
    assert reports.latency_normalization(1.0, loaded) == 1.0  # the report did not come with that response


# ---- response times ----------------------------------------------------------------------------------


def test_response_times_are_learned_per_size_and_unknown_sizes_use_the_mean_of_the_class():
    times = ResponseTimes()
    times.add_classes((LOOK,))
    for _ in range(300):
        times.record("look", 1, 50.0)
        times.record("look", 4, 200.0)
    assert times.expected_ms("look", 1) == pytest.approx(50, abs=1)
    assert times.expected_ms("look", 4) == pytest.approx(200, abs=1)
    assert 50 < times.expected_ms("look", 2) < 200


def test_the_time_reserved_for_a_response_is_bounded_by_the_objective():
    times = ResponseTimes()
    times.add_classes((LOOK,))
    for _ in range(500):
        times.record("look", 1, 60_000.0)
    assert times.reserved_ms(LOOK, 1) == RESPONSE_FRACTION * LOOK.latency_objective_ms
