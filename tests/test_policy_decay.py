"""Exponential decay."""

import math

import pytest

from anisefront.policy.decay import decay_factor, rate_per_s


def test_nothing_decays_in_no_time():
    assert decay_factor(0.0, 1000.0) == 1.0


def test_after_one_time_constant_1_over_e_remains():
    assert decay_factor(1000.0, 1000.0) == math.exp(-1)


@pytest.mark.parametrize("steps", [1, 7, 100])
def test_decay_does_not_depend_on_how_often_it_is_applied(steps):
    remaining = 1.0
    for _ in range(steps):
        remaining *= decay_factor(700.0 / steps, 300.0)
    assert remaining == pytest.approx(decay_factor(700.0, 300.0))


def test_a_steady_count_corresponds_to_its_rate():
    count = 0.0
    for _ in range(5000):  # one event every 10 ms
        count = count * decay_factor(10.0, 2000.0) + 1
    assert rate_per_s(count, 2000.0) == pytest.approx(100, rel=0.01)
