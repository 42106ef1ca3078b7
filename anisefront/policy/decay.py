"""Exponential decay for counts and levels that weight recent events most.

A counter that is multiplied by `decay_factor` as time passes and incremented at each event holds, in steady state, the
number of events in one time constant.
"""

from __future__ import annotations

import math


def decay_factor(elapsed_ms: float, time_constant_ms: float) -> float:
    """Return the fraction of a count that remains after the elapsed time."""
    return math.exp(-elapsed_ms / time_constant_ms)


def rate_per_s(decayed_count: float, time_constant_ms: float) -> float:
    """Return the rate of events that corresponds to a decayed count with this time constant."""
    return decayed_count * 1000 / time_constant_ms
