"""Audits the five rules, using only the records of the traffic at the simulated proxies, workers and clients.

This module imports nothing of the project, so that shared code can't hide a defect of an instance. The verdict on each
rule gives the number of examined cases, the violations, and how close the closest other case came to the limit.
"""

from __future__ import annotations

import bisect
import json
from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

RESPONSE_SLACK_MS = 150.0  # past the client's deadline: time for the response to arrive on a busy machine
TRANSIT_MS = 100.0  # a request sent before a response may still reach a worker this much later
DISCOVERY_MS = 300.0  # from the writing of an endpoint list until an instance has read it


@dataclass(slots=True)
class Verdict:
    """The verdict on one rule: examined cases, breaches as text, and the nearest miss as a fraction of the limit."""

    rule: str
    cases: int = 0
    breaches: list[str] = field(default_factory=list)
    nearest: float = 0.0  # 1.0 is the limit
    nearest_what: str = ""

    def near(self, fraction: float, what: str) -> None:
        """Record how much of the limit a case used that kept the rule."""
        if fraction > self.nearest:
            self.nearest, self.nearest_what = fraction, what


Records = list[dict[str, Any]]


def load(folder: Path) -> dict[str, Records]:
    """Return the records of a run by file name, sorted by time."""
    records_by_file = {}
    for name in ("clients", "workers", "proxies", "day"):
        with (folder / f"{name}.jsonl").open() as file:
            records_by_file[name] = sorted((json.loads(line) for line in file), key=lambda record: record["at"])
    return records_by_file


def of_kinds(records: Records, *kinds: str) -> Records:
    """Return the records of the given kinds."""
    return [record for record in records if record["kind"] in kinds]


class Auditor:
    """Applies the five rules to the records of a run. Times are in milliseconds."""

    def __init__(self, records: dict[str, Records], drain_grace_ms: float = 1000.0) -> None:
        """Index the records of a run, as returned by `load`."""
        self.records, self.drain_grace_ms = records, drain_grace_ms
        self.tries = {record["id"]: record for record in of_kinds(records["clients"], "try")}
        self.answers: dict[str, Records] = defaultdict(list)
        for record in of_kinds(records["clients"], "answer"):
            self.answers[record["id"]].append(record)
        self.workers = records["workers"]
        self.arrivals: dict[str, Records] = defaultdict(list)
        for record in of_kinds(self.workers, "arrive"):
            self.arrivals[record["id"]].append(record)
        self.classes = {record["name"]: record for record in of_kinds(records["day"], "class")}
        self.downtimes = self._find_downtimes()
        self.stalls = [(record["since"], record["until"], record["ms"]) for record in of_kinds(records["day"], "stood")]
        self._stall_ends = [until for _, until, _ in self.stalls]
        self.blocked_spans = self._find_blocked_spans()
        self.excused: list[str] = []  # cases that stalls of the machine excuse, as text

    def _find_downtimes(self) -> dict[int, list[tuple[float, float]]]:
        """Return the spans in which each instance was frozen or dead, and so could not respond."""
        spans: dict[int, list[tuple[float, float]]] = defaultdict(list)
        down_since: dict[int, float] = {}
        for record in of_kinds(self.records["day"], "gatekeeper_down", "frozen", "thawed", "gatekeeper_up"):
            number = record["number"]
            if record["kind"] in ("gatekeeper_down", "frozen"):
                down_since.setdefault(number, record["at"])
            elif number in down_since:
                spans[number].append((down_since.pop(number), record["at"]))
        for number, at in down_since.items():
            spans[number].append((at, float("inf")))
        return spans

    def _was_down(self, number: int, since: float, until: float) -> bool:
        return any(start <= until and since <= end for start, end in self.downtimes[number])

    def _find_blocked_spans(self) -> dict[int, list[tuple[float, float]]]:
        """Return the spans in which each instance was blocked in a call, in order of time."""
        spans: dict[int, list[tuple[float, float]]] = defaultdict(list)
        for record in of_kinds(self.records["day"], "blocked"):
            spans[record["number"]].append((record["since"], record["until"]))
        return spans

    def _blocked_ms(self, number: int, since: float, until: float) -> float:
        """Return for how long an instance was blocked in a call between two times."""
        spans = self.blocked_spans.get(number, [])
        total = 0.0
        for index in range(bisect.bisect_left(spans, since, key=lambda span: span[1]), len(spans)):
            start, end = spans[index]
            if start > until:
                break
            total += min(end, until) - max(start, since)
        return total

    def machine_ms(self, number: int, since: float, until: float) -> float:
        """Return for how long the machine kept an instance, or the test bed's own process, from running.

        The kernel measures both per sample; if both were stalled in one sample, the longer stall counts. Time that an
        instance spends on its own work does not count, nor do stalls of the test bed's process while the instance was
        blocked in a call: it would not have responded sooner had the test bed's process had a core.
        """
        total = 0.0
        for index in range(bisect.bisect_left(self._stall_ends, since), len(self.stalls)):
            start, end, ms = self.stalls[index]
            if start > until:
                break
            start, end = max(start, since), min(end, until)
            unblocked = end - start - self._blocked_ms(number, start, end)
            test_bed_ms = min(unblocked, ms.get("lab", 0.0))
            total += min(max(0.0, end - start), max(0.0, test_bed_ms, ms.get(str(number), 0.0)))
        return total

    def timeline(self, name: str) -> str:
        """Describe the recorded events of a request, with their times in milliseconds after it was sent."""
        start = self.tries[name]["at"]
        rows = [(record["at"], event) for event, records in (("answer", self.answers[name]),) for record in records]
        rows += [
            (record["at"], f"{record['kind']} at {record['worker']}")
            for record in self.workers
            if record.get("id") == name
        ]
        rows += [(record["at"], record["kind"]) for record in self.records["proxies"] if record.get("id") == name]
        rows += [
            (until, f"stalled {ms}")
            for since, until, ms in self.stalls
            if until >= start and since <= max((row[0] for row in rows), default=start)
        ]
        return "; ".join(f"{at - start:+.0f} {what}" for at, what in sorted(rows))

    def judge(self) -> list[Verdict]:
        """Return the verdicts in the order of the rules."""
        return [self.one_answer(), self.no_effect_twice(), self.drains(), self.cold(), self.ceilings()]

    def one_answer(self) -> Verdict:
        """Check that each request gets one final response in time, and no attempt reaches a worker afterwards."""
        verdict = Verdict("one final answer in time")
        for name, request in self.tries.items():
            verdict.cases += 1
            answers = self.answers[name]
            if len(answers) != 1:
                verdict.breaches.append(f"{name}: {len(answers)} final answers")
                continue
            answer, was_down = answers[0], self._was_down(request["gatekeeper"], request["at"], request["due"])
            late_ms = answer["at"] - request["due"]
            stall_ms = self.machine_ms(request["gatekeeper"], request["at"], answer["at"]) if late_ms > 0 else 0.0
            if late_ms > RESPONSE_SLACK_MS >= late_ms - stall_ms and not was_down:
                self.excused.append(
                    f"{name}: answered {late_ms:.0f} ms after its deadline, {stall_ms:.0f} ms of them while "
                    "the machine did not let it run"
                )
            late_ms -= stall_ms
            if answer["how"] == "none" and stall_ms and late_ms <= RESPONSE_SLACK_MS:
                continue  # the client timed out during a stall of the machine, so its response is unknown
            if answer["how"] in ("lost", "none") and not was_down:
                verdict.breaches.append(f"{name}: ended as {answer['how']!r} at a running instance")
            elif late_ms > RESPONSE_SLACK_MS and not was_down:
                verdict.breaches.append(f"{name}: answered {late_ms:.0f} ms after its deadline: {self.timeline(name)}")
            elif not was_down:
                allowed = request["due"] + RESPONSE_SLACK_MS - request["at"]
                verdict.near((answer["at"] - request["at"]) / allowed, f"{name}: {-late_ms:.0f} ms before its deadline")
            for arrival in self.arrivals[name]:
                after_ms = arrival["at"] - answer["at"]
                if after_ms > TRANSIT_MS:
                    after_ms -= self.machine_ms(request["gatekeeper"], answer["at"], arrival["at"])
                if after_ms > TRANSIT_MS and answer["how"] in ("served", "refused", "failed"):
                    verdict.breaches.append(
                        f"{name}: an attempt arrived {after_ms:.0f} ms after its response ({answer['how']})"
                    )
        return verdict

    def no_effect_twice(self) -> Verdict:
        """Check that no request takes effect more often than its class allows, and that refused ones have no effect."""
        verdict = Verdict("no effect twice")
        runs: dict[str, Records] = defaultdict(list)
        for record in of_kinds(self.workers, "run"):
            runs[record["id"]].append(record)
        runs_by_request: dict[str, Records] = defaultdict(list)
        for name, request in self.tries.items():
            request_class = self.classes[request["cls"]]
            if request_class["repeat"] == "safe":
                continue
            verdict.cases += 1
            runs_by_request[request["wish"]] += runs[name]
            refused = any(answer["how"] == "refused" for answer in self.answers[name])
            if refused and runs[name]:
                verdict.breaches.append(f"{name} ({request['cls']}): refused as safe to repeat, but it ran")
            if request_class["repeat"] == "keyed" and len(self.arrivals[name]) > 1:
                groups = {
                    arrival[request_class["scope"]] if request_class["scope"] != "all" else ""
                    for arrival in self.arrivals[name]
                    if arrival["at"] >= (runs[name] or [{"at": float("inf")}])[0]["at"]
                }
                verdict.near(len(groups) / 2, f"{name}: its repeats stayed in one deduplication group")
        for request_id, effects in runs_by_request.items():
            if len(effects) > 1:
                locations = ", ".join(f"{run['worker']} of {run['cell']}" for run in effects)
                verdict.breaches.append(f"{request_id}: {len(effects)} effects, at {locations}")
        return verdict

    def drains(self) -> Verdict:
        """Check that no attempt reaches a drained worker after the discovery delay and the grace period."""
        verdict = Verdict("drains kept")
        drained_at: dict[str, float] = {}
        listed: set[str] = set()
        for record in of_kinds(self.records["day"], "roster"):
            ready = set(record["ready"])
            for worker in (listed - ready) | set(record["draining"]):
                drained_at.setdefault(worker, record["at"])
            listed |= ready
        down_spans = [span for spans in self.downtimes.values() for span in spans]
        allowed = DISCOVERY_MS + self.drain_grace_ms
        for arrivals in self.arrivals.values():
            for arrival in arrivals:
                if arrival["worker"] not in drained_at:
                    continue
                verdict.cases += 1
                after_ms = arrival["at"] - drained_at[arrival["worker"]]
                # A frozen instance reads the endpoint list when it resumes.
                wake_up_ms = max(
                    [
                        end - drained_at[arrival["worker"]]
                        for start, end in down_spans
                        if start <= drained_at[arrival["worker"]] + DISCOVERY_MS <= end
                    ],
                    default=0.0,
                )
                if after_ms > allowed + wake_up_ms:
                    sender = self.tries[arrival["id"]]["gatekeeper"] if arrival["id"] in self.tries else -1
                    after_ms -= self.machine_ms(sender, drained_at[arrival["worker"]], arrival["at"])
                if after_ms > allowed + wake_up_ms:
                    verdict.breaches.append(
                        f"{arrival['id']}: reached {arrival['worker']} {after_ms:.0f} ms after it was drained"
                    )
                else:
                    verdict.near(after_ms / allowed, f"{arrival['id']}: {after_ms:.0f} ms after the endpoint list")
        return verdict

    def cold(self) -> Verdict:
        """Check that no cold worker is sent more, in any window, than the given multiple of its capacity."""
        verdict = Verdict("cold workers not pushed over")
        cold_workers = {record["worker"]: record for record in of_kinds(self.workers, "worker") if record["cold"]}
        verdict.breaches += [f"{record['worker']} collapsed under load" for record in of_kinds(self.workers, "fall")]
        work: dict[str, list[tuple[float, float]]] = defaultdict(list)
        for record in of_kinds(self.workers, "arrive"):
            worker = cold_workers.get(record["worker"])
            if worker is None or record["at"] - worker["at"] > worker["warm_up_ms"]:
                continue
            verdict.cases += 1
            recent = [entry for entry in work[record["worker"]] if record["at"] - entry[0] <= worker["fall_window_ms"]]
            recent.append((record["at"], float(record["units"]) * worker["service_ms"]))
            work[record["worker"]] = recent
            age = (record["at"] - worker["at"]) / worker["warm_up_ms"]
            fraction = worker["cold_from"] + (1 - worker["cold_from"]) * age
            budget = worker["fall_multiple"] * fraction * worker["cores"] * worker["fall_window_ms"]
            load_ratio = sum(entry[1] for entry in recent) / budget
            if load_ratio > 1 and not any(record["worker"] in breach for breach in verdict.breaches):
                verdict.breaches.append(f"{record['worker']}: sent {load_ratio:.2f} times the limit of a cold worker")
            verdict.near(load_ratio, record["worker"])
        return verdict

    def ceilings(self) -> Verdict:
        """Check that the forwarded requests of a customer stay within its plan's ceiling, plus the slack."""
        verdict = Verdict("ceilings kept")
        plans = {record["name"]: record for record in of_kinds(self.records["day"], "plan") if record["ceiling"]}
        first_arrivals: dict[str, list[tuple[float, float]]] = defaultdict(list)
        for name, request in self.tries.items():
            if request["plan"] in plans and self.arrivals[name]:
                first_arrivals[request["customer"]].append((self.arrivals[name][0]["at"], float(request["units"])))
        plan_of = {request["customer"]: request["plan"] for request in self.tries.values()}
        for customer, arrivals in first_arrivals.items():
            plan = plans[plan_of[customer]]
            level, previous_at = plan["ceiling_burst"], None
            for at, units in sorted(arrivals):
                if previous_at is not None:
                    level = min(plan["ceiling_burst"], level + plan["ceiling"] * (at - previous_at) / 1000)
                previous_at, level = at, level - units
                verdict.cases += 1
                if level < -plan["ceiling_slack"]:
                    verdict.breaches.append(f"{customer}: {-level:.1f} units over its ceiling")
                allowance = plan["ceiling_burst"] + plan["ceiling_slack"]
                verdict.near((plan["ceiling_burst"] - level) / allowance, customer)
        return verdict

    def summary(self) -> dict[str, int]:
        """Return the number of requests by outcome."""
        counts: dict[str, int] = defaultdict(int)
        for answers in self.answers.values():
            for answer in answers[:1]:
                counts[answer["how"]] += 1
        return dict(sorted(counts.items()))
