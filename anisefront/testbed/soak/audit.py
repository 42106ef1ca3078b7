"""Judges a soak from the records of its stand-ins: the five rules of `testbed.audit`, and those for planned restarts.

Like `testbed.audit`, it imports nothing of the gateway, so that no fault can hide in shared code.
"""

from __future__ import annotations

from collections import Counter
from typing import Any

from anisefront.testbed.audit import Auditor, Records, Verdict, of_kinds

MAX_TRANSIT_MS = 100.0  # a request sent so long before a clean close may have been in transit, unread
START_LIMIT_MS = 10_000.0  # nine in ten starts are ready within this time
STARTS_PER_LATE_START = 10  # one start in this many may take longer
EXIT_WINDOW_MS = 300.0  # before the kill, which an instance reserves for its exit
MIN_EXIT_MS = 100.0  # processor time within that window without which it can't exit in time
MAX_EXTRA_DESCRIPTORS = 4  # at the end, over those of a newly started process
MAX_MEMORY_GROWTH_FRACTION = 1 / 8  # of the memory limit, at the end, over the memory of a newly started process


class SoakAuditor(Auditor):
    """Applies the rules to the records of one soak."""

    def __init__(self, records: dict[str, Records]) -> None:
        """Index the records.

        The deadline of a pipelined request is extended to the time of the answer before its own, for which it waits.
        """
        super().__init__(records)
        self.run_records = records["day"]
        for name, answers in self.answers.items():
            if name in self.tries and answers:
                request = self.tries[name]
                request["due"] = max(request["due"], answers[0].get("behind", 0.0))

    def judge(self) -> list[Verdict]:
        """Return the verdicts, in the order of the rules."""
        return [
            *super().judge(),
            self.connection_ends(),
            self.answers_match_requests(),
            self.exits(),
            self.ready_in_time(),
            self.descriptors(),
            self.memory(),
            self.attempts_in_flight(),
        ]

    def cold(self) -> Verdict:
        """Judge the rule on cold workers, with the listeners of each worker merged into one worker."""
        merged_workers = [
            {**record, "worker": record["worker"].partition("@")[0]} if record["kind"] == "arrive" else record
            for record in self.workers
        ]
        return Auditor.cold(Auditor({**self.records, "workers": merged_workers}))

    def connection_ends(self) -> Verdict:
        """No connection is reset or closed with answers due, except if the request was unread at a clean close."""
        verdict = Verdict("no end with answers due")
        for name, request in self.tries.items():
            verdict.cases += 1
            answer = (self.answers[name] or [{"how": "", "at": 0.0}])[0]
            if answer["how"] in ("reset", "broken"):
                verdict.breaches.append(f"{name}: its connection was {answer['how']}: {self.timeline(name)}")
            if answer["how"] != "closed":
                continue
            age_ms = answer["at"] - request["at"]
            if age_ms > MAX_TRANSIT_MS:
                age_ms -= self.machine_ms(request["gatekeeper"], request["at"], answer["at"])
            if self.arrivals[name] or age_ms > MAX_TRANSIT_MS:
                verdict.breaches.append(f"{name}: closed after {age_ms:.0f} ms, lost: {self.timeline(name)}")
            else:
                verdict.near(
                    age_ms / MAX_TRANSIT_MS, f"{name}: in transit at a clean close, sent {age_ms:.1f} ms before"
                )
        return verdict

    def answers_match_requests(self) -> Verdict:
        """Each answer served is that of a worker to this request, and none arrives without a request."""
        verdict = Verdict("no answer but one's own")
        answered_ids = {record["id"] for record in of_kinds(self.workers, "done")}
        for name, answers in self.answers.items():
            if not answers:
                continue  # reported by the first rule
            verdict.cases += 1
            if answers[0]["how"] == "wrong":
                verdict.breaches.append(f"{name}: {answers[0]['said']!r}")
            if answers[0]["how"] == "served" and name not in answered_ids:
                verdict.breaches.append(f"{name}: served, and no worker had answered")
        for record in of_kinds(self.records["clients"], "stray"):
            verdict.breaches.append(f"instance {record['gatekeeper']}: {record['data']} without a request")
        return verdict

    def exits(self) -> Verdict:
        """A process exits by itself before the kill, with code 0, or with 1 after a second SIGTERM."""
        verdict = Verdict("ended before the kill")
        sigterm_counts: Counter[int] = Counter()
        for record in of_kinds(self.run_records, "spawn", "signal", "exit"):
            number = record["number"]
            if record["kind"] == "spawn":
                sigterm_counts[number] = 0
            elif record["kind"] == "signal":
                sigterm_counts[number] += record["name"] == "SIGTERM"
            else:
                verdict.cases += 1
                self._judge_exit(verdict, record, {0} if sigterm_counts[number] < 2 else {0, 1})
        return verdict

    def _judge_exit(self, verdict: Verdict, record: dict[str, Any], allowed_codes: set[int]) -> None:
        exit_ms = record["after"]
        description = f"instance {record['number']}: ended {exit_ms:.0f} ms after SIGTERM, code {record['code']}"
        if record["killed"]:
            kill_ms = record["at"] - record["after"] + record["allowed"]
            if self.machine_ms(record["number"], kill_ms - EXIT_WINDOW_MS, kill_ms) <= EXIT_WINDOW_MS - MIN_EXIT_MS:
                verdict.breaches.append(f"{description}, by the kill")
            else:
                self.excused.append(f"{description}, by the kill: the machine did not let it end")
            return
        if record["code"] not in allowed_codes:
            verdict.breaches.append(description)
        verdict.near(exit_ms / record["allowed"], description)

    def ready_in_time(self) -> Verdict:
        """Nine in ten starts are ready in time."""
        verdict = Verdict("ready in time")
        late_starts = []
        for record in of_kinds(self.run_records, "ready"):
            verdict.cases += 1
            start_ms = record["took"]
            description = f"instance {record['number']}: ready after {start_ms:.0f} ms"
            if start_ms > START_LIMIT_MS:
                start_ms -= self.machine_ms(record["number"], record["at"] - start_ms, record["at"])
            if start_ms > START_LIMIT_MS:
                late_starts.append(description)
            else:
                verdict.near(start_ms / START_LIMIT_MS, description)
        if len(late_starts) * STARTS_PER_LATE_START > verdict.cases:
            verdict.breaches += late_starts
        return verdict

    def _measures(self, phase: str) -> dict[int, dict[str, Any]]:
        return {record["number"]: record for record in of_kinds(self.run_records, "measure") if record["when"] == phase}

    def descriptors(self) -> Verdict:
        """Descriptors never exceed the limit, and at the end are about as many as in a new process."""
        return self._judge_release("descriptors", MAX_EXTRA_DESCRIPTORS)

    def memory(self) -> Verdict:
        """Memory never exceeds the limit, and at the end is little more than that of a new process."""
        (limits,) = of_kinds(self.run_records, "limits")
        return self._judge_release("memory_mb", limits["memory_mb"] * MAX_MEMORY_GROWTH_FRACTION)

    def _judge_release(self, quantity: str, growth: float) -> Verdict:
        verdict = Verdict(f"{quantity.partition('_')[0]} given back")
        (limits,) = of_kinds(self.run_records, "limits")
        for record in of_kinds(self.run_records, "measure"):
            verdict.cases += 1
            if record[quantity] > limits[quantity]:
                verdict.breaches.append(f"instance {record['number']}: {quantity} {record[quantity]:.0f}")
            verdict.near(record[quantity] / limits[quantity], f"instance {record['number']}, at most")
        before = self._measures("before")
        for number, record in self._measures("after").items():
            increase = record[quantity] - before[number][quantity]
            if increase > growth:
                verdict.breaches.append(f"instance {number}: {quantity} {increase:.1f} more at the end")
            verdict.near(increase / growth, f"instance {number}: {increase:.1f} more at the end")
        return verdict

    def attempts_in_flight(self) -> Verdict:
        """At the end no attempt is in flight: neither on a connection of a worker nor in the count of an instance."""
        verdict = Verdict("attempts out back to none")
        in_flight: Counter[tuple[str, str]] = Counter()
        idle_from_ms = min((record["at"] for record in of_kinds(self.run_records, "state")), default=float("inf"))
        for record in of_kinds(self.workers, "arrive", "done", "gone"):
            if record["at"] <= idle_from_ms:
                in_flight[record["worker"], record["id"]] += 1 if record["kind"] == "arrive" else -1
        for (worker, name), count in in_flight.items():
            verdict.cases += 1
            if count > 0:
                verdict.breaches.append(f"{name}: still in flight at {worker} while idle")
        for record in of_kinds(self.run_records, "state"):
            verdict.cases += 1
            if record["out"] or not record["is_fresh"]:
                verdict.breaches.append(
                    f"instance {record['number']}: reports {record['out']} attempts in flight while idle"
                )
        return verdict

    def request_history(self, name: str) -> list[str]:
        """Return all records of a request, and those of its instance from the time around it."""
        request = self.tries[name]
        last_ms = max([record["at"] for record in (*self.answers[name], *self.arrivals[name])], default=request["due"])
        rows = [(record["at"], record) for records in self.records.values() for record in records]
        return [
            f"{timestamp - request['at']:+.0f} ms {record}"
            for timestamp, record in sorted(rows, key=lambda row: row[0])
            if record.get("id") == name
            or (record.get("number") == request["gatekeeper"] and request["at"] - 5000 < timestamp < last_ms + 1000)
            and record["kind"] != "measure"
        ]
