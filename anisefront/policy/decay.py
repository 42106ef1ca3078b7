"""Exponential decay, for counts and levels in which recent events weigh most.

A counter that is multiplied by `decay_factor` as time passes and incremented with each event holds, in a steady
state, the events of one time constant.
"""

from __future__ import annotations

import math


def decay_factor(elapsed_ms: float, time_constant_ms: float) -> float:
    """Return what remains of 1.0 after the elapsed time."""
    return math.exp(-elapsed_ms / time_constant_ms)


def rate_per_s(decayed_count: float, time_constant_ms: float) -> float:
    """Return the rate of events that a decayed counter of this time constant stands for."""
    return decayed_count * 1000 / time_constant_ms
