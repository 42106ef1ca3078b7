"""Work in steps, so that a long change yields to requests meanwhile."""

from __future__ import annotations

from collections.abc import Generator
from typing import TypeVar

Value = TypeVar("Value")


def run_to_end(steps: Generator[None, None, Value]) -> Value:
    """Run all steps at once, as at the start of a process, and return their result."""
    while True:
        try:
            next(steps)
        except StopIteration as ended:
            return ended.value
