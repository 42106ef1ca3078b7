"""Least squares with errors: what one measure costs by the size of one axis. Free of I/O.

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
    """The fit through some sizes, of the same lengths; errors are standard errors, 0 where no degree is left.

    `ValueError` where there are fewer sizes than coefficients."""
    degree = 2 if model == "quadratic" else 1
    if model == "inverse":
        sizes = [1 / size for size in sizes]
    if len(set(sizes)) <= degree:
        raise ValueError(f"{len(set(sizes))} sizes, a {model} fit needs {degree + 1}")
    # Danger: with sizes as they are, the squares of thousands would drown the rest; all is fitted in parts of the most.
    most = max(abs(size) for size in sizes) or 1.0
    matrix = numpy.vander(numpy.array(sizes, float) / most, degree + 1, increasing=True)
    found, *_ = numpy.linalg.lstsq(matrix, numpy.array(values, float), rcond=None)
    rest = numpy.array(values, float) - matrix @ found
    free = len(sizes) - degree - 1
    spread = float(rest @ rest) / free if free else 0.0
    errors = numpy.sqrt(numpy.maximum(0.0, numpy.diag(spread * numpy.linalg.pinv(matrix.T @ matrix))))
    total = float(numpy.sum((numpy.array(values, float) - numpy.mean(values)) ** 2))
    scale = [most**power for power in range(degree + 1)]
    figures = [float(each) / by for each, by in zip(found, scale, strict=True)]
    doubts = [float(each) / by for each, by in zip(errors, scale, strict=True)]
    more = {"c": figures[2], "err_c": doubts[2]} if degree == 2 else {}
    return Fit(
        MODELS[model],
        figures[0],
        figures[1],
        doubts[0],
        doubts[1],
        1.0 - float(rest @ rest) / total if total else 1.0,
        **more,
    )


def at(found: Fit, size: float) -> float:
    """What a fit says of a size."""
    if found.model == MODELS["inverse"]:
        size = 1 / size
    return found.a + found.b * size + found.c * size * size


def ratio(predicted: float, measured: float) -> float | None:
    """Measured against predicted; None where the prediction is nothing or below it."""
    return measured / predicted if predicted > 0 and math.isfinite(measured) else None
