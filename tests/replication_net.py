"""Origins, keepers and witnesses in a net whose every step is chosen: by a search of all orders, or by a seed.

What ran is counted as the world would see it: an attempt that left, work taken over of which nothing had left, and a
client's try elsewhere after it was told that its request never ran. More than one for a request is a fault."""

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

PARTS = (
    ("primary", "Primary"),
    ("backup", "Backup"),
    ("witness", "Witness"),
    ("lock_voter", "LockVoter"),
    ("lock_requester", "LockRequester"),
)
LIFETIME_MS = 1_000_000  # of a request
TICK, WAIT = 200.0, 40.0  # past every patience at once; time to ask again only


def fresh(*cuts):
    """The deciding code, with guards taken out: each cut is (module, text, what stands there instead)."""
    out = types.SimpleNamespace(Replica=Replica)
    for name, wanted in PARTS:
        source = importlib.import_module(f"anisefront.cluster.{name}").__spec__.loader.get_source(
            f"anisefront.cluster.{name}"
        )
        for _, text, instead in (cut for cut in cuts if cut[0] == name):
            assert source.count(text) == 1, f"{text!r} stands {source.count(text)} times in {name}.py"
            source = source.replace(text, instead)
        module = types.ModuleType(f"replication_{name}_{abs(hash(str(cuts)))}")
        sys.modules[module.__name__] = module  # pickle looks classes up by it
        exec(compile(source, f"{name}.py", "exec"), module.__dict__)
        setattr(out, wanted, getattr(module, wanted))
    return out


def _drain(part):
    if not hasattr(part, "mail"):
        part.mail, part.done = [], []
    for action in part.take_actions():
        (part.mail if isinstance(action, SendMessage) else part.done).append(action)


def messages(part):
    """Receivers and messages that a primary, backup or witness has sent since the last call."""
    _drain(part)
    mail, part.mail = part.mail, []
    return [(action.receiver, action.message) for action in mail]


def done(part, kind):
    """All actions of a kind that it has wanted so far."""
    _drain(part)
    return [action for action in part.done if isinstance(action, kind)]


class Node:
    """One life of one gatekeeper."""

    def __init__(self, code, number, life, max_requests, placement, has_locks=True):
        self.life, self.has_locks = life, has_locks
        replica = code.Replica(number, life)
        self.locks = code.LockRequester(replica, placement)
        self.primary = code.Primary(replica, locks=self.locks if has_locks else None)
        self.backup, self.witness = code.Backup(number, life, max_requests=max_requests), code.Witness(life)
        self.voter = code.LockVoter(replica, placement, LIFETIME_MS, is_recovered=life == 1)
        self.voter.other_locks = self.other_locks
        self.named = 0  # our request that has the name
        self.taken = set()  # names of requests taken over, which `daemon/request_takeover.py` retains
        self.backup.is_local_duplicate = self.is_duplicate
        self.backup.uses_locks = self.uses_locks

    @property
    def parts(self):
        return self.primary, self.backup, self.witness, self.voter

    def other_locks(self, now):
        return [*self.locks.known_locks(now), *self.backup.known_locks(now)]

    def uses_locks(self, number, incarnation):
        return self.has_locks

    def is_duplicate(self, name, sender):
        if name in self.taken:
            return True
        return bool(self.named) and not self.primary.yields_to(self.named, sender)


class World:
    """`count` gatekeepers. `left` says how often each kind of fault may still come.

    Without `has_locks` they recognize requests of one identity as those of earlier versions do, at common backups."""

    def __init__(self, code, count, left, max_requests=50_000, has_locks=True):
        self.code, self.count, self.left, self.max_requests = code, count, dict(left), max_requests
        self.now = 0.0
        self.lives = [1] * count
        self.placement = LockPlacement(dict.fromkeys(range(count), ""))
        self.nodes = {n: Node(code, n, 1, max_requests, self.placement, has_locks) for n in range(count)}
        self.seen = {n: {m: 1 for m in range(count) if m != n} for n in range(count)}  # who is alive, by whom
        self.net = []  # (sender, its life, receiver, bytes)
        self.runs = {}  # by request's name
        self.names = {}  # (number, life, request): name
        self.todo = []  # (number, life, name): taken, and neither sent nor refused yet
        self.refused = set()  # (number, life, request): their clients were told that they never run
        self.begun = False
        self.side = frozenset()  # while a cut lasts: those on one side of it, who hear only each other
        for n in range(count):
            self._members(n)

    def take(self, number, request, name, called=NO_IDENTITY, predecessor=None, prior_attempts=None):
        node = self.nodes[number]
        if called != NO_IDENTITY:
            node.named = request
        accepted = Accepted(request, True, LIFETIME_MS, called, b"")
        known = node.primary.accept(self.now, accepted, predecessor, False, prior_attempts or {})
        if not known and called != NO_IDENTITY:
            if not node.primary.may_run_unprotected(accepted):
                return  # rejected at once
            node.primary.accept_without_backup(self.now, accepted, predecessor)
        self.names[number, node.life, request] = name
        self.todo.append((number, node.life, request))
        self._after(number)

    # ---- steps -----------------------------------------------------------------------------------

    def steps(self):
        """All that may happen now."""
        out = [("deliver", i) for i in range(len(self.net))]
        for kind, more in (("twice", range(len(self.net))), ("lose", range(len(self.net)))):
            if self.left.get(kind):
                out += [(kind, i) for i in more]
        for what in ("send", "refuse")[: 1 if any(node.named for node in self.nodes.values()) else 2]:
            out += [(what, i) for i, (n, life, _) in enumerate(self.todo) if self._is(n, life)]
        for kind in ("tick", "wait"):
            if self.left.get(kind):
                out += [(kind, n) for n in self.nodes]
        if self.left.get("kill"):
            out += [("kill", n) for n in self.nodes]
        if self.left.get("doubt"):
            out += [("doubt", n, m) for n in self.nodes for m in self.seen[n]]
        if self.left.get("learn"):
            out += [
                ("learn", n, m)
                for n in self.nodes
                for m, life in enumerate(self.lives)
                if m != n and self.seen[n].get(m) != life
            ]
        if self.left.get("start"):
            out += [("start", n) for n in range(self.count) if n not in self.nodes]
        return out + self._steps_of_a_cut()

    def _steps_of_a_cut(self):
        """A cut, its healing, and the beliefs that follow from both, each at any time."""
        pairs = [(n, m) for n in self.nodes for m in self.nodes if n != m]
        if self.side:
            lost = [(n, m) for n, m in pairs if self._is_cut(n, m) and m in self.seen[n]]
            heal = [("heal",)] if self.left.get("heal") else []
            return heal + [("notice", n, m) for n, m in lost]
        if self.left.get("cut"):
            others = [
                frozenset((0, *side))
                for size in range(self.count - 1)
                for side in itertools.combinations(range(1, self.count), size)
            ]
            return [("cut", side) for side in others]
        if "cut" in self.left:
            return [("learn_again", n, m) for n, m in pairs if m not in self.seen[n]]
        return []

    def _is_cut(self, one, other):
        return bool(self.side) and (one in self.side) != (other in self.side)

    def _cut(self, side):
        self.side = side
        self.net = [sent for sent in self.net if not self._is_cut(sent[0], sent[2])]

    def _heal(self):
        self.side = frozenset()

    def _notice(self, number, other):
        """One takes another for out, which it does not hear any more."""
        self._doubt(number, other)

    def _learn_again(self, number, other):
        """One hears another again that it took for out."""
        self._learn(number, other)

    def _is(self, number, life):
        return number in self.nodes and self.nodes[number].life == life

    def do(self, step):
        what, *at = step
        if what in self.left:
            self.left[what] -= 1
        getattr(self, f"_{what}")(*at)

    def _deliver(self, i, keep=False):
        sender, life, receiver, data = self.net[i] if keep else self.net.pop(i)
        node = self.nodes.get(receiver)
        if node is None or self.seen[receiver].get(sender, 0) > life:
            return  # sealed messages of an earlier life are refused once the next has been heard of
        message = decode(data)
        if isinstance(message, RelayRequest):
            passed_on = encode(RelayedMessage(sender, life, message.data))
            if not self._is_cut(receiver, message.receiver):
                self.net.append((receiver, node.life, message.receiver, passed_on))
            return
        if isinstance(message, RelayedMessage):
            sender, life, message = message.origin, message.origin_incarnation, decode(message.data)
            if self.seen[receiver].get(sender, 0) > life:
                return
        node.primary.receive(self.now, sender, life, message)
        node.voter.receive(self.now, sender, life, message)
        node.backup.receive(self.now, sender, life, message)
        node.witness.receive(sender, life, message)
        self._after(receiver)

    def _twice(self, i):
        self._deliver(i, keep=True)

    def _lose(self, i):
        self.net.pop(i)

    def _send(self, i):
        number, life, request = self.todo.pop(i)
        if self.nodes[number].primary.start_attempt(self.now, request, 0, "w"):
            self._left(number, life, request)
        self._after(number)

    def _refuse(self, i):
        number, life, request = self.todo.pop(i)
        if self.nodes[number].primary.reject(self.now, request):
            self._ran(self.names[number, life, request])
        self._after(number)

    def _tick(self, number):
        self.now += TICK
        self._after(number)

    def _wait(self, number):
        self.now += WAIT
        self._after(number)

    def _kill(self, number):
        del self.nodes[number]

    def _start(self, number):
        self.lives[number] += 1
        self.nodes[number] = Node(self.code, number, self.lives[number], self.max_requests, self.placement)
        self.seen[number] = {m: self.lives[m] for m in range(self.count) if m != number}
        self._members(number)
        self._after(number)

    def _learn(self, number, other):
        """One hears that another has a new life, or that it is there after all."""
        life = self.seen[number][other] = self.lives[other]
        self._members(number)
        self.nodes[number].backup.primary_terminated(self.now, other, life - 1)
        self._after(number)

    def _doubt(self, number, other):
        """One takes another for out, rightly or not."""
        life = self.seen[number].pop(other)
        self._members(number)
        self.nodes[number].backup.primary_failed(self.now, other, life)
        self._after(number)

    def _members(self, number):
        seen = self.seen[number]
        self.nodes[number].primary.update_members(self.now, {m: self.code.Replica(m, life) for m, life in seen.items()})
        gone = frozenset(m for m in range(self.count) if m != number and m not in seen)
        self.nodes[number].voter.update_members(self.now, dict(seen), gone)

    def _after(self, number):
        """Carry out what a node wants done."""
        node = self.nodes[number]
        node.primary.handle_timers(self.now)
        node.primary.flush(self.now)
        node.backup.handle_timers(self.now)
        node.voter.handle_timers(self.now)
        while actions := in_execution_order(action for part in node.parts for action in part.take_actions()):
            for action in actions:
                self._carry_out(number, node.life, action)
            node.primary.flush(self.now)
        for part in (node.primary, node.backup, node.locks, node.voter):
            part.counts.clear()

    def _carry_out(self, number, life, action):
        node = self.nodes[number]
        match action:
            case SendMessage(receiver, message):
                sent = (number, life, receiver, encode(message))
                if sent not in self.net and not self._is_cut(
                    number, receiver
                ):  # the same again on its way is a doubling, which has its own count
                    self.net.append(sent)
            case StartAttempt(request):
                self._left(number, life, request)
            case DeliverRejection(request):
                node.primary.complete(self.now, request)
                self._ran(self.names[number, life, request])
            case YieldToDuplicate(request) | LockUnavailable(request):
                self._end(number, life, request)
                node.named = 0 if node.named == request else node.named
            case TakeOver(primary, incarnation, replica):
                self._take_over(number, primary, incarnation, replica)

    def _take_over(self, number, primary, incarnation, replica):
        """Continue a request; one without an identity runs at once, others when they have the lock."""
        name = self.names[primary, incarnation, replica.request]
        node = self.nodes[number]
        if replica.identity == NO_IDENTITY:
            if not replica.attempts:
                self._ran(name)
            return
        node.taken.add(replica.identity)
        if node.named:  # ours had yielded to it, or goes on in its place
            return
        request = 100 + len(self.names)
        prior_attempts = {attempt: endpoint for attempt, (endpoint, _) in replica.attempts.items()}
        owner = LockOwner(primary, incarnation, replica.request)
        self.take(number, request, name, replica.identity, owner, prior_attempts)
        if replica.attempts:  # it is failed: it may have run, and none of its identity may
            self._end(number, node.life, request, blocks_identity=True)

    def _end(self, number, life, request, blocks_identity=False):
        """End a request of which no attempt leaves any more."""
        self.refused.add((number, life, request))
        self.todo = [each for each in self.todo if each != (number, life, request)]
        self.nodes[number].primary.complete(self.now, request, blocks_identity, blocks_identity)

    def _left(self, number, life, request):
        """An attempt has left."""
        assert (number, life, request) not in self.refused, "an attempt left for what was said never to run"
        self._ran(self.names[number, life, request])

    def _ran(self, name):
        self.runs[name] = self.runs.get(name, 0) + 1
        assert self.runs[name] <= 1, f"{name} ran twice"

    # ---- searches --------------------------------------------------------------------------------

    def data(self):
        """This state as bytes, the code left out."""
        code, self.code = self.code, None
        self.net.sort()
        made = pickle.dumps(self, pickle.HIGHEST_PROTOCOL)
        self.code = code
        return made


def loaded(code, data):
    world = pickle.loads(data)
    world.code = code
    return world


def explore(world, depth, max_states=10**9):
    """Every order of steps up to a depth: (states seen, the steps that lead to a fault or None)."""
    code, seen, layer = world.code, set(), [(world.data(), ())]
    for _ in range(depth):
        following = []
        for data, path in layer:
            for step in loaded(code, data).steps():
                there = loaded(code, data)
                try:
                    there.do(step)
                except AssertionError:
                    return len(seen), (*path, step)
                after = there.data()
                key = hash(after)
                if key not in seen:
                    seen.add(key)
                    following.append((after, (*path, step)))
                    if len(seen) >= max_states:
                        return len(seen), None
        layer = following
    return len(seen), None


def schedule(code, seed, count=4, requests=3, steps=60):
    """One random order of steps; an AssertionError where something ran twice."""
    rng = random.Random(seed)
    faults = {kind: rng.randrange(4) for kind in ("twice", "lose", "kill", "start", "doubt", "learn")}
    world = World(
        code,
        count,
        faults | {"tick": rng.randrange(8), "wait": rng.randrange(8) * (seed % 2)},
        1 if seed % 3 == 2 else 50_000,
    )
    for request in range(1, requests + 1):
        world.take(rng.randrange(count), request, f"r{request}")
    _play(world, rng, steps)
    return world


def schedule_of_one_identity(code, seed, faults, count=4, steps=120):
    """One random order of steps of two requests of one identity at two gateways; an AssertionError where both ran.

    `faults`: the most of each kind."""
    rng = random.Random(seed)
    world = World(code, count, {kind: rng.randrange(most + 1) for kind, most in faults.items()})
    identity = b"%08d" % (seed % 16)
    for request, number in enumerate(rng.sample(range(count), 2), 1):
        world.take(number, request, "the one", identity)
    _play(world, rng, steps)
    return world


def schedule_across_a_cut(code, seed, faults, count=4, steps=80):
    """One random order of steps of two requests of one identity, which a cut keeps apart for a while.

    The first comes before the cut or during it, the second at any time of it."""
    rng = random.Random(seed)
    world = World(code, count, {kind: rng.randrange(most + 1) for kind, most in faults.items()})
    identity = b"%08d" % (seed % 64)
    places = rng.sample(range(count), 2)
    if rng.random() < 0.5:
        world.take(places[0], 1, "the one", identity)
        _play(world, rng, rng.randrange(12))
    world.left["cut"] = 1
    world.do(rng.choice([step for step in world.steps() if step[0] == "cut"]))
    for request, number in enumerate(places, 1):
        _play(world, rng, rng.randrange(steps // 2))
        if number in world.nodes and (number, 1, request) not in world.names:
            world.take(number, request, "the one", identity)
    _play(world, rng, steps)
    world.left["heal"] = 1
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
