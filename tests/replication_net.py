"""Primaries, backups, witnesses and voters on a simulated network whose steps are chosen by a search or by a seed.

The search explores every order of steps up to a depth; a seed chooses one random order. Executions are counted as
visible outside: a started attempt, a takeover without a started attempt, and a client's retry elsewhere after its
request was rejected as never executed. A second execution of a request is a failure.

`_play` chooses among the steps in the alphabetical order of their names, so a renamed step changes what a seed plays.
"""

import importlib
import itertools
import pickle
import random
import sys
import types

from anisefront.cluster.backup_selection import Replica
from anisefront.cluster.lock_messages import LockOwner
from anisefront.cluster.lock_placement import LockPlacement
from anisefront.cluster.replication_actions import (
    DeliverRejection,
    LockUnavailable,
    SendMessage,
    StartAttempt,
    TakeOver,
    YieldToDuplicate,
    in_execution_order,
)
from anisefront.cluster.replication_codec import decode, encode
from anisefront.cluster.replication_messages import NO_IDENTITY, Accepted, RelayedMessage, RelayRequest

ROLES = (
    ("primary", "Primary"),
    ("backup", "Backup"),
    ("witness", "Witness"),
    ("lock_voter", "LockVoter"),
    ("lock_requester", "LockRequester"),
)
LIFETIME_MS = 1_000_000  # of a request
TICK, WAIT = 200.0, 40.0  # exceeds every timeout; exceeds only the retry intervals


def load_code(*mutations):
    """Load the replication code with mutations applied: each is (module, text, replacement)."""
    code = types.SimpleNamespace(Replica=Replica)
    for name, class_name in ROLES:
        source = importlib.import_module(f"anisefront.cluster.{name}").__spec__.loader.get_source(
            f"anisefront.cluster.{name}"
        )
        for _, text, replacement in (mutation for mutation in mutations if mutation[0] == name):
            assert source.count(text) == 1, f"{text!r} occurs {source.count(text)} times in {name}.py"
            source = source.replace(text, replacement)
        module = types.ModuleType(f"replication_{name}_{abs(hash(str(mutations)))}")
        sys.modules[module.__name__] = module  # pickle looks up classes by module
        exec(compile(source, f"{name}.py", "exec"), module.__dict__)
        setattr(code, class_name, getattr(module, class_name))
    return code


def _drain(role):
    if not hasattr(role, "sent"):
        role.sent, role.done = [], []
    for action in role.take_actions():
        (role.sent if isinstance(action, SendMessage) else role.done).append(action)


def messages(role):
    """Return receivers and messages that a role has sent since the last call."""
    _drain(role)
    sent, role.sent = role.sent, []
    return [(action.receiver, action.message) for action in sent]


def requested_actions(role, kind):
    """Return all actions of a type that a role has requested so far."""
    _drain(role)
    return [action for action in role.done if isinstance(action, kind)]


class Node:
    """One process incarnation of one instance."""

    def __init__(self, code, number, incarnation, max_requests, placement, has_locks=True):
        self.incarnation, self.has_locks = incarnation, has_locks
        replica = code.Replica(number, incarnation)
        self.locks = code.LockRequester(replica, placement)
        self.primary = code.Primary(replica, locks=self.locks if has_locks else None)
        self.backup, self.witness = (
            code.Backup(number, incarnation, max_requests=max_requests),
            code.Witness(incarnation),
        )
        self.voter = code.LockVoter(replica, placement, LIFETIME_MS, is_recovered=incarnation == 1)
        self.voter.other_locks = self.other_locks
        self.local_request = 0  # the local request with the identity
        self.taken_over = set()  # identities of requests taken over, which `daemon/request_takeover.py` retains
        self.backup.is_local_duplicate = self.is_duplicate
        self.backup.uses_locks = self.uses_locks

    @property
    def roles(self):
        return self.primary, self.backup, self.witness, self.voter

    def other_locks(self, now):
        return [*self.locks.known_locks(now), *self.backup.known_locks(now)]

    def uses_locks(self, number, incarnation):
        return self.has_locks

    def is_duplicate(self, name, sender):
        if name in self.taken_over:
            return True
        return bool(self.local_request) and not self.primary.yields_to(self.local_request, sender)


class World:
    """A cluster of `count` instances. `remaining_faults` maps each kind of fault to its remaining number.

    Without `has_locks` they detect duplicates at common backups, as earlier versions do.
    """

    def __init__(self, code, count, remaining_faults, max_requests=50_000, has_locks=True):
        self.code, self.count, self.remaining_faults, self.max_requests = (
            code,
            count,
            dict(remaining_faults),
            max_requests,
        )
        self.now = 0.0
        self.incarnations = [1] * count
        self.placement = LockPlacement(dict.fromkeys(range(count), ""))
        self.nodes = {n: Node(code, n, 1, max_requests, self.placement, has_locks) for n in range(count)}
        # Incarnations of the live instances in the view of each instance.
        self.views = {n: {m: 1 for m in range(count) if m != n} for n in range(count)}
        self.in_transit = []  # (sender, its incarnation, receiver, bytes)
        self.runs = {}  # executions by request's name
        self.request_names = {}  # by (number, incarnation, request)
        self.pending = []  # (number, incarnation, request): accepted, neither started nor rejected yet
        self.rejected = set()  # (number, incarnation, request): their clients know that they never execute
        self.begun = False
        self.side = frozenset()  # instances on one side of a partition; empty without one
        for n in range(count):
            self._update_members(n)

    def accept(self, number, request, name, identity=NO_IDENTITY, predecessor=None, prior_attempts=None):
        node = self.nodes[number]
        if identity != NO_IDENTITY:
            node.local_request = request
        accepted = Accepted(request, True, LIFETIME_MS, identity, b"")
        is_replicated = node.primary.accept(self.now, accepted, predecessor, False, prior_attempts or {})
        if not is_replicated and identity != NO_IDENTITY:
            if not node.primary.may_run_unprotected(accepted):
                return  # rejected at once
            node.primary.accept_without_backup(self.now, accepted, predecessor)
        self.request_names[number, node.incarnation, request] = name
        self.pending.append((number, node.incarnation, request))
        self._process(number)

    # ---- steps -----------------------------------------------------------------------------------

    def steps(self):
        """Return all steps that are possible now."""
        steps = [("deliver", i) for i in range(len(self.in_transit))]
        for kind, positions in (("twice", range(len(self.in_transit))), ("lose", range(len(self.in_transit)))):
            if self.remaining_faults.get(kind):
                steps += [(kind, i) for i in positions]
        for end in ("send", "refuse")[: 1 if any(node.local_request for node in self.nodes.values()) else 2]:
            steps += [
                (end, i) for i, (n, incarnation, _) in enumerate(self.pending) if self._is_running(n, incarnation)
            ]
        for kind in ("tick", "wait"):
            if self.remaining_faults.get(kind):
                steps += [(kind, n) for n in self.nodes]
        if self.remaining_faults.get("kill"):
            steps += [("kill", n) for n in self.nodes]
        if self.remaining_faults.get("doubt"):
            steps += [("doubt", n, m) for n in self.nodes for m in self.views[n]]
        if self.remaining_faults.get("learn"):
            steps += [
                ("learn", n, m)
                for n in self.nodes
                for m, incarnation in enumerate(self.incarnations)
                if m != n and self.views[n].get(m) != incarnation
            ]
        if self.remaining_faults.get("start"):
            steps += [("start", n) for n in range(self.count) if n not in self.nodes]
        return steps + self._partition_steps()

    def _partition_steps(self):
        """Return partitions, their healing, and the changes of views that follow from both at any time."""
        pairs = [(n, m) for n in self.nodes for m in self.nodes if n != m]
        if self.side:
            lost = [(n, m) for n, m in pairs if self._is_partitioned(n, m) and m in self.views[n]]
            heal = [("heal",)] if self.remaining_faults.get("heal") else []
            return heal + [("notice", n, m) for n, m in lost]
        if self.remaining_faults.get("cut"):
            others = [
                frozenset((0, *side))
                for size in range(self.count - 1)
                for side in itertools.combinations(range(1, self.count), size)
            ]
            return [("cut", side) for side in others]
        if "cut" in self.remaining_faults:
            return [("learn_again", n, m) for n, m in pairs if m not in self.views[n]]
        return []

    def _is_partitioned(self, one, other):
        return bool(self.side) and (one in self.side) != (other in self.side)

    def _cut(self, side):
        self.side = side
        self.in_transit = [sent for sent in self.in_transit if not self._is_partitioned(sent[0], sent[2])]

    def _heal(self):
        self.side = frozenset()

    def _notice(self, number, other):
        """Let an instance declare an unreachable one dead."""
        self._doubt(number, other)

    def _learn_again(self, number, other):
        """Let an instance learn that another one, which it had declared dead, is alive."""
        self._learn(number, other)

    def _is_running(self, number, incarnation):
        return number in self.nodes and self.nodes[number].incarnation == incarnation

    def do(self, step):
        kind, *arguments = step
        if kind in self.remaining_faults:
            self.remaining_faults[kind] -= 1
        getattr(self, f"_{kind}")(*arguments)

    def _deliver(self, i, keep=False):
        sender, incarnation, receiver, data = self.in_transit[i] if keep else self.in_transit.pop(i)
        node = self.nodes.get(receiver)
        if node is None or self.views[receiver].get(sender, 0) > incarnation:
            return  # datagrams of an earlier incarnation are rejected once a later one is known
        message = decode(data)
        if isinstance(message, RelayRequest):
            relayed = encode(RelayedMessage(sender, incarnation, message.data))
            if not self._is_partitioned(receiver, message.receiver):
                self.in_transit.append((receiver, node.incarnation, message.receiver, relayed))
            return
        if isinstance(message, RelayedMessage):
            sender, incarnation, message = message.origin, message.origin_incarnation, decode(message.data)
            if self.views[receiver].get(sender, 0) > incarnation:
                return
        node.primary.receive(self.now, sender, incarnation, message)
        node.voter.receive(self.now, sender, incarnation, message)
        node.backup.receive(self.now, sender, incarnation, message)
        node.witness.receive(sender, incarnation, message)
        self._process(receiver)

    def _twice(self, i):
        self._deliver(i, keep=True)

    def _lose(self, i):
        self.in_transit.pop(i)

    def _send(self, i):
        number, incarnation, request = self.pending.pop(i)
        if self.nodes[number].primary.start_attempt(self.now, request, 0, "w"):
            self._attempt_started(number, incarnation, request)
        self._process(number)

    def _refuse(self, i):
        number, incarnation, request = self.pending.pop(i)
        if self.nodes[number].primary.reject(self.now, request):
            self._executed(self.request_names[number, incarnation, request])
        self._process(number)

    def _tick(self, number):
        self.now += TICK
        self._process(number)

    def _wait(self, number):
        self.now += WAIT
        self._process(number)

    def _kill(self, number):
        del self.nodes[number]

    def _start(self, number):
        self.incarnations[number] += 1
        self.nodes[number] = Node(self.code, number, self.incarnations[number], self.max_requests, self.placement)
        self.views[number] = {m: self.incarnations[m] for m in range(self.count) if m != number}
        self._update_members(number)
        self._process(number)

    def _learn(self, number, other):
        """Let an instance learn of another's current incarnation."""
        incarnation = self.views[number][other] = self.incarnations[other]
        self._update_members(number)
        self.nodes[number].backup.primary_terminated(self.now, other, incarnation - 1)
        self._process(number)

    def _doubt(self, number, other):
        """Let an instance declare another one dead, rightly or wrongly."""
        incarnation = self.views[number].pop(other)
        self._update_members(number)
        self.nodes[number].backup.primary_failed(self.now, other, incarnation)
        self._process(number)

    def _update_members(self, number):
        view = self.views[number]
        self.nodes[number].primary.update_members(
            self.now, {m: self.code.Replica(m, incarnation) for m, incarnation in view.items()}
        )
        departed = frozenset(m for m in range(self.count) if m != number and m not in view)
        self.nodes[number].voter.update_members(self.now, dict(view), departed)

    def _process(self, number):
        """Carry out the actions that a node requests."""
        node = self.nodes[number]
        node.primary.handle_timers(self.now)
        node.primary.flush(self.now)
        node.backup.handle_timers(self.now)
        node.voter.handle_timers(self.now)
        while actions := in_execution_order(action for role in node.roles for action in role.take_actions()):
            for action in actions:
                self._carry_out(number, node.incarnation, action)
            node.primary.flush(self.now)
        for role in (node.primary, node.backup, node.locks, node.voter):
            role.counts.clear()

    def _carry_out(self, number, incarnation, action):
        node = self.nodes[number]
        match action:
            case SendMessage(receiver, message):
                sent = (number, incarnation, receiver, encode(message))
                # A second copy in transit is a duplication, a fault of its own.
                if sent not in self.in_transit and not self._is_partitioned(number, receiver):
                    self.in_transit.append(sent)
            case StartAttempt(request):
                self._attempt_started(number, incarnation, request)
            case DeliverRejection(request):
                node.primary.complete(self.now, request)
                self._executed(self.request_names[number, incarnation, request])
            case YieldToDuplicate(request) | LockUnavailable(request):
                self._end(number, incarnation, request)
                node.local_request = 0 if node.local_request == request else node.local_request
            case TakeOver(primary, primary_incarnation, replica):
                self._take_over(number, primary, primary_incarnation, replica)

    def _take_over(self, number, primary, primary_incarnation, replica):
        """Continue a request, at once without an identity, otherwise once it holds the lock."""
        name = self.request_names[primary, primary_incarnation, replica.request]
        node = self.nodes[number]
        if replica.identity == NO_IDENTITY:
            if not replica.attempts:
                self._executed(name)
            return
        node.taken_over.add(replica.identity)
        if node.local_request:  # the local request had yielded to it, or continues in its place
            return
        request = 100 + len(self.request_names)
        prior_attempts = {attempt: endpoint for attempt, (endpoint, _) in replica.attempts.items()}
        owner = LockOwner(primary, primary_incarnation, replica.request)
        self.accept(number, request, name, replica.identity, owner, prior_attempts)
        if replica.attempts:  # it fails, since it may have executed and no other of its identity may
            self._end(number, node.incarnation, request, blocks_identity=True)

    def _end(self, number, incarnation, request, blocks_identity=False):
        """End a request of which no further attempt starts."""
        self.rejected.add((number, incarnation, request))
        self.pending = [each for each in self.pending if each != (number, incarnation, request)]
        self.nodes[number].primary.complete(self.now, request, blocks_identity, blocks_identity)

    def _attempt_started(self, number, incarnation, request):
        """Record a started attempt."""
        assert (number, incarnation, request) not in self.rejected, "an attempt started after its request was rejected"
        self._executed(self.request_names[number, incarnation, request])

    def _executed(self, name):
        self.runs[name] = self.runs.get(name, 0) + 1
        assert self.runs[name] <= 1, f"{name} was executed twice"

    # ---- searches --------------------------------------------------------------------------------

    def data(self):
        """Return the state as bytes, without the code."""
        code, self.code = self.code, None
        self.in_transit.sort()
        data = pickle.dumps(self, pickle.HIGHEST_PROTOCOL)
        self.code = code
        return data


def unpickle_world(code, data):
    world = pickle.loads(data)
    world.code = code
    return world


def explore(world, depth, max_states=10**9):
    """Explore every order of steps up to a depth; returns the number of states, and the steps to a failure or None."""
    code, seen, layer = world.code, set(), [(world.data(), ())]
    for _ in range(depth):
        following = []
        for data, path in layer:
            for step in unpickle_world(code, data).steps():
                successor = unpickle_world(code, data)
                try:
                    successor.do(step)
                except AssertionError:
                    return len(seen), (*path, step)
                after = successor.data()
                key = hash(after)
                if key not in seen:
                    seen.add(key)
                    following.append((after, (*path, step)))
                    if len(seen) >= max_states:
                        return len(seen), None
        layer = following
    return len(seen), None


def schedule(code, seed, count=4, requests=3, steps=60):
    """Play one random order of steps; raises AssertionError if a request is executed twice."""
    rng = random.Random(seed)
    faults = {kind: rng.randrange(4) for kind in ("twice", "lose", "kill", "start", "doubt", "learn")}
    world = World(
        code,
        count,
        faults | {"tick": rng.randrange(8), "wait": rng.randrange(8) * (seed % 2)},
        1 if seed % 3 == 2 else 50_000,
    )
    for request in range(1, requests + 1):
        world.accept(rng.randrange(count), request, f"r{request}")
    _play(world, rng, steps)
    return world


def schedule_of_one_identity(code, seed, faults, count=4, steps=120):
    """Play one random order of steps of two requests of one identity at two instances.

    Raises AssertionError if both are executed. `faults` maps each kind to its maximum number.
    """
    rng = random.Random(seed)
    world = World(code, count, {kind: rng.randrange(maximum + 1) for kind, maximum in faults.items()})
    identity = b"%08d" % (seed % 16)
    for request, number in enumerate(rng.sample(range(count), 2), 1):
        world.accept(number, request, "the one", identity)
    _play(world, rng, steps)
    return world


def schedule_across_a_partition(code, seed, faults, count=4, steps=80):
    """Play one random order of steps of two requests of one identity around a partition.

    The first request arrives before or during the partition, the second one during it.
    """
    rng = random.Random(seed)
    world = World(code, count, {kind: rng.randrange(maximum + 1) for kind, maximum in faults.items()})
    identity = b"%08d" % (seed % 64)
    places = rng.sample(range(count), 2)
    if rng.random() < 0.5:
        world.accept(places[0], 1, "the one", identity)
        _play(world, rng, rng.randrange(12))
    world.remaining_faults["cut"] = 1
    world.do(rng.choice([step for step in world.steps() if step[0] == "cut"]))
    for request, number in enumerate(places, 1):
        _play(world, rng, rng.randrange(steps // 2))
        if number in world.nodes and (number, 1, request) not in world.request_names:
            world.accept(number, request, "the one", identity)
    _play(world, rng, steps)
    world.remaining_faults["heal"] = 1
    _play(world, rng, steps)
    return world


def _play(world, rng, steps):
    for _ in range(steps):
        steps_now = world.steps()
        if not steps_now:
            return
        kinds = sorted({step[0] for step in steps_now})
        kind = rng.choice(kinds + ["deliver"] * 3) if "deliver" in kinds else rng.choice(kinds)
        world.do(rng.choice([step for step in steps_now if step[0] == kind]))
