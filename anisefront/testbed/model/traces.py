"""Recorded traffic: read, described, cut, merged, scaled. Free of I/O but for `load`."""

from __future__ import annotations

import bisect
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

import numpy as np

from anisefront.protocols import trace

_BLOCK_RECORDS = 5000


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request of a trace. Times in milliseconds from the trace's begin."""

    at: float
    customer: str
    class_name: str
    plan: str
    units: float
    left: float
    gateway: int  # -1: any
    is_retry: bool = False
    copies: bool = True  # its way allows two attempts out at once


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt that ended, as its gatekeeper saw it. Times in milliseconds from the trace's begin."""

    at: float
    worker: str
    class_name: str
    units: float
    result: str
    took: float
    started: float  # when the worker started, by the trace's clock; 0: long ago


@dataclass(slots=True)
class Trace:
    """What one or more gatekeepers recorded, in order of time."""

    arrivals: list[Arrival] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)
    waits: list[tuple[float, float]] = field(default_factory=list)  # of first attempts: when, and how long
    answers: Counter[str] = field(default_factory=Counter)
    begin: float = 0.0  # Unix milliseconds
    end: float = 0.0
    problems: list[str] = field(default_factory=list)


def load(paths: Iterable[str]) -> Trace:
    """The trace in some files, each one gatekeeper's; their clocks are set by the fleet lists that all saw."""
    return merge([(path, trace.decode_file(_bytes(path))) for path in paths])


def _bytes(path: str) -> bytes:
    with open(path, "rb") as file:
        return file.read()


def merge(read: list[tuple[str, tuple[list[trace.Record], str]]]) -> Trace:
    """One trace of several. Instances whose clocks differ are moved by what their shared fleet lists tell.

    It holds as much as the files do: the callers choose these."""
    out, first, rows = Trace(), None, []
    for place, (path, (records, fault)) in enumerate(read):
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
        instance = _Instance()
        rows += [(each[1] + skew, place, number, instance, each) for number, each in enumerate(records)]
    rows.sort(key=lambda row: row[:3])
    if not rows:
        return out
    out.begin, out.end = rows[0][0], rows[-1][0]
    for at, _, _, instance, record in rows:
        instance.take(out, at - out.begin, record)
    return out


class _Instance:
    """One gatekeeper's records, taken in order: what is needed to put ends to their sends."""

    def __init__(self) -> None:
        self._gateway = 0
        self._arrivals: dict[int, tuple[float, str, float]] = {}
        self._sends: dict[int, list[tuple[float, str]]] = {}
        self._started: dict[str, float] = {}

    def take(self, out: Trace, at: float, record: trace.Record) -> None:
        kind = record[0]
        if kind == "life":
            self._gateway = record[2]
            self._arrivals.clear()
            self._sends.clear()
        elif kind == "fleet":
            self._started = {row[0]: row[4] - out.begin if row[4] else 0.0 for row in record[2]}
        elif kind == "arrive":
            name, customer, class_name, plan, units, left, repeat = record[2:9]
            self._arrivals[name] = (at, class_name, units)
            copies = bool(record[9]) if len(record) > 9 else True
            gateway = record[10] if len(record) > 10 else self._gateway
            out.arrivals.append(Arrival(at, customer, class_name, plan, units, left, gateway, bool(repeat), copies))
        elif kind == "send":
            if record[2] in self._arrivals and record[2] not in self._sends:
                out.waits.append((at, at - self._arrivals[record[2]][0]))
            self._sends.setdefault(record[2], []).append((at, record[4]))
        elif kind == "end":
            sends = self._sends.get(record[2], ())
            if record[2] in self._arrivals and record[3] < len(sends):
                sent, worker = sends[record[3]]
                _, class_name, units = self._arrivals[record[2]]
                out.attempts.append(
                    Attempt(sent, worker, class_name, units, record[4], record[5], self._started.get(worker, 0.0))
                )
        elif kind == "answer":
            out.answers[record[3]] += 1
        elif kind == "tried":
            _, _, worker, class_name, units, result, took, started = record
            out.attempts.append(Attempt(at, worker, class_name, units, result, took, started and started - out.begin))
        elif kind == "totals":
            out.answers.update(record[2])


def cut(whole: Trace, begin_ms: float, end_ms: float) -> Trace:
    """The part between two times from the trace's begin."""
    times = [each.at for each in whole.arrivals]
    low, high = bisect.bisect_left(times, begin_ms), bisect.bisect_left(times, end_ms)
    moved = [replace(each, at=each.at - begin_ms) for each in whole.arrivals[low:high]]
    tried = [
        replace(each, at=each.at - begin_ms, started=each.started and each.started - begin_ms)
        for each in whole.attempts
        if begin_ms <= each.at < end_ms
    ]
    return Trace(moved, tried, [], Counter(), whole.begin + begin_ms, whole.begin + end_ms, list(whole.problems))


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
            arrivals.append(
                replace(each, at=(each.at + shift) % length, customer=name, gateway=each.gateway if copy == 0 else -1)
            )
    arrivals.sort(key=lambda each: each.at)
    return replace(whole, arrivals=arrivals, problems=list(whole.problems))


def describe(whole: Trace) -> dict[str, object]:
    """What a trace holds, in plain values; `dispersion` is the variance over the mean of arrivals a second, 1 for
    arrivals by pure chance, and more the burstier they are."""
    seconds = max(0.001, (whole.end - whole.begin) / 1000)
    counts = (
        np.bincount([int(each.at // 1000) for each in whole.arrivals], minlength=max(1, int(seconds)))
        if whole.arrivals
        else np.zeros(1)
    )
    customers = Counter(each.customer for each in whole.arrivals)
    most = customers.most_common(1)[0][1] / len(whole.arrivals) if customers else 0.0
    longest = max((b.at - a.at for a, b in zip(whole.arrivals, whole.arrivals[1:], strict=False)), default=0.0)
    return {
        "seconds": round(seconds, 1),
        "arrivals": len(whole.arrivals),
        "customers": len(customers),
        "a_second": round(len(whole.arrivals) / seconds, 2),
        "dispersion": round(float(counts.var() / counts.mean()), 2) if counts.mean() else 0.0,
        "largest_customer": round(most, 3),
        "longest_gap_s": round(longest / 1000, 1),
        "classes": dict(Counter(each.class_name for each in whole.arrivals)),
        "plans": dict(Counter(each.plan for each in whole.arrivals)),
        "answers": dict(whole.answers),
        "problems": whole.problems,
    }


def written(whole: Trace) -> bytes:
    """The trace as a file of one instance's records; what `load` reads back."""
    records: list[trace.Record] = [["life", whole.begin, -1, "merged"]]
    rows: list[tuple[float, int, trace.Record]] = []
    for number, each in enumerate(whole.arrivals, 1):
        rows.append(
            (
                each.at,
                0,
                [
                    "arrive",
                    whole.begin + each.at,
                    number,
                    each.customer,
                    each.class_name,
                    each.plan,
                    each.units,
                    each.left,
                    int(each.is_retry),
                    int(each.copies),
                    each.gateway,
                ],
            )
        )
    for each in whole.attempts:
        rows.append(
            (
                each.at,
                1,
                [
                    "tried",
                    whole.begin + each.at,
                    each.worker,
                    each.class_name,
                    each.units,
                    each.result,
                    round(each.took, 2),
                    whole.begin + each.started if each.started else 0,
                ],
            )
        )
    rows.sort(key=lambda row: row[:2])
    records += [row[2] for row in rows]
    records.append(["totals", whole.end, dict(whole.answers)])
    out = [trace.FILE_HEADER]
    for at in range(0, len(records), _BLOCK_RECORDS):
        out.append(trace.encode_block(records[at : at + _BLOCK_RECORDS]))
    return b"".join(out)


def anonymised(whole: Trace, key: bytes) -> Trace:
    """Other pseudonyms for customers, workers by number; rhythms and figures stay."""
    names: dict[str, str] = {}
    workers: dict[str, str] = {}
    for each in whole.arrivals:
        if each.customer not in names:
            names[each.customer] = trace.pseudonym(key, each.customer)
    for each in whole.attempts:
        workers.setdefault(each.worker, f"worker-{len(workers)}")
    return replace(
        whole,
        arrivals=[replace(each, customer=names[each.customer]) for each in whole.arrivals],
        attempts=[replace(each, worker=workers[each.worker]) for each in whole.attempts],
        problems=[],
    )
