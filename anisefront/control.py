"""Every decision of the gateway. Its settings, events and actions are the types of interface.py.

Read it top to bottom: FuzzyShare steers each class's share of attempts out by the wait of its requests,
Window caps the attempts out, Quota keeps the customers' quotas and ceilings, Servers picks where to send,
and Controller leads each request from its arrival to its one final answer.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import deque
from dataclasses import dataclass, field, replace

from anisefront import messages
from anisefront.interface import (
    Action, Arrival, Cancel, ClientGone, Event, Fail, Fleet, Heard, Outcome, Plan, Probe, Probed, Refuse,
    Repeat, RequestClass, Result, Scope, Send, Server, Settings, Started, State, Subscribe, Tell, Wake,
)

# Fuzzy shares (paper, Tables 6 and 7, absolute delay).
ERROR_GAIN, CHANGE_GAIN, OUTPUT_GAIN = 0.4, 3.0, 0.01  # per second of error, of its change; share per output
CENTRES = (-1.0, -0.5, 0.0, 0.5, 1.0)  # five triangles, each as wide as its neighbours' distance
PERIOD_MS = 100.0  # one step of the shares: short, since one step moves a share by 0.01 at most
FEW_SAMPLES = 5  # with fewer released in a period, the ages of those still held count as waits too
LEAST_SHARE = 0.05  # of the window, so that no class is starved for good

# Window.
START_PER_SERVER = 12.0  # attempts out for each ready server, over all gateways, until answers tell more
FLOOR_PER_SERVER = 4.0  # over all gateways: never fewer, or slow answers would close it for good
IN_SERVER_PART = 0.25  # of a class's aim that attempts may spend at servers on average; more thrashes them
ANSWER_PART = 0.45  # of a class's aim that is kept free for the answer at most
PEAK_GROWTH = 2.0  # times the recent peak, as the design has it
FULL_CUT = 0.75  # after full refusals, as the design has it
FULL_SHARE, LEAST_CUT = 0.15, 0.3  # of attempts refused as full that cuts; how far cuts may go
CUT_HEAL = 1.05  # per period, how a cut wears off
RATE_MEMORY_MS = 1000.0  # over which answers are counted

# Quota.
TELL_MS = 250.0  # between messages; four a second stay far within any inbox
INBOX_PART = 0.5  # of what an inbox takes a second that all others together may send
STALE_MS, STALE_TELLS = 1500.0, 4.0  # a gateway not heard for so long, or so many tells, is not believed
DEMAND_MEMORY_MS = 3000.0  # over which a customer's use is averaged
RESERVE_MS = 500.0  # of the others' use kept back when spending on what was heard
SURE_PART = 0.15  # of the store kept back as well
LEAST_PART = 0.02  # of a quota that a gateway keeps, however little it was asked
OUT_MEMORY_MS = 700.0  # over which a customer's attempts out are averaged
OPEN_RISK = 0.4  # of the even odds at which one more out costs as much as it brings: waiting is cheaper still
WORTH_TELLING = 0.05  # of the store: smaller use is not told at once

# Servers.
SLOW_GAIN, SLOW_MOST = 0.15, 10.0  # how fast a relative slowness is learned; its bound
FAIL_GAIN, FAIL_WEIGHT = 0.3, 200.0  # of the squared share: one failure soon fades, a row of them does not
FAIL_MEMORY_MS = 4000.0  # a server's failures fade, so that it is tried again a little at a time
SILENT_TIMES, SILENT_LEAST_MS = 4.0, 400.0  # no answer for so many usual times: it counts as failing
ZONE_COST = 1.15  # a server of another zone must be so much better
COLD_SAFETY, COLD_OUT = 1.0, 12.0  # of a warm server's sends times the cold share; out at once, all together
UTIL_LOAD = 2.0  # attempts that a fully busy server counts as holding for others
REPORT_MEMORY_MS = 1000.0

# Further attempts.
HEDGE_TIMES, HEDGE_LEAST_MS = 3.0, 150.0  # usual answer times after which a second copy may go out
RETRY_PART, RETRY_MOST = 0.2, 20.0  # further attempts for each first one; how many may be saved up
HEDGE_ROOM = 0.7  # of the window: fuller than that, no second copies
OVER_ROOM = 0.5  # of the window: fuller than that, nothing beyond a quota is sent on
USUAL_START_MS = 200.0  # a class's answer time before the first answer
USUAL_GAIN = 0.05
SAFE_TIMES = 2.5  # usual answer times to leave before the aim: the mean alone lets half come late
CLOCK_GRAIN_MS = 0.001  # a wake-up told in whole microseconds may come so much early


class FuzzyShare:
    """A Mamdani PI-type controller: the wait of one class against its aim moves the class's share."""

    def __init__(self, aim_ms: float, share: float) -> None:
        self.aim_s, self.share, self.last_error = aim_ms / 1000, share, None

    def step(self, wait_ms: float) -> None:
        """One period: a late class gains; one under its aim keeps what it has."""
        error = self.aim_s - wait_ms / 1000
        change = 0.0 if self.last_error is None else error - self.last_error
        self.last_error = error
        move = OUTPUT_GAIN * self.infer(ERROR_GAIN * error, CHANGE_GAIN * change)
        if move < 0 or error < 0:
            self.share = min(1.0, max(LEAST_SHARE, self.share - move))

    @staticmethod
    def infer(error: float, change: float) -> float:
        """Diagonal table, max-min inference, centre of gravity; all on [-1, 1]."""
        half = CENTRES[1] - CENTRES[0]

        def grades(x: float) -> list[float]:
            x = max(-1.0, min(1.0, x))
            return [max(0.0, 1 - abs(x - centre) / half) for centre in CENTRES]

        strength = [0.0] * len(CENTRES)
        for i, first in enumerate(grades(error)):
            for j, second in enumerate(grades(change)):
                out = max(0, min(len(CENTRES) - 1, i + j - len(CENTRES) // 2))
                strength[out] = max(strength[out], min(first, second))
        above = below = 0.0
        for step in range(-20, 21):
            x = step / 20
            height = max(map(min, strength, grades(x)))
            above, below = above + x * height, below + height
        return above / below


class Window:
    """The cap on attempts out. It lets answers take a part of their aims: rate times that time are out."""

    def __init__(self, gateways: int) -> None:
        # Each gateway has a part of the servers only: a cap that forgets this overdrives a fleet of many.
        self.gateways = gateways
        self.out, self.peak, self.cut, self.answered_ms = 0, 0.0, 1.0, 0.0
        self.full, self.ended = 0.0, 0.0  # fading counts of attempts refused as full, and of all that ended
        self.room = 0.0  # answers a second x time each may take, summed over classes

    def step(self) -> None:
        """One period has gone by."""
        keep = math.exp(-PERIOD_MS / RATE_MEMORY_MS)
        self.room = self.room * keep + self.answered_ms * IN_SERVER_PART / PERIOD_MS * (1 - keep)
        self.peak = max(float(self.out), self.peak * keep)
        crowded = self.full > FULL_SHARE * self.ended  # one server that refuses all is no crowded fleet
        self.cut = max(LEAST_CUT, self.cut * FULL_CUT) if crowded else min(1.0, self.cut * CUT_HEAL)
        self.answered_ms, self.full, self.ended = 0.0, self.full * keep * keep, self.ended * keep * keep

    def cap(self, servers: float) -> int:
        ready = servers / self.gateways
        if not self.room:
            return max(1, int(START_PER_SERVER * ready * self.cut))
        least = max(1.0, FLOOR_PER_SERVER * ready * self.cut)
        most = PEAK_GROWTH * max(self.peak, START_PER_SERVER * ready)
        return int(max(least, min(self.room * self.cut, most)))


@dataclass(slots=True)
class Account:
    """One customer here: the shared store as far as known, our own bucket, and our slice of the ceiling."""

    plan: Plan
    tag: int
    members: tuple[int, ...]  # the gateways of its set
    at_ms: float
    store: float  # of all gateways together, as far as heard
    own: float  # our bucket
    ceiling: float = 0.0
    spent: float = 0.0  # by us since our start
    asked: float = 0.0  # fading sum of units asked of us
    out: int = 0  # attempts out, and their fading mean
    mean_out: float = 0.0
    part: float = 1.0
    told: dict[int, float] = field(default_factory=dict)
    waiting: list[Request] = field(default_factory=list)

    def asked_per_s(self) -> float:
        return self.asked * 1000 / DEMAND_MEMORY_MS


class Quota:
    """Each customer's bucket fills at the quota times our part of its recent use."""

    def __init__(self, settings: Settings, boot: int) -> None:
        self.settings, self.boot = settings, boot
        # Many gateways tell less often: what comes faster than an inbox takes is lost, and all go stale.
        crowd = 1000 * settings.gateways / (INBOX_PART * settings.inbox_per_s or math.inf)
        self.tell_ms, self.stale_ms = max(TELL_MS, crowd), max(STALE_MS, STALE_TELLS * crowd)
        self.accounts: dict[str, Account] = {}
        self.by_tag: dict[int, Account] = {}
        self.news: dict[int, dict[int, tuple[int, float, messages.Use]]] = {}  # by tag, gateway
        self.heard_ms: dict[int, float] = {}

    def account(self, now: float, arrival: Arrival, plan: Plan) -> Account:
        """The customer's account, brought up to now."""
        account = self.accounts.get(arrival.customer)
        if account is None:
            spread = max(1, min(arrival.spread, self.settings.gateways))
            members = tuple((arrival.first_gateway + n) % self.settings.gateways for n in range(spread))
            account = Account(plan, messages.tag_of(arrival.customer), members, now, plan.burst,
                              plan.burst / spread)
            # A ceiling is split evenly for good and its slice starts empty: no message is needed to keep it,
            # and a restarted gateway can't grant again what it spent before.
            self.accounts[arrival.customer] = self.by_tag[account.tag] = account
            used = sum(use.asked_per_s for use in self.others(now, account))
            account.store = max(0.0, plan.burst - used / max(plan.rate_per_s, 1e-9) * plan.burst)
        self.refresh(now, account)
        return account

    def refresh(self, now: float, account: Account) -> None:
        """Fill the buckets for the time gone by, and follow the customer's demand."""
        gone_s = max(0.0, now - account.at_ms) / 1000
        account.at_ms = max(now, account.at_ms)
        account.asked *= math.exp(-gone_s * 1000 / DEMAND_MEMORY_MS)
        account.mean_out += (account.out - account.mean_out) * (1 - math.exp(-gone_s * 1000 / OUT_MEMORY_MS))
        spread, mine = len(account.members), account.asked_per_s()
        live = 1 + sum(self.believed(now, member) for member in account.members)
        heard = sum(use.asked_per_s for use in self.others(now, account)) if live > 1 else 0.0
        follow = mine / (mine + heard) if mine + heard > 0 else 1 / spread
        account.part = 1 / spread if live == 1 else max(LEAST_PART, follow * live / spread)
        plan = account.plan
        account.store = min(plan.burst, account.store + plan.rate_per_s * gone_s)
        most = max(plan.burst * account.part, self.settings.max_units)
        account.own = min(most, account.own + plan.rate_per_s * account.part * gone_s)
        if live == spread:
            account.own = min(account.own, max(0.0, account.store))
        slice_burst = plan.ceiling_burst / spread if self.settings.number in account.members else 0.0
        account.ceiling = min(slice_burst, account.ceiling + plan.ceiling_per_s / spread * gone_s)

    def others(self, now: float, account: Account) -> list[messages.Use]:
        """What the others of its set last told; the demand fades, since a quiet one tells no more."""
        return [use._replace(asked_per_s=use.asked_per_s * math.exp((heard_ms - now) / DEMAND_MEMORY_MS))
                for member, (_, heard_ms, use) in self.news.get(account.tag, {}).items()
                if member in account.members]

    def believed(self, now: float, gateway: int) -> bool:
        return now - self.heard_ms.get(gateway, -math.inf) <= self.stale_ms

    def within(self, now: float, account: Account, units: float) -> bool:
        """Would a try of so many units be inside the quota, as far as is known here?"""
        plan, peers = account.plan, self.others(now, account)
        sure = all(self.believed(now, member) for member in account.members if member != self.settings.number)
        if plan.max_out and not self.open_slot(account, sum(use.out for use in peers) if sure else None):
            return False
        if not plan.rate_per_s or units <= account.own:
            return True
        # Departure: while every gateway of the set is heard and the shared store holds plenty, a small part
        # is no reason to refuse; what the others may spend before we hear of it is kept back.
        others = min(plan.rate_per_s, sum(use.asked_per_s for use in peers))  # they keep to the quota too
        reserve = others * RESERVE_MS / 1000 + SURE_PART * plan.burst
        return sure and units <= account.store - reserve

    @staticmethod
    def open_slot(account: Account, heard: float | None) -> bool:
        """Is one more out likely inside the cap on attempts out at once?

        News of what the others have out is older than most attempts, so it is read as the mean of a Poisson
        count: the cap is full with some chance, and that is weighed. Others not heard have their slices.
        """
        plan, spread = account.plan, len(account.members)
        mean = plan.max_out * (1 - 1 / spread) if heard is None else heard
        free = plan.max_out - account.out
        chance = term = math.exp(-mean)
        for n in range(1, free):
            term *= mean / n
            chance += term
        return free > 0 and 1 - chance <= OPEN_RISK / (1 + max(0.0, plan.over_cost - plan.over_worth))

    def count_out(self, now: float, account: Account, change: int) -> None:
        self.refresh(now, account)
        account.out += change

    def spend(self, account: Account, units: float, ceiling_units: float) -> None:
        """A first attempt goes out, or an answer tells how far its true units differ from the guess."""
        account.ceiling -= ceiling_units
        account.store -= units
        account.own, account.spent = max(0.0, account.own - units), max(0.0, account.spent + units)

    def wait_ms(self, account: Account, units: float) -> float:
        """How long until the bucket holds so many units more."""
        rate = account.plan.rate_per_s * account.part
        return max(0.0, units - account.own) * 1000 / rate if rate else TELL_MS

    def hear(self, now: float, heard: Heard) -> None:
        """Take in what another gateway has told; bytes that cannot be read change nothing."""
        news = messages.decode(heard.data)
        if news is None or heard.sender not in set(range(self.settings.gateways)) - {self.settings.number}:
            return
        self.heard_ms[heard.sender] = now
        for use in news.uses:
            known = self.news.setdefault(use.tag, {})
            boot, _, before = known.get(heard.sender, (None, now, use))
            account = self.by_tag.get(use.tag)
            if boot == news.boot and use.spent < before.spent:
                continue  # late or repeated
            # A sender's first word: no more than a store can have gone since.
            spent = use.spent - before.spent if boot == news.boot else use.spent
            known[heard.sender] = news.boot, now, use
            if account:
                self.refresh(now, account)
                account.store = max(-account.plan.burst, account.store - min(spent, account.plan.burst))

    def tell(self, now: float, boot_ms: float) -> list[Tell]:
        """What the others should know by now, to each gateway that shares the customer."""
        uses: dict[int, list[tuple[float, Account]]] = {n: [] for n in range(self.settings.gateways)}
        for account in self.accounts.values():
            scale = max(1.0, account.plan.burst * WORTH_TELLING)
            steady = account.asked_per_s() if account.plan.max_out else 0.0
            for member in account.members:
                weight = (account.spent - account.told.get(member, 0.0) + steady) / scale
                if weight >= 1.0 or account.waiting:
                    uses[member].append((weight, account))
        del uses[self.settings.number]
        actions = []
        for member, rows in uses.items():
            rows.sort(key=lambda row: (-row[0], row[1].tag))
            told = []
            for _, account in rows[:messages.MAX_ENTRIES]:
                self.refresh(now, account)
                account.told[member] = account.spent
                told.append(messages.Use(account.tag, account.spent, account.asked_per_s(),
                                         account.mean_out))
            actions.append(Tell(member, messages.encode(self.boot, (now - boot_ms) / 1000, told)))
        return actions


@dataclass(slots=True)
class Backend:
    """What is known of one server."""

    entry: Server
    out: int = 0
    slow: float = 1.0  # answer times against those of the fleet
    fail: float = 0.0  # fading share of failures
    fail_ms: float = 0.0
    answer_ms: float = 0.0  # when it last answered anything
    sent: deque[float] = field(default_factory=deque)  # times of sends in the last fall window
    pending: dict[tuple[int, int], float] = field(default_factory=dict)  # attempts out: when sent
    others: float = 0.0  # load of others, by its last report
    report_ms: float = -math.inf


class Servers:
    """Which server gets an attempt: the least expected time, by load, speed, failures and zone."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self.settings, self.rng = settings, rng
        self.known: dict[str, Backend] = {}
        self.usual_latency = 0.0  # mean reported service time of the fleet

    def update(self, fleet: Fleet) -> None:
        if fleet.failed:
            return
        if fleet.complete:
            listed = {server.id for server in fleet.servers}
            for name, backend in self.known.items():
                if name not in listed:
                    backend.entry = replace(backend.entry, state=State.GONE)
        for server in fleet.servers:
            backend = self.known.setdefault(server.id, Backend(server))
            if backend.entry.started_ms != server.started_ms:
                backend.slow, backend.fail, backend.others = 1.0, 0.0, 0.0  # restarted: its past says nothing
            backend.entry = server

    def ready(self) -> list[Backend]:
        return [backend for backend in self.known.values() if backend.entry.state is State.READY]

    def warmth(self, now: float, backend: Backend) -> float:
        """The share of its capacity that a server surely has by now."""
        age, warm_up = now - backend.entry.started_ms, self.settings.warm_up_ms
        if not backend.entry.started_ms or age >= warm_up:
            return 1.0
        return self.settings.cold_from + (1 - self.settings.cold_from) * max(0.0, age) / warm_up

    def cold_room(self, now: float, backend: Backend, warm_sent: float) -> bool:
        """May a cold server be sent one more? It falls over for good when all gateways overdo it.

        Each gateway sends it at most the part of a warm server's sends that its own warmth allows, so the sum
        of all stays under what it can do however many gateways there are, retries and second copies too.
        """
        share = self.warmth(now, backend)
        if share >= 1.0:
            return True
        most_out = share * COLD_OUT / self.settings.gateways
        return len(backend.sent) < max(1.0, COLD_SAFETY * share * warm_sent) and backend.out <= most_out

    def failing(self, now: float, backend: Backend, usual: float) -> float:
        """The fading share of failures; a server that answers nothing for long counts as failing."""
        if backend.pending:
            silent = now - max(backend.answer_ms, next(iter(backend.pending.values())))
            if silent > max(SILENT_LEAST_MS, SILENT_TIMES * usual * backend.slow):
                return 1.0
        return backend.fail * math.exp(-(now - backend.fail_ms) / FAIL_MEMORY_MS)

    def choose(self, now: float, usual: float, allowed: list[Backend], fragile: bool) -> Backend | None:
        ready = self.ready()
        for backend in ready:
            while backend.sent and backend.sent[0] <= now - self.settings.fall_window_ms:
                backend.sent.popleft()
        warm = [len(backend.sent) for backend in ready if self.warmth(now, backend) >= 1.0] or [0]
        warm_sent = sum(warm) / len(warm)
        best, best_cost = None, math.inf
        for backend in allowed:
            if not self.cold_room(now, backend, warm_sent):
                continue
            others = backend.others * math.exp(-(now - backend.report_ms) / REPORT_MEMORY_MS)
            cost = (1 + backend.out + others) * backend.slow / max(0.01, backend.entry.weight)
            cost *= 1 + FAIL_WEIGHT * (2 if fragile else 1) * self.failing(now, backend, usual) ** 2
            cost *= 1.0 if backend.entry.zone == self.settings.zone else ZONE_COST
            cost *= self.rng.uniform(1.0, 1.1) / self.warmth(now, backend)
            if cost < best_cost:
                best, best_cost = backend, cost
        return best

    def report(self, now: float, backend: Backend, load: tuple[float, ...]) -> None:
        values = dict(zip(self.settings.report_fields, load, strict=False))
        if "inflight" in values:
            backend.others = max(0.0, values["inflight"] - backend.out)
        elif "util" in values:
            backend.others = UTIL_LOAD * max(0.0, min(1.0, values["util"]))
        backend.report_ms = now
        latency = values.get("latency_ms", 0.0)
        if latency > 0:
            self.usual_latency += (latency - self.usual_latency) * (USUAL_GAIN if self.usual_latency else 1.0)
            self.learn_speed(backend, latency / self.usual_latency)

    def learn_speed(self, backend: Backend, ratio: float) -> None:
        """Against the fleet's mean, so that a slowdown of every server makes no single one look bad."""
        backend.slow += (max(0.1, min(SLOW_MOST, ratio)) - backend.slow) * SLOW_GAIN

    def ended(self, now: float, backend: Backend, result: Result) -> None:
        if result in (Result.CANCELLED, Result.MOOT):
            return
        # Full counts too: whatever answers fast without serving looks idle and would draw all there is.
        faded = backend.fail * math.exp(-(now - backend.fail_ms) / FAIL_MEMORY_MS)
        backend.fail, backend.fail_ms = faded + ((result is not Result.OK) - faded) * FAIL_GAIN, now
        if result is not Result.TIMEOUT:
            backend.answer_ms = now


@dataclass(slots=True)
class Request:
    """One request, from arrival to its final answer."""

    arrival: Arrival
    kind: RequestClass
    plan: Plan
    account: Account
    came_ms: float
    aim_ms: float  # clock time
    rank: float
    attempts: int = 0
    out: dict[int, str] = field(default_factory=dict)  # attempts out: the server
    tried: list[str] = field(default_factory=list)
    uncertain: int = 0  # attempts out or not proved never to have run
    anchor: Backend | None = None  # server of the first of these, and when it was sent
    anchor_ms: float = 0.0
    inside: bool = True  # inside the quota
    held: bool = False
    streaming: bool = False


class Controller:
    """One gateway's decisions. The same events give the same actions."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.rng = settings, random.Random(seed)
        self.classes = {kind.name: kind for kind in settings.classes}
        self.plans = {plan.name: plan for plan in settings.plans}
        self.window = Window(settings.gateways)
        self.quota, self.servers = Quota(settings, self.rng.randrange(1 << 16)), Servers(settings, self.rng)
        self.shares = {kind.name: FuzzyShare(kind.aim_ms * (1 - ANSWER_PART), 1 / len(settings.classes))
                       for kind in settings.classes}
        self.waits: dict[str, list[float]] = {kind.name: [] for kind in settings.classes}
        self.class_out = {kind.name: 0 for kind in settings.classes}
        self.usual = {kind.name: min(USUAL_START_MS, kind.aim_ms / 4) for kind in settings.classes}
        self.requests: dict[int, Request] = {}
        self.held: list[Request] = []
        self.attempts: dict[tuple[int, int], tuple[Backend, str, Account]] = {}
        self.agenda: list[tuple[float, int, str, int]] = []
        self.serial, self.budget, self.now, self.boot_ms = 0, RETRY_MOST / 2, 0.0, -1.0

    # ---- the round ----

    def handle(self, now_ms: float, events: list[Event]) -> list[Action]:
        """Take in what happened at this time and return what to do."""
        self.now, self.actions = now_ms, list[Action]()
        if self.boot_ms < 0:
            self.boot_ms = now_ms
            self.plan_at(now_ms + PERIOD_MS, "period")
            if self.settings.may_tell and self.settings.gateways > 1:
                self.plan_at(now_ms + self.rng.uniform(0, TELL_MS), "tell")
            if self.settings.must_subscribe:
                self.actions.append(Subscribe())
            if self.settings.report_how == "probe" and self.settings.may_probe:
                self.plan_at(now_ms + REPORT_MEMORY_MS, "probe")
        for event in events:
            match event:
                case Outcome():
                    self.on_outcome(event)
                case Arrival():
                    self.on_arrival(event)
                case Started() if event.id in self.requests:
                    self.requests[event.id].streaming = True
                    self.cancel_others(self.requests[event.id], event.attempt)
                case ClientGone() if event.id in self.requests:
                    self.close(self.requests[event.id])
                case Heard():
                    self.quota.hear(now_ms, event)
                case Fleet():
                    self.servers.update(event)
                    if event.failed and self.settings.must_subscribe:
                        self.plan_at(now_ms + self.settings.ask_within_ms / 4, "subscribe")
                case Probed() if event.server in self.servers.known:
                    backend = self.servers.known[event.server]
                    self.servers.ended(now_ms, backend, event.result)
                    self.servers.report(now_ms, backend, event.load)
        while self.agenda and self.agenda[0][0] <= now_ms + CLOCK_GRAIN_MS:
            _, _, what, number = heapq.heappop(self.agenda)
            self.due(what, self.requests.get(number))
        self.release()
        return self.actions

    def plan_at(self, at_ms: float, what: str, number: int = -1) -> None:
        """Put a thing on the agenda; one wake-up each, since they cannot be withdrawn."""
        self.serial += 1
        heapq.heappush(self.agenda, (at_ms, self.serial, what, number))
        self.actions.append(Wake(max(0.0, at_ms - self.now), "agenda"))

    def due(self, what: str, request: Request | None) -> None:
        if what == "period":
            self.plan_at(self.now + PERIOD_MS, "period")
            self.step_shares()
            self.window.step()
        elif what == "tell":
            self.plan_at(self.now + self.quota.tell_ms, "tell")
            self.actions.extend(self.quota.tell(self.now, self.boot_ms))
        elif what == "subscribe":
            self.actions.append(Subscribe())
        elif what == "probe":
            self.plan_at(self.now + REPORT_MEMORY_MS, "probe")
            self.actions.extend(Probe(backend.entry.id) for backend in self.servers.ready())
        elif request is None or request.streaming:
            return
        elif what == "hedge":  # a second copy for an attempt that takes too long, while there is room
            if self.window.out < HEDGE_ROOM * self.cap() and len(request.out) == 1:
                self.again(request)
        elif what == "due" or request.attempts == 0:
            # The guard of rule 1: an answer before the client's time is up. And what can no longer be
            # answered in time is refused while a retry may help.
            self.refuse_or_fail(request)

    def step_shares(self) -> None:
        """One period of the fuzzy controllers."""
        for name, share in self.shares.items():
            waits = self.waits[name]
            if len(waits) < FEW_SAMPLES:
                waits = waits + [self.now - held.came_ms for held in self.held if held.kind.name == name]
            share.step(sum(waits) / len(waits) if waits else 0.0)
            self.waits[name] = []

    # ---- arrivals and release ----

    def on_arrival(self, arrival: Arrival) -> None:
        kind, plan = self.classes.get(arrival.class_name), self.plans.get(arrival.plan_name)
        if kind is None or plan is None or arrival.due_ms <= self.now or arrival.id in self.requests:
            self.actions.append(Refuse(arrival.id))
            return
        account = self.quota.account(self.now, arrival, plan)
        account.asked += arrival.units
        # An answer just after the aim is worth little or nothing, so waiting must leave time for the answer.
        request = Request(arrival, kind, plan, account, self.now, self.now + kind.aim_ms,
                          kind.worth * plan.value)
        self.requests[arrival.id] = request
        self.plan_at(arrival.due_ms - 2 * self.settings.tick_ms, "due", arrival.id)
        last = arrival.due_ms if kind.late_worth > 0 else min(arrival.due_ms, request.aim_ms)
        self.plan_at(last - self.answer_time(kind), "hopeless", arrival.id)
        account.waiting.append(request)
        if not self.admit(account):
            self.prune(account)

    def admit(self, account: Account) -> bool:
        """Let in what the quota holds units for, the worthiest first."""
        self.quota.refresh(self.now, account)
        while account.waiting:
            request = max(account.waiting, key=lambda waiter: (waiter.rank, waiter.came_ms))
            units, plan = request.arrival.units, request.plan
            if plan.ceiling_per_s and units > account.ceiling:
                return False
            request.inside = self.quota.within(self.now, account, units)
            if not request.inside and plan.over_worth <= plan.over_cost:
                return False
            account.waiting.remove(request)
            # Drawn now and not at the send: what is held may all go out at once.
            self.quota.spend(account, units if request.inside else 0.0, units)
            self.quota.count_out(self.now, account, 1)
            if not request.inside:
                request.rank *= plan.over_worth
            request.held = True
            self.held.append(request)
        return True

    def prune(self, account: Account) -> None:
        """Refuse the least worthy of those that the bucket cannot serve within their aims."""
        rate = account.plan.rate_per_s * account.part
        while account.waiting and rate:
            queue = account.waiting
            patience = max(waiter.aim_ms - self.answer_time(waiter.kind) - self.now for waiter in queue)
            if sum(waiter.arrival.units for waiter in queue) <= account.own + rate * patience / 1000:
                return
            self.refuse_or_fail(min(queue, key=lambda waiter: (waiter.rank, waiter.came_ms)))

    def cap(self) -> int:
        """The window, for the servers that are ready, cold ones by their warmth."""
        return self.window.cap(sum(self.servers.warmth(self.now, server) for server in self.servers.ready()))

    def release(self) -> None:
        """Send on what is held: all of it below the cap; at the cap by shares, then by worth alone."""
        # Of equal worth the newest goes: the oldest first would have all of them near their aims, many late.
        for account in self.quota.accounts.values():
            if account.waiting:
                self.admit(account)
        if not self.held:
            return
        cap = self.cap()
        self.held.sort(key=lambda request: (not request.inside, -request.rank, -request.came_ms))
        if len(self.held) > cap - self.window.out:
            total = max(1.0, sum(share.share for share in self.shares.values()))
            left = {name: own.share / total * cap - self.class_out[name] for name, own in self.shares.items()}
            first, rest = [], []
            for request in self.held:
                left[request.kind.name] -= 1
                (first if left[request.kind.name] >= 0 and request.inside else rest).append(request)
            self.held = first + rest
        self.held = [request for request in self.held
                     if self.window.out >= cap * (1.0 if request.inside else OVER_ROOM)
                     or not self.send(request)]

    # ---- attempts ----

    def send(self, request: Request) -> bool:
        """One more attempt, where a server may take it."""
        backend = self.servers.choose(self.now, self.usual[request.kind.name], self.allowed(request),
                                      request.kind.repeat is Repeat.UNSAFE)
        if backend is None or request.attempts >= self.settings.max_attempts:
            return False
        number, name = request.arrival.id, backend.entry.id
        if request.attempts == 0:
            self.waits[request.kind.name].append(self.now - request.came_ms)
            self.budget = min(RETRY_MOST, self.budget + RETRY_PART)
            request.held = False
        else:
            self.quota.count_out(self.now, request.account, 1)
        self.actions.append(Send(number, name, max(1.0, request.arrival.due_ms - self.now)))
        self.attempts[number, request.attempts] = (backend, request.kind.name, request.account)
        request.out[request.attempts] = name
        backend.pending[number, request.attempts] = self.now
        request.tried.append(name)
        request.attempts += 1
        if not request.uncertain:
            request.anchor, request.anchor_ms = backend, self.now
        request.uncertain += 1
        backend.out += 1
        backend.sent.append(self.now)
        self.window.out += 1
        self.class_out[request.kind.name] += 1
        if request.kind.repeat is not Repeat.UNSAFE and self.settings.second_copies:
            patience = max(HEDGE_LEAST_MS, HEDGE_TIMES * self.usual[request.kind.name])
            self.plan_at(self.now + patience, "hedge", number)
        return True

    def allowed(self, request: Request) -> list[Backend]:
        """Servers that may be sent this request now: rule 2 (its group and window) and rule 3 (no drains)."""
        ready = self.servers.ready()
        kind, anchor = request.kind, request.anchor
        if anchor is not None and request.uncertain and kind.repeat is not Repeat.SAFE:
            left = request.anchor_ms + kind.window_ms - self.settings.tick_ms - self.now
            if kind.repeat is Repeat.UNSAFE or left <= 0:
                return []
            same, group = anchor.entry, kind.scope
            ready = [backend for backend in ready if group is Scope.ALL or backend.entry.zone == same.zone
                     and (group is Scope.ZONE or backend.entry.cell == same.cell)]
        return [backend for backend in ready if backend.entry.id not in request.tried] or ready

    def answer_time(self, kind: RequestClass) -> float:
        """What an attempt is taken to need, with room for a slow one. Bounded by its part of the aim: else a
        bad spell that pushes it past the aim would have all refused on arrival, and nothing would heal."""
        return min(SAFE_TIMES * self.usual[kind.name], ANSWER_PART * kind.aim_ms)

    def again(self, request: Request) -> bool:
        """A further attempt, where it can still be in time and the budget allows it."""
        late = self.now + self.answer_time(request.kind) > min(request.aim_ms, request.arrival.due_ms)
        if late or self.budget < 1 or not self.send(request):
            return False
        self.budget -= 1
        return True

    def on_outcome(self, event: Outcome) -> None:
        if (event.id, event.attempt) not in self.attempts:
            return
        backend, class_name, account = self.attempts.pop((event.id, event.attempt))
        request = self.requests.get(event.id)
        backend.out -= 1
        backend.pending.pop((event.id, event.attempt), None)
        self.window.out, self.window.ended = self.window.out - 1, self.window.ended + 1
        self.class_out[class_name] -= 1
        self.quota.count_out(self.now, account, -1)
        self.servers.ended(self.now, backend, event.result)
        if event.load:
            self.servers.report(self.now, backend, event.load)
        usual = self.usual[class_name]
        if event.result is Result.OK:
            self.window.answered_ms += self.classes[class_name].aim_ms
            self.servers.learn_speed(backend, event.took_ms / usual)
            self.usual[class_name] = usual + (event.took_ms - usual) * USUAL_GAIN
        self.window.full += event.result is Result.FULL
        if request is None:
            return
        request.out.pop(event.attempt, None)
        request.uncertain -= event.result.never_ran
        if event.result is Result.OK and event.true_units and request.inside:
            self.quota.spend(account, event.true_units - request.arrival.units, 0.0)
        if event.final:
            self.close(request)
        elif not request.out and not self.again(request):
            self.refuse_or_fail(request)

    # ---- endings ----

    def refuse_or_fail(self, request: Request) -> None:
        """The final answer. A refusal says that a retry is harmless, so only where that is certain."""
        harmless = (request.kind.repeat is Repeat.SAFE
                    or request.kind.repeat is Repeat.KEYED and request.kind.scope is Scope.ALL)
        if harmless or not request.uncertain:
            advice = self.quota.wait_ms(request.account, request.arrival.units)
            self.actions.append(Refuse(request.arrival.id, min(advice, self.settings.max_retry_after_ms)))
        else:
            self.actions.append(Fail(request.arrival.id))
        self.close(request)

    def close(self, request: Request) -> None:
        """The request has ended: nothing more goes out for it, and copies still out are called off."""
        self.requests.pop(request.arrival.id, None)
        if request in request.account.waiting:
            request.account.waiting.remove(request)
        if request.held:
            self.held.remove(request)
            self.quota.count_out(self.now, request.account, -1)
        self.cancel_others(request, -1)

    def cancel_others(self, request: Request, keep: int) -> None:
        if self.settings.may_cancel:
            self.actions.extend(Cancel(request.arrival.id, n) for n in request.out if n != keep)
