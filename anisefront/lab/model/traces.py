"""Recorded traffic: read, described, cut, merged, scaled. Free of I/O but for `load`."""

from __future__ import annotations

import bisect
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

import numpy as np

from anisefront.wire import trace


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request of a trace. Times in milliseconds from the trace's begin."""

    at: float
    customer: str
    class_name: str
    plan: str
    units: float
    left: float
    gateway: int


@dataclass(slots=True)
class Trace:
    """What one or more gatekeepers recorded, in order of time."""

    arrivals: list[Arrival] = field(default_factory=list)
    took: dict[str, list[float]] = field(default_factory=dict)  # of attempts that were served, by class
    answers: Counter[str] = field(default_factory=Counter)
    begin: float = 0.0  # Unix milliseconds
    end: float = 0.0
    problems: list[str] = field(default_factory=list)


def load(paths: Iterable[str]) -> Trace:
    """The trace in some files, each one gatekeeper's; their clocks are set by the fleet lists that all saw."""
    return merge([(path, trace.read(_bytes(path))) for path in paths])


def _bytes(path: str) -> bytes:
    with open(path, "rb") as file:
        return file.read()


def merge(read: list[tuple[str, tuple[list[trace.Record], str]]]) -> Trace:
    """One trace of several. Instances whose clocks differ are moved by what their shared fleet lists tell."""
    out, first, rows = Trace(), None, []
    for path, (records, fault) in read:
        if fault:
            out.problems.append(f"{path}: {fault}; {len(records)} records before it are used")
        lists = {repr(each[2]): each[1] for each in records if each[0] == "fleet"}
        if first is None:
            first = lists
        shared = [first[text] - at for text, at in lists.items() if text in first]
        skew = float(np.median(shared)) if shared and lists is not first else 0.0
        if abs(skew) > 1000:
            out.problems.append(f"{path}: its clock is {-skew:.0f} ms ahead of the first; moved")
        back = sum(b[1] < a[1] - 1 for a, b in zip(records, records[1:], strict=False))
        if back:
            out.problems.append(f"{path}: the clock steps back {back} times; records are sorted by time")
        rows += [(each[1] + skew, number, each) for number, each in enumerate(records)]
    rows.sort(key=lambda row: row[:2])
    if not rows:
        return out
    out.begin, out.end = rows[0][0], rows[-1][0]
    gateway, classes = 0, {}
    for at, _, record in rows:
        kind = record[0]
        if kind == "life":
            gateway = record[2]
        elif kind == "arrive":
            classes[record[2]] = record[4]
            out.arrivals.append(Arrival(at - out.begin, record[3], record[4], record[5], record[6], record[7], gateway))
        elif kind == "end" and record[4] == "ok":
            out.took.setdefault(classes.get(record[2], ""), []).append(record[5])
        elif kind == "answer":
            out.answers[record[3]] += 1
    return out


def cut(whole: Trace, begin_ms: float, end_ms: float) -> Trace:
    """The part between two times from the trace's begin."""
    times = [each.at for each in whole.arrivals]
    low, high = bisect.bisect_left(times, begin_ms), bisect.bisect_left(times, end_ms)
    moved = [Arrival(e.at - begin_ms, e.customer, e.class_name, e.plan, e.units, e.left, e.gateway)
             for e in whole.arrivals[low:high]]
    return Trace(moved, whole.took, whole.answers, whole.begin + begin_ms, whole.begin + end_ms, list(whole.problems))


def scale(whole: Trace, times: int, seed: int) -> Trace:
    """So many times the customers. Each new one has the rhythm of a recorded one, as a whole moved in time and
    wrapped around, so that its bursts stay its own and customers' bursts do not fall together."""
    rng, length = np.random.default_rng(seed), max(1.0, whole.end - whole.begin)
    shifts: dict[tuple[str, int], float] = {}
    arrivals = []
    for each in whole.arrivals:
        for copy in range(times):
            shift = shifts.setdefault((each.customer, copy), 0.0 if copy == 0 else float(rng.uniform(0, length)))
            name = each.customer if copy == 0 else f"{each.customer}+{copy}"
            arrivals.append(Arrival((each.at + shift) % length, name, each.class_name, each.plan, each.units, each.left,
                                    each.gateway))
    arrivals.sort(key=lambda each: each.at)
    return Trace(arrivals, whole.took, whole.answers, whole.begin, whole.end, list(whole.problems))


def describe(whole: Trace) -> dict[str, object]:
    """What a trace holds, in plain values; `dispersion` is the variance over the mean of arrivals a second, 1 for
    arrivals by pure chance, and more the burstier they are."""
    seconds = max(0.001, (whole.end - whole.begin) / 1000)
    counts = np.bincount([int(each.at // 1000) for each in whole.arrivals], minlength=max(1, int(seconds))) \
        if whole.arrivals else np.zeros(1)
    customers = Counter(each.customer for each in whole.arrivals)
    most = customers.most_common(1)[0][1] / len(whole.arrivals) if customers else 0.0
    longest = max((b.at - a.at for a, b in zip(whole.arrivals, whole.arrivals[1:], strict=False)), default=0.0)
    return {"seconds": round(seconds, 1), "arrivals": len(whole.arrivals), "customers": len(customers),
            "a_second": round(len(whole.arrivals) / seconds, 2),
            "dispersion": round(float(counts.var() / counts.mean()), 2) if counts.mean() else 0.0,
            "largest_customer": round(most, 3), "longest_gap_s": round(longest / 1000, 1),
            "classes": dict(Counter(each.class_name for each in whole.arrivals)),
            "plans": dict(Counter(each.plan for each in whole.arrivals)), "answers": dict(whole.answers),
            "problems": whole.problems}
