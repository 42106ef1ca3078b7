"""Generators that do long work in steps, so that requests are handled in between."""

from __future__ import annotations

from collections.abc import Generator
from typing import TypeVar

Value = TypeVar("Value")


def run_to_end(steps: Generator[None, None, Value]) -> Value:
    """Run all steps without interruption, as at the start of a process, and return the result."""
    while True:
        try:
            next(steps)
        except StopIteration as ended:
            return ended.value
