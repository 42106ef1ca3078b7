"""Recorded traffic: read, described, cut, merged, scaled. Without I/O except in `load`."""

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
    """One request of a trace. Times are in milliseconds since the start of the trace."""

    at: float
    customer: str
    class_name: str
    plan: str
    units: float
    remaining_ms: float
    gateway: int  # index of the gateway that received it; -1: any
    is_retry: bool = False
    hedging_allowed: bool = True  # whether its protocol allows two attempts in flight


@dataclass(frozen=True, slots=True)
class Attempt:
    """One ended attempt as its gatekeeper recorded it. Times are in milliseconds since the start of the trace."""

    at: float
    worker: str
    class_name: str
    units: float
    result: str
    duration_ms: float
    started: float  # when the worker started; 0: it has warmed up


@dataclass(slots=True)
class Trace:
    """The records of one or more gatekeepers, in order of time."""

    arrivals: list[Arrival] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)
    waits: list[tuple[float, float]] = field(default_factory=list)  # of first attempts: start and duration of the wait
    answers: Counter[str] = field(default_factory=Counter)
    begin: float = 0.0  # Unix milliseconds
    end: float = 0.0
    problems: list[str] = field(default_factory=list)


def load(paths: Iterable[str]) -> Trace:
    """Load one file for each gatekeeper and merge them, with clocks aligned by the endpoint lists that all received."""
    return merge([(path, trace.decode_file(_bytes(path))) for path in paths])


def _bytes(path: str) -> bytes:
    with open(path, "rb") as file:
        return file.read()


def merge(read: list[tuple[str, tuple[list[trace.Record], str]]]) -> Trace:
    """Merge the records of several files, with clock skew estimated from the endpoint lists that they share.

    All records are held in memory: the callers choose the files.
    """
    out, reference_lists, rows = Trace(), None, []
    for file_index, (path, (records, fault)) in enumerate(read):
        if fault:
            out.problems.append(f"{path}: {fault}; {len(records)} records before it are used")
        lists = {repr(each[2]): each[1] for each in records if each[0] == "fleet"}
        if reference_lists is None:
            reference_lists = lists
        shared = [reference_lists[text] - at for text, at in lists.items() if text in reference_lists]
        skew = float(np.median(shared)) if shared and lists is not reference_lists else 0.0
        if abs(skew) > 1000:
            out.problems.append(f"{path}: its clock is {-skew:.0f} ms ahead of the first file; corrected")
        backward_steps = sum(b[1] < a[1] - 1 for a, b in zip(records, records[1:], strict=False))
        if backward_steps:
            out.problems.append(f"{path}: the clock steps back {backward_steps} times; records are sorted by time")
        instance = _InstanceRecords()
        rows += [(each[1] + skew, file_index, number, instance, each) for number, each in enumerate(records)]
    rows.sort(key=lambda row: row[:3])
    if not rows:
        return out
    out.begin, out.end = rows[0][0], rows[-1][0]
    for at, _, _, instance, record in rows:
        instance.add_record(out, at - out.begin, record)
    return out


class _InstanceRecords:
    """State for converting the records of one gatekeeper in order, which matches ends of attempts to their sends."""

    def __init__(self) -> None:
        self._gateway = 0
        self._arrivals: dict[int, tuple[float, str, float]] = {}
        self._sends: dict[int, list[tuple[float, str]]] = {}
        self._started: dict[str, float] = {}

    def add_record(self, out: Trace, at: float, record: trace.Record) -> None:
        kind = record[0]
        if kind == "life":
            self._gateway = record[2]
            self._arrivals.clear()
            self._sends.clear()
        elif kind == "fleet":
            self._started = {row[0]: row[4] - out.begin if row[4] else 0.0 for row in record[2]}
        elif kind == "arrive":
            request_id, customer, class_name, plan, units, remaining_ms, is_retry = record[2:9]
            self._arrivals[request_id] = (at, class_name, units)
            hedging_allowed = bool(record[9]) if len(record) > 9 else True
            gateway = record[10] if len(record) > 10 else self._gateway
            out.arrivals.append(
                Arrival(at, customer, class_name, plan, units, remaining_ms, gateway, bool(is_retry), hedging_allowed)
            )
        elif kind == "send":
            if record[2] in self._arrivals and record[2] not in self._sends:
                out.waits.append((at, at - self._arrivals[record[2]][0]))
            self._sends.setdefault(record[2], []).append((at, record[4]))
        elif kind == "end":
            sends = self._sends.get(record[2], ())
            if record[2] in self._arrivals and record[3] < len(sends):
                sent_at, worker = sends[record[3]]
                _, class_name, units = self._arrivals[record[2]]
                out.attempts.append(
                    Attempt(sent_at, worker, class_name, units, record[4], record[5], self._started.get(worker, 0.0))
                )
        elif kind == "answer":
            out.answers[record[3]] += 1
        elif kind == "tried":
            _, _, worker, class_name, units, result, duration_ms, started = record
            out.attempts.append(
                Attempt(at, worker, class_name, units, result, duration_ms, started and started - out.begin)
            )
        elif kind == "totals":
            out.answers.update(record[2])


def cut(recording: Trace, begin_ms: float, end_ms: float) -> Trace:
    """Return the part of a trace between two times since its start."""
    times = [each.at for each in recording.arrivals]
    low, high = bisect.bisect_left(times, begin_ms), bisect.bisect_left(times, end_ms)
    moved = [replace(each, at=each.at - begin_ms) for each in recording.arrivals[low:high]]
    attempts = [
        replace(each, at=each.at - begin_ms, started=each.started and each.started - begin_ms)
        for each in recording.attempts
        if begin_ms <= each.at < end_ms
    ]
    return Trace(
        moved, attempts, [], Counter(), recording.begin + begin_ms, recording.begin + end_ms, list(recording.problems)
    )


def scale(recording: Trace, factor: int, seed: int) -> Trace:
    """Multiply the customers of a trace.

    Each copy of a customer has the arrivals of the recorded one, shifted in time and wrapped around, so that its own
    bursts are preserved and bursts of different customers do not coincide.
    """
    rng, length = np.random.default_rng(seed), max(1.0, recording.end - recording.begin)
    shifts: dict[tuple[str, int], float] = {}
    arrivals = []
    for each in recording.arrivals:
        for copy in range(factor):
            shift = shifts.setdefault((each.customer, copy), 0.0 if copy == 0 else float(rng.uniform(0, length)))
            name = each.customer if copy == 0 else f"{each.customer}+{copy}"
            arrivals.append(
                replace(each, at=(each.at + shift) % length, customer=name, gateway=each.gateway if copy == 0 else -1)
            )
    arrivals.sort(key=lambda each: each.at)
    return replace(recording, arrivals=arrivals, problems=list(recording.problems))


def describe(recording: Trace) -> dict[str, object]:
    """Summarize a trace in plain values.

    `dispersion` is the variance of the arrivals per second over their mean: 1 for a Poisson process, and higher for
    bursty arrivals.
    """
    seconds = max(0.001, (recording.end - recording.begin) / 1000)
    counts = (
        np.bincount([int(each.at // 1000) for each in recording.arrivals], minlength=max(1, int(seconds)))
        if recording.arrivals
        else np.zeros(1)
    )
    customers = Counter(each.customer for each in recording.arrivals)
    largest_fraction = customers.most_common(1)[0][1] / len(recording.arrivals) if customers else 0.0
    longest_gap_ms = max(
        (b.at - a.at for a, b in zip(recording.arrivals, recording.arrivals[1:], strict=False)), default=0.0
    )
    return {
        "seconds": round(seconds, 1),
        "arrivals": len(recording.arrivals),
        "customers": len(customers),
        "a_second": round(len(recording.arrivals) / seconds, 2),
        "dispersion": round(float(counts.var() / counts.mean()), 2) if counts.mean() else 0.0,
        "largest_customer": round(largest_fraction, 3),
        "longest_gap_s": round(longest_gap_ms / 1000, 1),
        "classes": dict(Counter(each.class_name for each in recording.arrivals)),
        "plans": dict(Counter(each.plan for each in recording.arrivals)),
        "answers": dict(recording.answers),
        "problems": recording.problems,
    }


def encode_trace(recording: Trace) -> bytes:
    """Encode a trace as a file of one instance, which `load` reads back."""
    records: list[trace.Record] = [["life", recording.begin, -1, "merged"]]
    rows: list[tuple[float, int, trace.Record]] = []
    for number, each in enumerate(recording.arrivals, 1):
        rows.append(
            (
                each.at,
                0,
                [
                    "arrive",
                    recording.begin + each.at,
                    number,
                    each.customer,
                    each.class_name,
                    each.plan,
                    each.units,
                    each.remaining_ms,
                    int(each.is_retry),
                    int(each.hedging_allowed),
                    each.gateway,
                ],
            )
        )
    for each in recording.attempts:
        rows.append(
            (
                each.at,
                1,
                [
                    "tried",
                    recording.begin + each.at,
                    each.worker,
                    each.class_name,
                    each.units,
                    each.result,
                    round(each.duration_ms, 2),
                    recording.begin + each.started if each.started else 0,
                ],
            )
        )
    rows.sort(key=lambda row: row[:2])
    records += [row[2] for row in rows]
    records.append(["totals", recording.end, dict(recording.answers)])
    out = [trace.FILE_HEADER]
    for at in range(0, len(records), _BLOCK_RECORDS):
        out.append(trace.encode_block(records[at : at + _BLOCK_RECORDS]))
    return b"".join(out)


def anonymise(recording: Trace, key: bytes) -> Trace:
    """Return the trace with new pseudonyms for customers and numbers for workers; times and values are unchanged."""
    names: dict[str, str] = {}
    workers: dict[str, str] = {}
    for each in recording.arrivals:
        if each.customer not in names:
            names[each.customer] = trace.pseudonym(key, each.customer)
    for each in recording.attempts:
        workers.setdefault(each.worker, f"worker-{len(workers)}")
    return replace(
        recording,
        arrivals=[replace(each, customer=names[each.customer]) for each in recording.arrivals],
        attempts=[replace(each, worker=workers[each.worker]) for each in recording.attempts],
        problems=[],
    )
