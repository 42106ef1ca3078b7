"""Judges the five rules from what crossed the stand-ins' sockets, and from nothing else.

It imports nothing of the project, so that no fault of the gatekeeper can hide in shared code. Each rule says how
many cases it examined, what broke it, and how near the nearest of the others came.
"""

from __future__ import annotations

import bisect
import json
from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ANSWER_SLACK_MS = 150.0  # after the client's time: what the way back may take on a busy machine
WAY_MS = 100.0  # what was sent before an answer may reach a worker so much later
TOLD_MS = 300.0  # from a roster being written to a gatekeeper having read it


@dataclass(slots=True)
class Verdict:
    """One rule: cases examined, breaches in words, and the nearest miss as a share of what is allowed."""

    rule: str
    cases: int = 0
    breaches: list[str] = field(default_factory=list)
    nearest: float = 0.0  # 1.0 is the limit
    nearest_what: str = ""

    def near(self, share: float, what: str) -> None:
        """Note a case that kept the rule, and by how much."""
        if share > self.nearest:
            self.nearest, self.nearest_what = share, what


Records = list[dict[str, Any]]


def load(folder: Path) -> dict[str, Records]:
    """The records of a day, each kind in order of time."""
    out = {}
    for name in ("clients", "workers", "proxies", "day"):
        with (folder / f"{name}.jsonl").open() as file:
            out[name] = sorted((json.loads(line) for line in file), key=lambda record: record["at"])
    return out


def of_kinds(records: Records, *kinds: str) -> Records:
    """The records of these kinds."""
    return [record for record in records if record["kind"] in kinds]


class Auditor:
    """The five rules over one day's records. Times are milliseconds."""

    def __init__(self, records: dict[str, Records], drain_grace_ms: float = 1000.0) -> None:
        self.records, self.grace_ms = records, drain_grace_ms
        self.tries = {record["id"]: record for record in of_kinds(records["clients"], "try")}
        self.answers: dict[str, Records] = defaultdict(list)
        for record in of_kinds(records["clients"], "answer"):
            self.answers[record["id"]].append(record)
        self.workers = records["workers"]
        self.arrivals: dict[str, Records] = defaultdict(list)
        for record in of_kinds(self.workers, "arrive"):
            self.arrivals[record["id"]].append(record)
        self.classes = {record["name"]: record for record in of_kinds(records["day"], "class")}
        self.away = self._away()
        self.stood = [(record["since"], record["until"], record["ms"]) for record in of_kinds(records["day"], "stood")]
        self._stood_until = [until for _, until, _ in self.stood]
        self.blocked = self._blocked()
        self.excused: list[str] = []  # what the machine's own stalls account for, in words

    def _away(self) -> dict[int, list[tuple[float, float]]]:
        """When each gatekeeper was frozen or dead: it was not running, so it owed nobody an answer then."""
        spans: dict[int, list[tuple[float, float]]] = defaultdict(list)
        began: dict[int, float] = {}
        for record in of_kinds(self.records["day"], "gatekeeper_down", "frozen", "thawed", "gatekeeper_up"):
            number = record["number"]
            if record["kind"] in ("gatekeeper_down", "frozen"):
                began.setdefault(number, record["at"])
            elif number in began:
                spans[number].append((began.pop(number), record["at"]))
        for number, at in began.items():
            spans[number].append((at, float("inf")))
        return spans

    def _was_away(self, number: int, since: float, until: float) -> bool:
        return any(start <= until and since <= end for start, end in self.away[number])

    def _blocked(self) -> dict[int, list[tuple[float, float]]]:
        """When each gatekeeper was blocked in a call, in order of time: it slept of its own doing, look by look."""
        spans: dict[int, list[tuple[float, float]]] = defaultdict(list)
        for record in of_kinds(self.records["day"], "blocked"):
            spans[record["number"]].append((record["since"], record["until"]))
        return spans

    def _blocked_ms(self, number: int, since: float, until: float) -> float:
        """For how long within a time a gatekeeper was blocked in a call."""
        spans = self.blocked.get(number, [])
        total = 0.0
        for at in range(bisect.bisect_left(spans, since, key=lambda span: span[1]), len(spans)):
            start, end = spans[at]
            if start > until:
                break
            total += min(end, until) - max(start, since)
        return total

    def machine_ms(self, number: int, since: float, until: float) -> float:
        """For how long within a time the machine kept a gatekeeper, or the stand-ins that hold the clock, from running.

        Measured by the kernel, look by look; where both stood in one look, the longer counts. What a gatekeeper
        spends on its own work is no part of it, nor is what the stand-ins stood while it was blocked in a call: with a
        core for them it would have answered no sooner."""
        total = 0.0
        for at in range(bisect.bisect_left(self._stood_until, since), len(self.stood)):
            start, end, ms = self.stood[at]
            if start > until:
                break
            start, end = max(start, since), min(end, until)
            unblocked = end - start - self._blocked_ms(number, start, end)
            of_lab = min(unblocked, ms.get("lab", 0.0))
            total += min(max(0.0, end - start), max(0.0, of_lab, ms.get(str(number), 0.0)))
        return total

    def timeline(self, name: str) -> str:
        """What crossed the stand-ins' sockets for a try: milliseconds from its start, and what it was."""
        start = self.tries[name]["at"]
        rows = [(record["at"], kind) for kind, records in (("answer", self.answers[name]),) for record in records]
        rows += [
            (record["at"], f"{record['kind']} at {record['worker']}")
            for record in self.workers
            if record.get("id") == name
        ]
        rows += [(record["at"], record["kind"]) for record in self.records["proxies"] if record.get("id") == name]
        rows += [
            (until, f"stood {ms}")
            for since, until, ms in self.stood
            if until >= start and since <= max((row[0] for row in rows), default=start)
        ]
        return "; ".join(f"{at - start:+.0f} {what}" for at, what in sorted(rows))

    def judge(self) -> list[Verdict]:
        """The verdicts, in the order of the rules."""
        return [self.one_answer(), self.no_effect_twice(), self.drains(), self.cold(), self.ceilings()]

    def one_answer(self) -> Verdict:
        """Every try ends with one final answer in time, and nothing reaches a worker for it afterwards."""
        verdict = Verdict("one final answer in time")
        for name, each in self.tries.items():
            verdict.cases += 1
            answers = self.answers[name]
            if len(answers) != 1:
                verdict.breaches.append(f"{name}: {len(answers)} final answers")
                continue
            answer, excused = answers[0], self._was_away(each["gatekeeper"], each["at"], each["due"])
            late = answer["at"] - each["due"]
            machine = self.machine_ms(each["gatekeeper"], each["at"], answer["at"]) if late > 0 else 0.0
            if late > ANSWER_SLACK_MS >= late - machine and not excused:
                self.excused.append(
                    f"{name}: answered {late:.0f} ms after its time, {machine:.0f} ms of them while "
                    "the machine did not let it run"
                )
            late -= machine
            if answer["how"] == "none" and machine and late <= ANSWER_SLACK_MS:
                continue  # the client's patience ran out while the machine stood: nothing is known of the answer
            if answer["how"] in ("lost", "none") and not excused:
                verdict.breaches.append(f"{name}: ended as {answer['how']!r} at a running gatekeeper")
            elif late > ANSWER_SLACK_MS and not excused:
                verdict.breaches.append(f"{name}: answered {late:.0f} ms after its time: {self.timeline(name)}")
            elif not excused:
                allowed = each["due"] + ANSWER_SLACK_MS - each["at"]
                verdict.near((answer["at"] - each["at"]) / allowed, f"{name}: {-late:.0f} ms before its time")
            for arrival in self.arrivals[name]:
                after = arrival["at"] - answer["at"]
                if after > WAY_MS:
                    after -= self.machine_ms(each["gatekeeper"], answer["at"], arrival["at"])
                if after > WAY_MS and answer["how"] in ("served", "refused", "failed"):
                    verdict.breaches.append(f"{name}: sent on {after:.0f} ms after its answer ({answer['how']})")
        return verdict

    def no_effect_twice(self) -> Verdict:
        """No wish has its effect more often than its class allows, and a refused try had none."""
        verdict = Verdict("no effect twice")
        runs: dict[str, Records] = defaultdict(list)
        for record in of_kinds(self.workers, "run"):
            runs[record["id"]].append(record)
        by_wish: dict[str, Records] = defaultdict(list)
        for name, each in self.tries.items():
            kind = self.classes[each["cls"]]
            if kind["repeat"] == "safe":
                continue
            verdict.cases += 1
            by_wish[each["wish"]] += runs[name]
            refused = any(answer["how"] == "refused" for answer in self.answers[name])
            harmless = kind["repeat"] == "keyed" and kind["scope"] == "all"
            if refused and runs[name] and not harmless:
                verdict.breaches.append(f"{name} ({each['cls']}): refused as safe to repeat, but it ran")
            if kind["repeat"] == "keyed" and len(self.arrivals[name]) > 1:
                groups = {
                    arrival[kind["scope"]] if kind["scope"] != "all" else ""
                    for arrival in self.arrivals[name]
                    if arrival["at"] >= (runs[name] or [{"at": float("inf")}])[0]["at"]
                }
                verdict.near(len(groups) / 2, f"{name}: repeats stayed in one group")
        for wish, effects in by_wish.items():
            if len(effects) > 1:
                places = ", ".join(f"{run['worker']} of {run['cell']}" for run in effects)
                verdict.breaches.append(f"{wish}: {len(effects)} effects, at {places}")
        return verdict

    def drains(self) -> Verdict:
        """Nothing new reaches a worker after its gatekeepers were told and the grace is over."""
        verdict = Verdict("drains kept")
        told: dict[str, float] = {}
        listed: set[str] = set()
        for record in of_kinds(self.records["day"], "roster"):
            ready = set(record["ready"])
            for worker in (listed - ready) | set(record["draining"]):
                told.setdefault(worker, record["at"])
            listed |= ready
        away = [span for spans in self.away.values() for span in spans]
        allowed = TOLD_MS + self.grace_ms
        for arrivals in self.arrivals.values():
            for arrival in arrivals:
                if arrival["worker"] not in told:
                    continue
                verdict.cases += 1
                after = arrival["at"] - told[arrival["worker"]]
                # A frozen gatekeeper hears of it when it wakes.
                heard = max(
                    [
                        end - told[arrival["worker"]]
                        for start, end in away
                        if start <= told[arrival["worker"]] + TOLD_MS <= end
                    ],
                    default=0.0,
                )
                if after > allowed + heard:
                    sender = self.tries[arrival["id"]]["gatekeeper"] if arrival["id"] in self.tries else -1
                    after -= self.machine_ms(sender, told[arrival["worker"]], arrival["at"])
                if after > allowed + heard:
                    verdict.breaches.append(
                        f"{arrival['id']}: reached {arrival['worker']} {after:.0f} ms after the roster told of its end"
                    )
                else:
                    verdict.near(after / allowed, f"{arrival['id']}: {after:.0f} ms after the roster")
        return verdict

    def cold(self) -> Verdict:
        """No cold worker is sent more, in any window, than the stated multiple of what it can carry."""
        verdict = Verdict("cold workers not pushed over")
        facts = {record["worker"]: record for record in of_kinds(self.workers, "worker") if record["cold"]}
        verdict.breaches += [f"{record['worker']} fell over" for record in of_kinds(self.workers, "fall")]
        work: dict[str, list[tuple[float, float]]] = defaultdict(list)
        for record in of_kinds(self.workers, "arrive"):
            fact = facts.get(record["worker"])
            if fact is None or record["at"] - fact["at"] > fact["warm_up_ms"]:
                continue
            verdict.cases += 1
            recent = [each for each in work[record["worker"]] if record["at"] - each[0] <= fact["fall_window_ms"]]
            recent.append((record["at"], float(record["units"]) * fact["service_ms"]))
            work[record["worker"]] = recent
            age = (record["at"] - fact["at"]) / fact["warm_up_ms"]
            share = fact["cold_from"] + (1 - fact["cold_from"]) * age
            budget = fact["fall_multiple"] * share * fact["cores"] * fact["fall_window_ms"]
            pressed = sum(each[1] for each in recent) / budget
            if pressed > 1 and not any(record["worker"] in breach for breach in verdict.breaches):
                verdict.breaches.append(f"{record['worker']}: sent {pressed:.2f} times what a cold worker may be")
            verdict.near(pressed, record["worker"])
        return verdict

    def ceilings(self) -> Verdict:
        """What is sent on for a customer stays at its plan's ceiling, but for the slack."""
        verdict = Verdict("ceilings kept")
        plans = {record["name"]: record for record in of_kinds(self.records["day"], "plan") if record["ceiling"]}
        firsts: dict[str, list[tuple[float, float]]] = defaultdict(list)
        for name, each in self.tries.items():
            if each["plan"] in plans and self.arrivals[name]:
                firsts[each["customer"]].append((self.arrivals[name][0]["at"], float(each["units"])))
        plan_of = {each["customer"]: each["plan"] for each in self.tries.values()}
        for customer, sends in firsts.items():
            plan = plans[plan_of[customer]]
            level, before = plan["ceiling_burst"], None
            for at, units in sorted(sends):
                if before is not None:
                    level = min(plan["ceiling_burst"], level + plan["ceiling"] * (at - before) / 1000)
                before, level = at, level - units
                verdict.cases += 1
                if level < -plan["ceiling_slack"]:
                    verdict.breaches.append(f"{customer}: {-level:.1f} units over its ceiling")
                room = plan["ceiling_burst"] + plan["ceiling_slack"]
                verdict.near((plan["ceiling_burst"] - level) / room, customer)
        return verdict

    def summary(self) -> dict[str, int]:
        """How the tries ended."""
        counts: dict[str, int] = defaultdict(int)
        for answers in self.answers.values():
            for answer in answers[:1]:
                counts[answer["how"]] += 1
        return dict(sorted(counts.items()))
