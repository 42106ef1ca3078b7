"""Least-squares fits with standard errors, of one measure by the size of one axis. Free of I/O.

linear     value = a + b * n
quadratic  value = a + b * n + c * n * n
inverse    value = a + b / n
"""

from __future__ import annotations

import math
from collections.abc import Sequence

import numpy

from benchmarks.scale.results import Fit

MODELS = {"linear": "a+b*n", "quadratic": "a+b*n+c*n^2", "inverse": "a+b/n"}


def fit(sizes: Sequence[float], values: Sequence[float], model: str = "linear") -> Fit:
    """Fit a model to values by size; errors are standard errors, 0 without degrees of freedom.

    Raises `ValueError` if there are fewer sizes than coefficients.
    """
    degree = 2 if model == "quadratic" else 1
    if model == "inverse":
        sizes = [1 / size for size in sizes]
    if len(set(sizes)) <= degree:
        raise ValueError(f"{len(set(sizes))} distinct sizes given, a {model} fit needs {degree + 1}")
    # Sizes are scaled by the largest: the squares of thousands would make the matrix ill-conditioned.
    largest = max(abs(size) for size in sizes) or 1.0
    matrix = numpy.vander(numpy.array(sizes, float) / largest, degree + 1, increasing=True)
    coefficients, *_ = numpy.linalg.lstsq(matrix, numpy.array(values, float), rcond=None)
    residuals = numpy.array(values, float) - matrix @ coefficients
    degrees_of_freedom = len(sizes) - degree - 1
    variance = float(residuals @ residuals) / degrees_of_freedom if degrees_of_freedom else 0.0
    errors = numpy.sqrt(numpy.maximum(0.0, numpy.diag(variance * numpy.linalg.pinv(matrix.T @ matrix))))
    total = float(numpy.sum((numpy.array(values, float) - numpy.mean(values)) ** 2))
    scale = [largest**power for power in range(degree + 1)]
    scaled = [float(each) / by for each, by in zip(coefficients, scale, strict=True)]
    scaled_errors = [float(each) / by for each, by in zip(errors, scale, strict=True)]
    quadratic = {"c": scaled[2], "err_c": scaled_errors[2]} if degree == 2 else {}
    return Fit(
        MODELS[model],
        scaled[0],
        scaled[1],
        scaled_errors[0],
        scaled_errors[1],
        1.0 - float(residuals @ residuals) / total if total else 1.0,
        **quadratic,
    )


def at(fitted: Fit, size: float) -> float:
    """Return the value of a fit at a size."""
    if fitted.model == MODELS["inverse"]:
        size = 1 / size
    return fitted.a + fitted.b * size + fitted.c * size * size


def ratio(predicted: float, measured: float) -> float | None:
    """Return measured over predicted; None unless the prediction is positive."""
    return measured / predicted if predicted > 0 and math.isfinite(measured) else None
