"""Mamdani fuzzy PI controller that sets the share of one request class in the concurrency limit.

It implements the absolute delay guarantee of "Incorporate intelligence into the differentiated services strategies of
a Web server" (Loudini, Rezig, Yahia Salhi), called the paper in other modules. The inputs are the error of the
queueing delay and the change of that error, the output is the change of the share. The rule base is Table 6 of the
paper, the scaling factors are in its Table 7.

Difference from the paper: a share is not reduced while its class's delay is below the target.
"""

from __future__ import annotations

import functools

# Scaling factors (paper, Table 7).
ERROR_GAIN = 0.4  # per second of error
CHANGE_GAIN = 3.0  # per second by which the error changes in a control period
OUTPUT_GAIN = 0.01  # change of the share for an output of 1

SET_CENTRES = (-1.0, -0.5, 0.0, 0.5, 1.0)  # of the fuzzy sets NB, NM, ZE, PM, PB: negative big to positive big
SET_SPACING = SET_CENTRES[1] - SET_CENTRES[0]
ZERO_SET = len(SET_CENTRES) // 2
OUTPUT_STEPS = 20  # samples of the output on each side of zero
INPUT_DIGITS = 2  # inputs are rounded to these decimal places, which bounds the cache of results
MIN_SHARE = 0.05  # prevents starvation of a class


def membership_degrees(value: float) -> list[float]:
    """Return the degree of membership of a value in each fuzzy set: triangles, of which neighbours overlap by half."""
    value = max(-1.0, min(1.0, value))
    return [max(0.0, 1 - abs(value - centre) / SET_SPACING) for centre in SET_CENTRES]


OUTPUT_SAMPLES = [
    (step / OUTPUT_STEPS, membership_degrees(step / OUTPUT_STEPS)) for step in range(-OUTPUT_STEPS, OUTPUT_STEPS + 1)
]


@functools.cache  # the most expensive step of an overloaded gateway instance, with few distinct inputs
def infer_output(error: float, change: float) -> float:
    """Return the output for scaled inputs, all within [-1, 1].

    Max-min inference over the diagonal rule base (paper, Table 6), defuzzified by the centre of gravity.
    """
    activation = [0.0] * len(SET_CENTRES)
    for i, error_degree in enumerate(membership_degrees(error)):
        for j, change_degree in enumerate(membership_degrees(change)):
            output_set = max(0, min(len(SET_CENTRES) - 1, i + j - ZERO_SET))
            activation[output_set] = max(activation[output_set], min(error_degree, change_degree))
    moment = 0.0
    area = 0.0
    for value, degrees in OUTPUT_SAMPLES:
        height = max(map(min, activation, degrees))
        moment += value * height
        area += height
    return moment / area


class FuzzyController:
    """Controller of one class's share, which grows while the class's queueing delay exceeds its target."""

    __slots__ = ("share", "_previous_error_s", "_target_delay_s")

    def __init__(self, target_delay_ms: float, share: float) -> None:
        """Start with this target of the queueing delay and this share."""
        self.share = share
        self._target_delay_s = target_delay_ms / 1000
        self._previous_error_s: float | None = None

    def set_target_delay_ms(self, target_delay_ms: float) -> None:
        """Set the target of the mean queueing delay."""
        self._target_delay_s = target_delay_ms / 1000

    def end_period(self, delay_ms: float) -> None:
        """Adjust the share to the mean queueing delay of a control period."""
        error = self._target_delay_s - delay_ms / 1000
        change = 0.0 if self._previous_error_s is None else error - self._previous_error_s
        self._previous_error_s = error
        if error >= 0 and change >= 0:
            return  # the output would not be negative, so it would reduce the share
        scaled_error = round(ERROR_GAIN * error, INPUT_DIGITS)
        scaled_change = round(CHANGE_GAIN * change, INPUT_DIGITS)
        reduction = OUTPUT_GAIN * infer_output(scaled_error, scaled_change)
        if reduction < 0 or error < 0:
            self.share = min(1.0, max(MIN_SHARE, self.share - reduction))
