"""Memory by purpose: how many of each thing are kept, about how many bytes they take, and the cap on them.

Bytes are those of a few samples, each with all that it alone refers to, times the count: an estimate that costs the
same however much is kept.
"""

from __future__ import annotations

import itertools
import sys
from collections.abc import Callable, Iterable, Sized
from dataclasses import dataclass
from enum import Enum
from typing import Any

SAMPLES, MOST_PARTS = 6, 400


@dataclass(frozen=True, slots=True)
class Purpose:
    """One purpose: what is kept for it, and the most that may be (0: bounded by others, as the pages say)."""

    name: str
    kept: Callable[[], Sized]
    most: Callable[[], int] = lambda: 0


def size(thing: Any, shared: tuple[type, ...]) -> int:
    """Bytes of a thing and all that it refers to, but for what has one of these types and for classes and functions."""
    seen: set[int] = set()
    roots = thing if isinstance(thing, tuple) else (thing,)
    stack, total = list(roots), 0
    while stack and len(seen) < MOST_PARTS:
        each = stack.pop()
        own = any(each is root for root in roots) or not isinstance(each, shared)
        if id(each) in seen or not own or isinstance(each, type | Enum) or callable(each):
            continue
        seen.add(id(each))
        total += sys.getsizeof(each)
        if isinstance(each, dict):
            stack += [*itertools.islice(each.keys(), 50), *itertools.islice(each.values(), 50)]
        elif isinstance(each, list | tuple | set | frozenset):
            stack += itertools.islice(each, 50)
        elif not isinstance(each, str | bytes | int | float):
            for kind in type(each).__mro__:
                stack += [getattr(each, name) for name in getattr(kind, "__slots__", ()) if hasattr(each, name)]
            stack += getattr(each, "__dict__", {}).values()
    return total


def samples(kept: Any) -> Iterable[Any]:
    """A few of a collection's things, with their keys where it has such."""
    return itertools.islice(kept.items() if isinstance(kept, dict) else kept, SAMPLES)


def report(purposes: Iterable[Purpose], shared: tuple[type, ...]) -> dict[str, dict[str, int]]:
    """Count, bytes and cap by purpose."""
    out = {}
    for purpose in purposes:
        kept = purpose.kept()
        few = [size(each, shared) for each in samples(kept)]
        each = sum(few) / len(few) if few else 0.0
        out[purpose.name] = {
            "count": len(kept),
            "bytes": round(sys.getsizeof(kept) + each * len(kept)),
            "most": purpose.most(),
        }
    return out
