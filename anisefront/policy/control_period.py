"""Length of the control period, in which shares, limits and counters are adjusted."""

from __future__ import annotations

PERIOD_MS = 100.0  # short, since one period moves a share by `OUTPUT_GAIN` at most
MIN_SAMPLES = 5  # in one period, below which a gateway instance's own measurements are complemented
EWMA_GAIN = 0.05  # weight of a new sample in exponentially weighted moving averages
RATE_TIME_CONSTANT_MS = 1000.0  # of the counts of attempts and responses
