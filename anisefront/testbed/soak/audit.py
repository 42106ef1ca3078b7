"""Judges a soak by what crossed its sockets: the five rules, and what a restart has to leave whole.

Like `testbed.audit`, whose five rules it takes over, it imports nothing of the gateway.
"""

from __future__ import annotations

from collections import Counter
from typing import Any

from anisefront.testbed.audit import Auditor, Records, Verdict, of_kinds

CROSSING_MS = 100.0  # a request may cross the end of its connection by so much
READY_MS = 10_000.0  # nine in ten starts are ready within
READY_CASES = 10  # of so many starts, one may take longer
ENDING_MS = 300.0  # before the kill, which an instance keeps for its end
NEEDED_MS = 100.0  # of them, without which it can't end in time
SPARE_DESCRIPTORS = 4  # at the end, beyond those of a fresh process
MEMORY_GROWTH_SHARE = 1 / 8  # of the memory limit, at the end beyond that of a fresh process


class SoakAuditor(Auditor):
    """The rules over one soak's records."""

    def __init__(self, records: dict[str, Records]) -> None:
        """Take in the records; an answer's time does not count while it waits for those before it."""
        super().__init__(records)
        self.day = records["day"]
        for name, answers in self.answers.items():
            if name in self.tries and answers:
                each = self.tries[name]
                each["due"] = max(each["due"], answers[0].get("behind", 0.0))

    def judge(self) -> list[Verdict]:
        """The verdicts, in the order of the rules."""
        return [
            *super().judge(),
            self.ends(),
            self.own_answers(),
            self.exits(),
            self.ready(),
            self.descriptors(),
            self.memory(),
            self.attempts_out(),
        ]

    def cold(self) -> Verdict:
        """The rule on cold workers, each of whose listeners is one instance's."""
        whole = [
            {**record, "worker": record["worker"].partition("@")[0]} if record["kind"] == "arrive" else record
            for record in self.workers
        ]
        return Auditor.cold(Auditor({**self.records, "workers": whole}))

    def ends(self) -> Verdict:
        """No connection is reset or ended with answers due, but for a request that crossed a clean end unread."""
        verdict = Verdict("no end with answers due")
        for name, each in self.tries.items():
            verdict.cases += 1
            answer = (self.answers[name] or [{"how": "", "at": 0.0}])[0]
            if answer["how"] in ("reset", "broken"):
                verdict.breaches.append(f"{name}: its connection was {answer['how']}: {self.timeline(name)}")
            if answer["how"] != "closed":
                continue
            age = answer["at"] - each["at"]
            if age > CROSSING_MS:
                age -= self.machine_ms(each["gatekeeper"], each["at"], answer["at"])
            if self.arrivals[name] or age > CROSSING_MS:
                verdict.breaches.append(f"{name}: closed after {age:.0f} ms, lost: {self.timeline(name)}")
            else:
                verdict.near(age / CROSSING_MS, f"{name}: crossed a clean end by {age:.1f} ms")
        return verdict

    def own_answers(self) -> Verdict:
        """Each answer served is a worker's for this request, and none comes that nobody asked for."""
        verdict = Verdict("no answer but one's own")
        worked = {record["id"] for record in of_kinds(self.workers, "done")}
        for name, answers in self.answers.items():
            if not answers:
                continue  # told of by the first rule
            verdict.cases += 1
            if answers[0]["how"] == "wrong":
                verdict.breaches.append(f"{name}: {answers[0]['said']!r}")
            if answers[0]["how"] == "served" and name not in worked:
                verdict.breaches.append(f"{name}: served, and no worker had answered")
        for record in of_kinds(self.records["clients"], "stray"):
            verdict.breaches.append(f"instance {record['gatekeeper']}: {record['data']} without a request")
        return verdict

    def exits(self) -> Verdict:
        """A process ends by itself before the kill, with 0, or with 1 after a second SIGTERM."""
        verdict = Verdict("ended before the kill")
        terms: Counter[int] = Counter()
        for record in of_kinds(self.day, "spawn", "signal", "exit"):
            number = record["number"]
            if record["kind"] == "spawn":
                terms[number] = 0
            elif record["kind"] == "signal":
                terms[number] += record["name"] == "SIGTERM"
            else:
                verdict.cases += 1
                self._judge_exit(verdict, record, {0} if terms[number] < 2 else {0, 1})
        return verdict

    def _judge_exit(self, verdict: Verdict, record: dict[str, Any], codes: set[int]) -> None:
        after = record["after"]
        what = f"instance {record['number']}: ended {after:.0f} ms after SIGTERM, code {record['code']}"
        if record["killed"]:
            kill = record["at"] - record["after"] + record["allowed"]
            if self.machine_ms(record["number"], kill - ENDING_MS, kill) <= ENDING_MS - NEEDED_MS:
                verdict.breaches.append(f"{what}, by the kill")
            else:
                self.excused.append(f"{what}, by the kill: the machine did not let it end")
            return
        if record["code"] not in codes:
            verdict.breaches.append(what)
        verdict.near(after / record["allowed"], what)

    def ready(self) -> Verdict:
        """Nine in ten starts are ready in time."""
        verdict = Verdict("ready in time")
        late = []
        for record in of_kinds(self.day, "ready"):
            verdict.cases += 1
            took = record["took"]
            what = f"instance {record['number']}: ready after {took:.0f} ms"
            if took > READY_MS:
                took -= self.machine_ms(record["number"], record["at"] - took, record["at"])
            if took > READY_MS:
                late.append(what)
            else:
                verdict.near(took / READY_MS, what)
        if len(late) * READY_CASES > verdict.cases:
            verdict.breaches += late
        return verdict

    def _measures(self, when: str) -> dict[int, dict[str, Any]]:
        return {record["number"]: record for record in of_kinds(self.day, "measure") if record["when"] == when}

    def descriptors(self) -> Verdict:
        """Never more than the limit, and at the end those of a fresh process."""
        return self._given_back("descriptors", SPARE_DESCRIPTORS)

    def memory(self) -> Verdict:
        """Never more than the limit, and at the end little more than a fresh process."""
        (limits,) = of_kinds(self.day, "limits")
        return self._given_back("memory_mb", limits["memory_mb"] * MEMORY_GROWTH_SHARE)

    def _given_back(self, what: str, growth: float) -> Verdict:
        verdict = Verdict(f"{what.partition('_')[0]} given back")
        (limits,) = of_kinds(self.day, "limits")
        for record in of_kinds(self.day, "measure"):
            verdict.cases += 1
            if record[what] > limits[what]:
                verdict.breaches.append(f"instance {record['number']}: {what} {record[what]:.0f}")
            verdict.near(record[what] / limits[what], f"instance {record['number']}, at most")
        before = self._measures("before")
        for number, record in self._measures("after").items():
            more = record[what] - before[number][what]
            if more > growth:
                verdict.breaches.append(f"instance {number}: {what} {more:.1f} more at the end")
            verdict.near(more / growth, f"instance {number}: {more:.1f} more at the end")
        return verdict

    def attempts_out(self) -> Verdict:
        """At the end no attempt is out: none on a worker's sockets, none in an instance's own count."""
        verdict = Verdict("attempts out back to none")
        out: Counter[tuple[str, str]] = Counter()
        rest = min((record["at"] for record in of_kinds(self.day, "state")), default=float("inf"))
        for record in of_kinds(self.workers, "arrive", "done", "gone"):
            if record["at"] <= rest:
                out[record["worker"], record["id"]] += 1 if record["kind"] == "arrive" else -1
        for (worker, name), count in out.items():
            verdict.cases += 1
            if count > 0:
                verdict.breaches.append(f"{name}: still out at {worker} at rest")
        for record in of_kinds(self.day, "state"):
            verdict.cases += 1
            if record["out"] or not record["is_fresh"]:
                verdict.breaches.append(f"instance {record['number']}: reports {record['out']} attempts out at rest")
        return verdict

    def story(self, name: str) -> list[str]:
        """All that the records hold of a request, and what befell its instance meanwhile."""
        each = self.tries[name]
        last = max([record["at"] for record in (*self.answers[name], *self.arrivals[name])], default=each["due"])
        rows = [(record["at"], record) for records in self.records.values() for record in records]
        return [
            f"{at - each['at']:+.0f} ms {record}"
            for at, record in sorted(rows, key=lambda row: row[0])
            if record.get("id") == name
            or (record.get("number") == each["gatekeeper"] and each["at"] - 5000 < at < last + 1000)
            and record["kind"] != "measure"
        ]
