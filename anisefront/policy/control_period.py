"""Constants of the control period, at whose end shares, limits and counters are adjusted."""

from __future__ import annotations

PERIOD_MS = 100.0  # short, since a share changes by at most `OUTPUT_GAIN` per period
MIN_SAMPLES = 5  # with fewer samples in a period, a measurement is complemented by other data
EWMA_GAIN = 0.05  # weight of a new sample in exponentially weighted moving averages
RATE_TIME_CONSTANT_MS = 1000.0  # decay of the counts of attempts and responses
