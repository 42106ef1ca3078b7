"""A net of memberships in simulated time: loss, delay, doubling, cuts, pauses, deaths, new lives, all from a seed."""

import heapq
import random

from anisefront.cluster.member_state import MemberStatus
from anisefront.cluster.membership import Membership

PERIOD = 1000.0


class Net:
    """`count` numbers may be in the fleet. Times in milliseconds."""

    def __init__(self, count, seed=1, loss=0.0, delay=(1.0, 20.0), twice=0.0):
        self.rng, self.count = random.Random(seed), count
        self.loss, self.delay, self.twice = loss, delay, twice
        self.now, self._serial, self._events = 0.0, 0, []
        self.nodes, self.lives, self.paused, self.inbox = {}, {}, {}, {}
        self.cut = lambda sender, receiver: False
        self.history = {}  # of each node, what it said of each member, by its life

    def start(self, number):
        life = self.lives[number] = self.lives.get(number, 0) + 1
        self.nodes[number] = Membership(number, life, range(self.count), self.rng.randrange(1 << 30), PERIOD)
        self.paused[number], self.inbox[number] = 0.0, []
        self._at(self.now, "wake", number, life)

    def kill(self, number):
        self.nodes.pop(number, None)

    def leave(self, number):
        self._carry(number, self.nodes.pop(number).leave())

    def pause(self, number, ms):
        self.paused[number] = self.now + ms
        self._at(self.now + ms, "wake", number, self.lives[number])

    def run(self, ms):
        until = self.now + ms
        while self._events and self._events[0][0] <= until:
            self.now, _, what, number, life, *more = heapq.heappop(self._events)
            node = self.nodes.get(number)
            if node is None or what == "wake" and self.lives[number] != life:
                continue
            if what == "heard":
                self.inbox[number].append(more[0])
            if self.now < self.paused[number]:
                continue
            heard, self.inbox[number] = self.inbox[number], []
            self._carry(number, node.handle(self.now, heard))
            for change in node.changes:
                self._note(number, change)
            node.changes.clear()
            self._at(node.next_timer_ms, "wake", number, self.lives[number])
        self.now = until

    def _note(self, number, change):
        """What a member's row is never goes back, whatever order things came in."""
        seen = self.history.setdefault((number, self.lives[number], change.row.number), [])
        assert not seen or change.row.precedence > seen[-1], f"{number} took {change.row} after {seen[-1]}"
        seen.append(change.row.precedence)

    def _carry(self, sender, out):
        for receiver, data in out:
            for _ in range(1 + (self.rng.random() < self.twice)):
                if self.rng.random() >= self.loss and not self.cut(sender, receiver):
                    self._at(
                        self.now + self.rng.uniform(*self.delay),
                        "heard",
                        receiver,
                        0,
                        (sender, self.lives[sender], data),
                    )

    def _at(self, at, what, number, life, *more):
        self._serial += 1
        heapq.heappush(self._events, (at, self._serial, what, number, life, *more))

    # ---- what is believed ----------------------------------------------------------------------

    def views(self, about):
        """What each node that is up says of a member: its life and status."""
        rows = {number: node.rows.get(about) for number, node in self.nodes.items() if number != about}
        return {number: row and (row.process_incarnation, row.status) for number, row in rows.items()}

    def settled(self):
        """Faults in what the nodes that are up believe; empty where all know who is up and who is not."""
        out = []
        for about in range(self.count):
            for number, seen in self.views(about).items():
                if about in self.nodes:
                    right = seen == (self.lives[about], MemberStatus.ALIVE)
                else:
                    right = seen is None or seen[0] <= self.lives.get(about, 0) and seen[1] >= MemberStatus.DEAD
                if not right:
                    out.append(f"{number} takes {about} for {seen}")
        return out

    def until_settled(self, ms, step=100.0):
        """The time until all know, within `ms`."""
        began = self.now
        while self.settled():
            assert self.now - began < ms, self.settled()[:5]
            self.run(step)
        return self.now - began
