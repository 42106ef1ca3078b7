"""Seeded simulation of a network of memberships: loss, delay, duplication, partitions, pauses and restarts."""

import heapq
import random

from anisefront.cluster.member_state import MemberStatus
from anisefront.cluster.membership import Membership

PERIOD_MS = 1000.0


class Net:
    """Network of up to `count` members. Times are in milliseconds."""

    def __init__(self, count, seed=1, loss=0.0, delay=(1.0, 20.0), duplication=0.0):
        self.rng, self.count = random.Random(seed), count
        self.loss, self.delay, self.duplication = loss, delay, duplication
        self.now_ms, self._serial, self._events = 0.0, 0, []
        self.nodes, self.incarnations, self.paused, self.inbox = {}, {}, {}, {}
        self.is_partitioned = lambda sender, receiver: False
        self.history = {}  # precedences of the rows of each member at each process incarnation of a node

    def start(self, number):
        incarnation = self.incarnations[number] = self.incarnations.get(number, 0) + 1
        self.nodes[number] = Membership(number, incarnation, range(self.count), self.rng.randrange(1 << 30), PERIOD_MS)
        self.paused[number], self.inbox[number] = 0.0, []
        self._schedule(self.now_ms, "wake", number, incarnation)

    def kill(self, number):
        self.nodes.pop(number, None)

    def leave(self, number):
        self._transmit(number, self.nodes.pop(number).leave())

    def pause(self, number, duration_ms):
        self.paused[number] = self.now_ms + duration_ms
        self._schedule(self.now_ms + duration_ms, "wake", number, self.incarnations[number])

    def run(self, duration_ms):
        end_ms = self.now_ms + duration_ms
        while self._events and self._events[0][0] <= end_ms:
            self.now_ms, _, event, number, incarnation, *more = heapq.heappop(self._events)
            node = self.nodes.get(number)
            if node is None or event == "wake" and self.incarnations[number] != incarnation:
                continue
            if event == "received":
                self.inbox[number].append(more[0])
            if self.now_ms < self.paused[number]:
                continue
            received, self.inbox[number] = self.inbox[number], []
            self._transmit(number, node.handle(self.now_ms, received))
            for change in node.changes:
                self._record(number, change)
            node.changes.clear()
            self._schedule(node.next_timer_ms, "wake", number, self.incarnations[number])
        self.now_ms = end_ms

    def _record(self, number, change):
        """Check that the precedence of a member's row never decreases, whatever the order of deliveries."""
        precedences = self.history.setdefault((number, self.incarnations[number], change.row.number), [])
        assert not precedences or change.row.precedence > precedences[-1], (
            f"member {number} accepted {change.row} after precedence {precedences[-1]}"
        )
        precedences.append(change.row.precedence)

    def _transmit(self, sender, datagrams):
        for receiver, data in datagrams:
            for _ in range(1 + (self.rng.random() < self.duplication)):
                if self.rng.random() >= self.loss and not self.is_partitioned(sender, receiver):
                    self._schedule(
                        self.now_ms + self.rng.uniform(*self.delay),
                        "received",
                        receiver,
                        0,
                        (sender, self.incarnations[sender], data),
                    )

    def _schedule(self, at_ms, event, number, incarnation, *more):
        self._serial += 1
        heapq.heappush(self._events, (at_ms, self._serial, event, number, incarnation, *more))

    # ---- views ---------------------------------------------------------------------------------

    def views(self, about):
        """The process incarnation and status of a member in the view of each running node."""
        rows = {number: node.rows.get(about) for number, node in self.nodes.items() if number != about}
        return {number: row and (row.process_incarnation, row.status) for number, row in rows.items()}

    def view_errors(self):
        """Errors in the views of the running nodes; empty if all know which members are running."""
        errors = []
        for about in range(self.count):
            for number, seen in self.views(about).items():
                if about in self.nodes:
                    is_right = seen == (self.incarnations[about], MemberStatus.ALIVE)
                else:
                    is_right = (
                        seen is None or seen[0] <= self.incarnations.get(about, 0) and seen[1] >= MemberStatus.DEAD
                    )
                if not is_right:
                    errors.append(f"member {number} sees member {about} as {seen}")
        return errors

    def run_until_converged(self, duration_ms, step_ms=100.0):
        """Run until all views are right, at most `duration_ms`; returns the time it took."""
        started_ms = self.now_ms
        while self.view_errors():
            assert self.now_ms - started_ms < duration_ms, self.view_errors()[:5]
            self.run(step_ms)
        return self.now_ms - started_ms
