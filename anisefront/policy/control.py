"""Every decision of the gateway. Its settings, events and actions are the types of interface.py.

Read it top to bottom: FuzzyShare steers each class's share of attempts out by the wait of its requests,
Window caps the attempts out, Quota keeps the customers' quotas and ceilings, Servers picks where to send,
and Controller leads each request from its arrival to its one final answer. Records are in state.py."""

from __future__ import annotations

import functools
import heapq
import math
import random
from dataclasses import replace
from anisefront.policy.messages import (
    MAX_ITEMS,
    MAX_SIGHTINGS,
    Item,
    Kind,
    Sighting,
    decode,
    encode,
    ratio_of,
    server_tag,
    sighting,
    tag_of,
)
from anisefront.policy.queues import Held, Waiting
from anisefront.policy.state import (
    Account,
    Ask,
    Backend,
    QuotaState,
    Request,
    ServersState,
    Store,
    WindowState,
)
from anisefront.policy.actions import (
    Action,
    CancelAttempt,
    Fail,
    Reject,
    RejectionReason,
    SendToPeer,
    SetTimer,
    StartAttempt,
    Subscribe,
)
from anisefront.policy.events import (
    Arrival,
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    EndpointList,
    EndpointStatus,
    Event,
    PeerMessage,
    PeersUnreachable,
    ResponseStarted,
)
from anisefront.policy.settings import DeduplicationScope, Idempotency, Plan, Settings

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
FULL_SHARE, FULL_CUT = 0.15, 0.75  # of attempts refused as full that cuts; the cut, as the design has it
LEAST_CUT, CUT_HEAL = 0.3, 1.05  # how far cuts may go; per period, how a cut wears off
RATE_MEMORY_MS = 1000.0  # over which answers are counted
MOST_STUCK = 1000  # held requests that no server takes, tried in a turn; only cold ones refuse so many
CHANCE = 1.5  # attempts by which the cap may be passed while those out average less
FLEET_GAIN = 0.1  # of each peer's room, in the mean of what is told

# Quota.
DEMAND_MEMORY_MS = 3000.0  # over which a customer's use is averaged
OWN_PART = 0.1  # of the burst that all own buckets hold together: what they hold the home may lend as well
HOME_CEILING = 0.5  # of a ceiling that the home may grant; the rest is split evenly over the set
ASK_START_MS, ASK_TIMES, ASK_LEAST_MS = 60.0, 2.5, 30.0  # usual time of a home's answer; late is so much,
ASK_PART = 0.15  # or such a part of the aim, so that two questions and credit fit into what may be waited
INBOX_PART, ASK_MOST = 0.5, 2.0  # of a home's inbox that one customer may fill; or so many times its quota
RESERVE = 0.5  # of the burst that what is worth nothing leaves in store, and less the more it is worth
LEASE_AIMS = 1.5  # a slot whose end is never told is free again after so many aims
TELL_PART, GAP_MOST_MS = 0.75, 60.0  # of an inbox that all others may fill; what waits for company
TALKING_MS = 1000.0  # a gateway heard within so long shares our peers' inboxes with us
QUIET_MS = 60_000.0  # a customer of which nothing was heard for so long may be let go
LOOK_LEAST, LOOK_PART = 16, 300  # so many customers, and such a part of all, are looked at in a period
DONE_MS, DONE_LEAST = 5000.0, 64  # how long, and how many, a home remembers what it granted, against repeats
TELL_MS = 250.0  # advice to come again where nothing better is known

# Servers.
SLOW_GAIN, SLOW_MOST = 0.15, 10.0  # how fast a relative slowness is learned; its bound
SLOW_MEMORY_MS = 15_000.0  # it fades, so that an old spell is no verdict
FAIL_WEIGHT = 200.0  # of the squared share of failures: one soon fades, a row of them does not
FAIL_MEMORY_MS = 4000.0  # a server's failures fade, so that it is tried again a little at a time
SUSPECT, HEARD_WEIGHT, SIGHTING_MS = 0.6, 0.5, 2000.0  # of an own failure: silence; what a peer saw of late
ZONE_COST = 1.15  # a server of another zone must be so much better
LEAST_CHOICE, CHOICE_PER_SEND = 2.0, 4.0  # servers compared; more for each recent send of ours to each server
UTIL_LOAD, REPORT_MEMORY_MS = 2.0, 300.0  # attempts that full use counts as; over which a report says no more
CROWD_BASE = 4.0  # an answer takes about as long as so many and those that its server has under way
LATEST, LATEST_MS = 4, 1000.0  # servers that told their load last, compared too: so many, for so long
COLD_FAILING, TOSS_MS = 0.5, 1000.0  # a cold server that fails more is passed by; a new chance for a request
FLEET_MEMORY_MS = 30_000.0  # over which the warm fleet of late counts as what carries the load

# Further attempts.
HEDGE_TIMES, HEDGE_LEAST_MS = 3.0, 150.0  # usual answer times after which a second copy may go out
RETRY_PART, RETRY_MOST = 0.2, 20.0  # further attempts for each first one; how many may be saved up
HEDGE_ROOM, OVER_ROOM = 0.7, 0.5  # of the window: fuller, and no second copy, nothing beyond a quota goes out
USUAL_START_MS, USUAL_GAIN = 200.0, 0.05  # a class's answer time before the first answer; how it is learned
MOST_SIZE, LOAD_LEAST, LOAD_MOST = 16, 0.25, 8.0  # sizes told apart; an attempt's load, in usual attempts
SAFE_TIMES = 2.5  # usual answer times to leave before the aim: the mean alone lets half come late
CLOCK_GRAIN_MS, STALL_PERIODS = 0.001, 4.0  # a wake-up may be so early; no turn for so long: we stood still


def grades(x: float) -> list[float]:
    x = max(-1.0, min(1.0, x))
    return [max(0.0, 1 - abs(x - centre) / (CENTRES[1] - CENTRES[0])) for centre in CENTRES]


def size_of(request: Request) -> int:
    return min(MOST_SIZE, math.ceil(request.arrival.units))


OUTPUTS = [(step / 20, grades(step / 20)) for step in range(-20, 21)]


class FuzzyShare:
    """A Mamdani PI-type controller: the wait of one class against its aim moves the class's share."""

    def __init__(self, latency_objective_ms: float, share: float) -> None:
        self.aim_s, self.share, self.last_error = latency_objective_ms / 1000, share, None

    def step(self, wait_ms: float) -> None:
        """One period: a late class gains; one under its aim keeps what it has."""
        error = self.aim_s - wait_ms / 1000
        change = 0.0 if self.last_error is None else error - self.last_error
        self.last_error = error
        if error >= 0 and change >= 0:
            return  # the output is not below nothing: an idle class need not be inferred
        move = OUTPUT_GAIN * self.infer(round(ERROR_GAIN * error, 2), round(CHANGE_GAIN * change, 2))
        if move < 0 or error < 0:
            self.share = min(1.0, max(LEAST_SHARE, self.share - move))

    @staticmethod
    @functools.cache  # a pure function of few values, and the dearest step of a pressed gateway
    def infer(error: float, change: float) -> float:
        """Diagonal table, max-min inference, centre of gravity; all on [-1, 1]."""
        strength = [0.0] * len(CENTRES)
        for i, first in enumerate(grades(error)):
            for j, second in enumerate(grades(change)):
                out = max(0, min(len(CENTRES) - 1, i + j - len(CENTRES) // 2))
                strength[out] = max(strength[out], min(first, second))
        above = below = 0.0
        for x, heights in OUTPUTS:
            height = max(map(min, strength, heights))
            above, below = above + x * height, below + height
        return above / below


class Window(WindowState):
    """The cap on attempts out. It lets answers take a part of their aims: rate times that time are out."""

    def count(self, now: float, change: int) -> None:
        self.mean_out += (self.out - self.mean_out) * -math.expm1((self.mean_ms - now) / RATE_MEMORY_MS)
        self.mean_ms, self.out = now, self.out + change

    def step(self, now: float, servers: float) -> None:
        """One period has gone by."""
        keep = math.exp(-PERIOD_MS / RATE_MEMORY_MS)
        self.room = self.room * keep + self.answered_ms * IN_SERVER_PART / PERIOD_MS * (1 - keep)
        self.count(now, 0)
        self.peak = max(float(self.out), self.peak * keep)
        crowded = self.full > FULL_SHARE * self.ended  # one server that refuses all is no crowded fleet
        self.cut = max(LEAST_CUT, self.cut * FULL_CUT) if crowded else min(1.0, self.cut * CUT_HEAL)
        self.answered_ms, self.full, self.ended = 0.0, self.full * keep * keep, self.ended * keep * keep
        self.set_limit(servers)

    def set_limit(self, servers: float) -> None:
        ready = servers / self.gateways  # our part: a cap that forgets the others overdrives the servers
        # A gateway's own few answers say little: the fleet's mean stands in for what they lack.
        room = self.room + max(0.0, self.fleet_room - self.room) * FEW_SAMPLES / (FEW_SAMPLES + self.ended)
        most = PEAK_GROWTH * max(self.peak, START_PER_SERVER * ready)
        least = FLOOR_PER_SERVER if room else START_PER_SERVER
        self.limit = max(least * ready * self.cut, min(room * self.cut, most))

    def free(self) -> float:
        """How many more may go out. While the mean is under the cap, chance may pass it: at one or two
        requests a second the cap is less than one, and a count that scatters would be held for nothing."""
        return self.limit + (CHANCE if self.mean_out < self.limit else 0.0) - self.out


class Quota(QuotaState):
    """Each customer's bucket fills at the quota times our part of its recent use.

    A part of a wide set holds less than one request. So (departure) one gateway of it, the customer's home,
    keeps the store that all draw on and lends what the bucket here lacks, the worthiest first; while it is
    silent, a gateway sends on credit of its own bucket, one request at a time."""

    def change(self, now: float, settings: Settings) -> None:
        """Other figures from now on. What was spent stays spent: stores are filled to this moment by the old
        figures and go on by the new ones, or each change would grant a whole burst again."""
        self.settings = settings
        for tag, store in self.stores.items():
            self.serve(now, tag)
            store.plan = settings.plans[self.plan_numbers[store.plan.name]]
            store.level = min(store.plan.burst, store.level)
            store.ceiling = min(store.plan.ceiling_burst * HOME_CEILING, store.ceiling)
            if store.waiting:  # what waits went by the old figures: perhaps for an hour more
                self.serve(now, tag)
        self.number_names()

    def forget(self, now: float) -> None:
        """Let go of customers that were quiet for long, whose bucket is full, and who owe and hold nothing:
        to begin anew grants them no more. A part of all is looked at in turn, so that no turn costs much."""
        for _ in range(min(len(self.accounts), LOOK_LEAST + len(self.accounts) // LOOK_PART)):
            name = next(iter(self.accounts))
            account = self.accounts.pop(name)
            if now - account.at_ms < QUIET_MS or account.out or account.own < 0:
                self.accounts[name] = account  # it stands last now
            else:
                del self.holders[account.tag]
        for _ in range(min(len(self.stores), LOOK_LEAST + len(self.stores) // LOOK_PART)):
            tag = next(iter(self.stores))
            store = self.stores.pop(tag)
            quiet_s, plan = (now - store.at_ms) / 1000, store.plan
            quiet = quiet_s * 1000 >= QUIET_MS and store.level + plan.rate_per_s * quiet_s >= plan.burst
            if quiet:
                store.waiting.let_go(now)
            if not quiet or store.waiting or any(until > now for until in store.leases.values()):
                self.stores[tag] = store

    def account(self, now: float, arrival: Arrival, plan: Plan) -> Account | None:
        """The customer's account, its buckets filled for the time gone by; none where another has its tag,
        for at their home the two would share one quota, and where as many are known as may be."""
        account = self.accounts.get(arrival.customer)
        if account is None:
            if len(self.accounts) >= self.settings.max_customers:
                return None
            spread = max(1, min(arrival.spread, self.settings.gateways))
            tag = tag_of(arrival.customer, self.settings.tag_key)
            if self.holders.setdefault(tag, arrival.customer) != arrival.customer:
                return None
            home = (arrival.first_gateway + tag % spread) % self.settings.gateways
            account = self.accounts[arrival.customer] = Account(plan, tag, spread, home, now)
        gone_s, account.at_ms = (now - account.at_ms) / 1000, now
        account.asked *= math.exp(-gone_s * 1000 / DEMAND_MEMORY_MS)
        if now - account.total_ms > 2 * DEMAND_MEMORY_MS:
            account.total = 0.0  # nothing is heard: the even slice serves
        mine = account.asked * 1000 / DEMAND_MEMORY_MS
        part = min(1.0, mine / account.total) if account.total else 1 / account.spread
        account.own = min(plan.burst * OWN_PART * part, account.own + plan.rate_per_s * part * gone_s)
        # A ceiling is split for good and its parts start empty: a restart can't grant again what was spent.
        rest = (1 - HOME_CEILING) / account.spread
        account.ceiling = min(plan.ceiling_burst * rest, account.ceiling + plan.ceiling_per_s * rest * gone_s)
        return account

    def request(self, now: float, request: Request) -> bool:
        """May this try go on? Where the bucket here lacks units, its home is asked."""
        account, plan, units = request.account, request.plan, request.arrival.units
        if plan.rate_per_s and not plan.max_in_flight and units <= account.own and self.draw(now, request):
            return True
        # Danger: who asks for many times its quota, or repeats without end, floods its home's inbox, and
        # what is lost there is everyone's. So only so many ask as a home can hear.
        heard = max(INBOX_PART * self.settings.inbox_per_s, ASK_MOST * plan.rate_per_s)
        if not self.settings.inbox_per_s or self.rng.random() * account.total <= heard:
            self.ask(now, request)
        return False

    def draw(self, now: float, request: Request) -> bool:
        """Send on from the buckets here, where the slice of the ceiling allows; the home is told."""
        account, units = request.account, request.arrival.units
        if request.plan.ceiling_per_s and units > account.ceiling:
            return False
        account.own, account.ceiling, request.paid = account.own - units, account.ceiling - units, units
        self.tell_home(now, Kind.SPENT, request)
        return True

    def ask(self, now: float, request: Request) -> None:
        request.asks, request.asked_ms = request.asks + 1, now
        self.tell_home(now, Kind.AGAIN if request.arrival.is_retry else Kind.ASK, request)
        if not request.answered:
            wait = max(ASK_LEAST_MS, min(ASK_TIMES * self.rtt_ms, ASK_PART * request.kind.latency_objective_ms))
            self.plan_at(now + wait * (self.home(request)[0] not in self.silent), "ask", request.arrival.id)

    def home(self, request: Request) -> tuple[int, float]:
        """Who lends to a request, and what it draws there. (Departure) For a home that is gone the next of
        its set stands in. Danger: each part of a cut fleet has one. So ceilings and slots stay with the home,
        and elsewhere a unit counts for more, the fewer are left: all parts lend the quota once more."""
        account, plan, units = request.account, request.plan, request.arrival.units
        if account.home not in self.away or plan.ceiling_per_s or plan.max_in_flight:
            return account.home, units
        count, dearest = self.settings.gateways, max(units, RESERVE * plan.burst)  # more is never granted
        left = (each for each in account.others(count) if each not in self.away)
        return next(left, self.settings.number), min(dearest, units * count / (count - len(self.away)))

    def unanswered(self, now: float, request: Request) -> bool:
        """The home has not answered: ask again, then send on credit. A quiet customer's lone request so goes
        on at any gateway; over all, each sends one and then waits for its part of the quota."""
        if request.answered:
            return False  # it waits at its home
        account, home = self.account(now, request.arrival, request.plan), self.home(request)[0]
        if request.asks < 2 and home not in self.silent:
            self.ask(now, request)
            return False
        self.silent.add(home)
        self.plan_at(now + TELL_MS, "ask", request.arrival.id)
        # Danger: a home that hears more than its inbox takes seems gone too, and a request on credit at each
        # gateway of a wide set is many times the burst. Credit is for outages: as many homes silent as heard.
        if len(self.silent) < len(self.heard_ms) and request.arrival.units > account.own:
            self.tell_home(now, Kind.ASK, request)
            return False
        return account.own >= 0 and not (request.plan.max_in_flight and account.out) and self.draw(now, request)

    def tell_home(self, now: float, kind: Kind, request: Request) -> None:
        account = request.account
        if not request.serial:
            self.serial = request.serial = self.serial % 0xFFFF + 1
            self.asking[request.serial] = request
        home, units = self.home(request)
        self.say(
            now,
            home,
            Item(
                kind,
                account.tag,
                request.serial,
                units,
                account.asked * 1000 / DEMAND_MEMORY_MS,
                self.class_numbers[request.kind.name],
                self.plan_numbers[request.plan.name],
            ),
        )

    def close(self, now: float, request: Request) -> None:
        """The request has ended: what it drew and did not use goes back, and its slot is free."""
        self.asking.pop(request.serial, None)
        if request.paid and (not request.attempts or request.plan.max_in_flight):
            self.tell_home(now, Kind.BACK, request)

    def say(self, now: float, gateway: int, item: Item) -> None:
        if gateway == self.settings.number:
            self.hear(now, gateway, self.boot, item)
        elif self.settings.peer_messages_enabled:
            self.outbox.setdefault(gateway, []).append(item)

    def post(self, now: float) -> list[tuple[int, list[Item]]]:
        """What each gateway is told now. Danger: what comes faster than an inbox takes is lost; so while
        ours is half full, which stands in for those of our peers, business waits for more to go along."""
        while self.heard_ms and now - self.heard_ms[last := next(iter(self.heard_ms))] > TALKING_MS:
            del self.heard_ms[last]  # they stand in the order in which they were heard
        room = TELL_PART * self.settings.inbox_per_s or math.inf
        full = min(1.0, max(0.0, 2 * self.heard / room - 1))
        gap = min(GAP_MOST_MS, full * len(self.heard_ms) * 1000 / room)
        ready = [other for other in self.outbox if now > self.told_ms.get(other, -math.inf) + gap]
        if len(ready) < len(self.outbox) and now >= self.flush_ms:
            self.flush_ms = now + max(self.settings.tick_ms, gap / 2)
            self.plan_at(self.flush_ms, "flush", -1)
        self.told_ms.update((other, now) for other in ready)
        return [(other, self.outbox.pop(other)[:MAX_ITEMS]) for other in ready]

    def hear(self, now: float, sender: int, boot: int, item: Item) -> None:
        if item.kind not in (Kind.GRANT, Kind.WAIT):
            if item.plan_index < len(self.settings.plans) and item.class_index < len(self.settings.classes):
                self.at_home(now, (sender, boot, item.serial), item)
            return
        request = self.asking.get(item.serial)
        if request is None or request.account.tag != item.tag or self.home(request)[0] != sender:
            if item.kind is Kind.GRANT:  # it has ended meanwhile
                self.say(now, sender, item._replace(kind=Kind.BACK))
            return
        request.account.total, request.account.total_ms = item.asked_per_s, now
        if request.asks == 1 and not request.answered:
            self.rtt_ms += (now - request.asked_ms - self.rtt_ms) * USUAL_GAIN
        request.answered = True
        if not request.paid:
            request.paid = request.arrival.units * (item.kind is Kind.GRANT)
            self.answered(request, item.kind is Kind.GRANT)

    def at_home(self, now: float, key: tuple[int, int, int], item: Item) -> None:
        plan, kind = self.settings.plans[item.plan_index], self.settings.classes[item.class_index]
        store = self.stores.get(item.tag)
        if store is None and len(self.stores) >= self.settings.max_customers:
            # Danger: a flood of names must not push out one that owes, nor make us seem gone to who asks.
            if item.kind in (Kind.ASK, Kind.AGAIN):
                self.say(now, key[0], item._replace(kind=Kind.WAIT, asked_per_s=0.0))
            return
        store = self.stores[item.tag] = store or Store(plan, plan.burst, now, waiting=Waiting())
        store.waiting.let_go(store.at_ms)
        queued, asked = key in store.waiting, item.kind in (Kind.ASK, Kind.AGAIN)
        if asked and key in store.done:
            # The first was lost. Danger: or it is late, and this one, handed back, would undo what was spent.
            self.reply(now, Kind.GRANT, key, item._replace(units=0.0), store)
        elif asked and not queued:
            store.asked += item.units
            worth = kind.priority_weight if item.kind is Kind.ASK else 0.0
            store.waiting.put(Ask(key, item, worth, now, now + kind.latency_objective_ms * (1 - ANSWER_PART)))
            self.serve(now, item.tag)
            if key in store.waiting:
                self.reply(now, Kind.WAIT, key, item, store)
        elif item.kind is Kind.SPENT and key not in store.done:
            store.waiting.drop(key)
            store.asked += 0.0 if queued else item.units
            self.book(now, store, key, item, 0.0)
        elif item.kind is Kind.BACK:
            if store.leases.pop(key, None) is None and key in store.done and not plan.max_in_flight:
                store.level = min(plan.burst, store.level + item.units)
            self.serve(now, item.tag)

    def serve(self, now: float, tag: int) -> None:
        """Lend to those that wait, the worthiest first, of equal worth the newest."""
        store, top = self.stores[tag], max(kind.priority_weight for kind in self.settings.classes) or 1.0
        gone_s, plan, store.at_ms = (now - store.at_ms) / 1000, store.plan, now
        store.asked *= math.exp(-gone_s * 1000 / DEMAND_MEMORY_MS)
        store.level = min(plan.burst, store.level + plan.rate_per_s * gone_s)
        ceiling_per_s = plan.ceiling_per_s * HOME_CEILING
        store.ceiling = min(plan.ceiling_burst * HOME_CEILING, store.ceiling + ceiling_per_s * gone_s)
        store.waiting.let_go(now)
        store.leases = {key: until for key, until in store.leases.items() if until > now}
        while (ask := store.waiting.first(now)) is not None:
            wait_s = 0.0
            if plan.rate_per_s:
                # Lesser worth leaves a reserve; a client's repeat, whose aim has mostly gone by, the most.
                spare = RESERVE * plan.burst * (1 - ask.worth / top)
                wait_s = (ask.item.units + spare - store.level) / plan.rate_per_s
            if plan.ceiling_per_s:
                wait_s = max(wait_s, (ask.item.units - store.ceiling) / ceiling_per_s)
            if plan.max_in_flight and len(store.leases) >= plan.max_in_flight:
                wait_s = max(wait_s, (min(store.leases.values()) - now) / 1000)
            if wait_s > 0:
                if not now < store.wake_ms <= now + wait_s * 1000 + PERIOD_MS:
                    store.wake_ms = now + wait_s * 1000 + self.settings.tick_ms
                    self.plan_at(store.wake_ms, "store", tag)
                return
            store.waiting.drop(ask.key)
            self.book(now, store, ask.key, ask.item, ask.item.units)
            self.reply(now, Kind.GRANT, ask.key, ask.item, store)

    def book(self, now: float, store: Store, key: tuple[int, int, int], item: Item, ceiling: float) -> None:
        if len(store.done) > DONE_LEAST:
            while store.done and now - store.done[old := next(iter(store.done))] > DONE_MS:
                del store.done[old]
        store.done[key] = now
        store.level, store.ceiling = max(-store.plan.burst, store.level - item.units), store.ceiling - ceiling
        if store.plan.max_in_flight:
            store.leases[key] = now + LEASE_AIMS * self.settings.classes[item.class_index].latency_objective_ms

    def reply(self, now: float, kind: Kind, key: tuple[int, int, int], item: Item, store: Store) -> None:
        asked = store.asked * 1000 / DEMAND_MEMORY_MS
        self.say(now, key[0], item._replace(kind=kind, asked_per_s=asked))


class Servers(ServersState):
    """Which server gets an attempt: the least expected time, by load, speed, failures and zone."""

    def update(self, now: float, fleet: EndpointList) -> list[Backend]:
        """Take in discovery's view; the answer is the servers that just left service."""
        before = self.warm + self.cold
        listed = {server.id for server in fleet.endpoints}
        for name, backend in self.known.items():
            if fleet.complete and name not in listed:
                backend.entry = replace(backend.entry, status=EndpointStatus.REMOVED)
        for server in fleet.endpoints:
            backend = self.known.get(server.id)
            if backend is None or backend.entry.started_ms != server.started_ms:  # what restarted has no past
                backend = Backend(server)
                self.known[server.id] = self.by_tag[server_tag(server.id)] = backend
            backend.entry = server
        self.sort(now)
        return [backend for backend in before if backend.entry.status is not EndpointStatus.READY]

    def sort(self, now: float) -> None:
        """The servers that are ready, by warmth."""
        self.warm, self.cold, self.capacity = [], [], 0.0
        for backend in self.known.values():
            if backend.entry.status is EndpointStatus.READY:
                share = self.warmth(now, backend)
                (self.warm if share >= 1 else self.cold).append(backend)
                self.capacity += share
        self.reference = max(self.capacity, self.reference)

    def step(self, now: float) -> None:
        """One period has gone by."""
        self.reference = max(self.capacity, self.reference * math.exp(-PERIOD_MS / FLEET_MEMORY_MS))
        self.sends *= math.exp(-PERIOD_MS / RATE_MEMORY_MS)
        if self.cold:
            self.sort(now)

    def warmth(self, now: float, backend: Backend) -> float:
        """The share of its capacity that a server surely has by now."""
        age, warm_up = now - backend.entry.started_ms, self.settings.warm_up_ms
        if not backend.entry.started_ms or age >= warm_up:
            return 1.0
        return (
            self.settings.slow_start_initial_factor
            + (1 - self.settings.slow_start_initial_factor) * max(0.0, age) / warm_up
        )

    @staticmethod
    def slow(now: float, backend: Backend) -> float:
        return 1 + (backend.slow - 1) * math.exp((backend.seen_ms - now) / SLOW_MEMORY_MS)

    def failing(self, now: float, backend: Backend, name: str) -> float:
        """The share of a class that a server fails; other classes' stands in for what is not known."""
        if not backend.bad:
            return 0.0
        fade = math.exp((backend.seen_ms - now) / FAIL_MEMORY_MS)
        overall = fade * sum(backend.bad.values()) / (fade * sum(backend.seen.values()) + 2)
        return (fade * backend.bad.get(name, 0.0) + overall) / (fade * backend.seen.get(name, 0.0) + 1)

    def choose(self, now: float, request: Request, group: list[Backend] | None, own: float) -> Backend | None:
        """A server for one more attempt of load `own`. `group`: the only ones rule 2 allows, if it binds."""
        warm = self.warm if group is None else [backend for backend in self.warm if backend in group]
        name, tried, best, best_cost = request.kind.name, request.tried, None, math.inf
        if self.cold and now >= request.toss_ms:
            # Danger: a cold server falls over for good when all gateways overdo it. So chance decides, once
            # for each attempt: over all gateways it gets the part that its warmth is of the fleet of late.
            request.toss_ms = now + TOSS_MS
            toss = self.rng.random() * self.reference
            for backend in self.cold:
                toss -= self.warmth(now, backend)
                if toss < 0:
                    barred = backend in request.tried or group is not None and backend not in group
                    if not barred and self.failing(now, backend, name) < COLD_FAILING:
                        return backend
                    break
        # Who seldom sends to each compares few: its news is old or known to all, who would crowd the best.
        count = math.ceil(LEAST_CHOICE + CHOICE_PER_SEND * self.sends / max(1, len(warm)))
        pool = warm if not tried else [backend for backend in warm if backend not in tried] or warm
        # Danger: one gateway of many sees few answers, and chance alone leaves some idle beside crowded ones.
        # Who has just answered has a place free, and we know how full it is (balancing with memory).
        latest = [each for each in self.latest if now - each.report_ms <= LATEST_MS and each in pool]
        fragile = 2 if request.kind.idempotency is Idempotency.NON_IDEMPOTENT else 1
        zone, chance = self.settings.zone, self.rng.uniform
        for backend in latest + self.rng.sample(pool, count) if count < len(pool) else pool:
            # What was reported fades to what is usual: one of which nothing is known is no idle one.
            fresh = math.exp(max(-50.0, (backend.report_ms - now) / REPORT_MEMORY_MS))
            entry, others = backend.entry, self.usual + (backend.others - self.usual) * fresh
            load = own + backend.load + others
            cost = load * (1.0 if backend.slow == 1 else self.slow(now, backend)) / max(0.01, entry.weight)
            if backend.bad:
                cost *= 1 + fragile * FAIL_WEIGHT * self.failing(now, backend, name) ** 2
            cost *= chance(1.0, 1.1) * (1.0 if entry.zone == zone else ZONE_COST)
            if cost < best_cost:
                best, best_cost = backend, cost
        return best

    def report(self, now: float, backend: Backend, load: tuple[float, ...]) -> None:
        values = dict(zip(self.settings.load_report_fields, load, strict=False))
        busy = UTIL_LOAD * max(0.0, min(1.0, values.get("util", 0.0)))
        backend.others = max(0.0, values["inflight"] - backend.out) if "inflight" in values else busy
        backend.report_ms = now
        self.usual += (backend.others - self.usual) * USUAL_GAIN
        self.crowd += (backend.others + backend.out - self.crowd) * USUAL_GAIN
        self.latest = [backend, *(other for other in self.latest if other is not backend)][:LATEST]

    def relief(self, now: float, backend: Backend) -> float:
        """By how much an answer of now would be shorter if its server were as crowded as is usual. Danger:
        crowded servers would be taken for slow ones, by all who are told; all would flee them and crowd the
        others, until these seem slow, and for seconds a part of the servers would be idle."""
        fresh = backend.report_ms == now
        return (CROWD_BASE + self.crowd) / (CROWD_BASE + backend.others + backend.out) if fresh else 1.0

    def learn(self, now: float, backend: Backend, name: str, ratio: float, weight: float) -> None:
        """One outcome: its time against the usual, or inf where it failed. Full is a failure too: what
        answers fast without serving looks idle and draws all there is."""
        fade, backend.slow = math.exp((backend.seen_ms - now) / FAIL_MEMORY_MS), self.slow(now, backend)
        backend.seen = {other: count * fade for other, count in backend.seen.items()}
        backend.bad = {other: count * fade for other, count in backend.bad.items()}
        backend.seen[name] = backend.seen.get(name, 0.0) + weight
        if ratio == math.inf:
            backend.bad[name] = backend.bad.get(name, 0.0) + weight
        elif ratio > HEDGE_TIMES:  # it was taken for silence, and is not
            backend.bad[name] = max(0.0, backend.bad.get(name, 0.0) - weight)
        ratio *= self.relief(now, backend) if weight > HEARD_WEIGHT else 1.0
        if ratio < math.inf:  # against the fleet's mean: a slowdown of all blames none
            backend.slow += (min(SLOW_MOST, ratio) - backend.slow) * SLOW_GAIN * weight
        backend.seen_ms = now
        if weight > HEARD_WEIGHT:  # first-hand: worth telling
            seen = sighting(backend.entry.id, self.names.index(name), ratio)
            self.sightings = [*self.sightings[1 - MAX_SIGHTINGS :], (now, seen)]

    def hear(self, now: float, sightings: tuple[Sighting, ...]) -> None:
        """What a peer saw weighs the less the more we see ourselves, or all would flee and crowd alike."""
        weight = HEARD_WEIGHT / (1 + CHOICE_PER_SEND * self.sends / max(1, len(self.warm)))
        for seen in sightings:
            backend = self.by_tag.get(seen.server)
            if backend is not None and seen.class_index < len(self.names):
                self.learn(now, backend, self.names[seen.class_index], ratio_of(seen), weight)


class Controller:
    """One gateway's decisions. The same events give the same actions."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.rng = settings, random.Random(seed)
        self.shares, self.waits = dict[str, FuzzyShare](), dict[str, list[float]]()
        self.usual, self.out = dict[str, float](), dict[str, int]()  # answer times; attempts out by class
        self.name_classes(settings)
        self.window, self.servers = Window(settings.gateways), Servers(settings, self.rng, list(self.classes))
        self.sized: dict[tuple[str, int], float] = {}  # the same by size: more units take longer
        self.usual_any = USUAL_START_MS  # over all classes and sizes
        self.quota = Quota(settings, self.rng, self.plan_at, self.on_answer, ASK_START_MS, self.rng.randrange(1 << 16))
        self.requests: dict[int, Request] = {}
        self.held = Held()
        self.attempts: dict[tuple[int, int], tuple[Backend, str, int, float]] = {}  # where, what, its load
        self.agenda: list[tuple[float, int, str, int]] = []
        self.serial, self.budget, self.now, self.stalled = 0, RETRY_MOST / 2, -1.0, False
        self.actions: list[Action] = []

    def handle(self, now_ms: float, events: list[Event]) -> list[Action]:
        """Take in what happened at this time and return what to do."""
        first, self.stalled = self.now < 0, 0 <= self.now < now_ms - STALL_PERIODS * PERIOD_MS
        self.now, self.actions, left = now_ms, list[Action](), list[Backend]()
        if first:
            self.plan_at(now_ms, "period")
            self.plan_at(now_ms, "subscribe")
        for event in events:
            match event:
                case AttemptEnded():
                    self.on_outcome(event)
                case Arrival():
                    self.on_arrival(event)
                case ResponseStarted() if event.id in self.requests:
                    self.requests[event.id].streaming = True
                    self.cancel_others(self.requests[event.id], event.attempt)
                case ClientDisconnected() if event.id in self.requests:
                    self.close(self.requests[event.id])
                case PeerMessage():
                    self.on_heard(event)
                case EndpointList() if not event.failed:
                    left += self.servers.update(now_ms, event)
                    self.window.set_limit(self.servers.capacity)
                case Settings():
                    self.change(event)
                case PeersUnreachable():
                    self.quota.away = event.gateways
                case EndpointList():
                    self.plan_at(now_ms + self.settings.poll_within_ms / 4, "subscribe")
        # A server that leaves may be dead before it has answered: safe work out there is sent elsewhere too.
        risky = {request.order: request for backend in left for request in backend.requests.values()}
        for _, request in sorted(risky.items()) if self.settings.hedging_enabled else ():
            at_risk = len(request.out) == 1 and next(iter(request.out.values())) in left
            safe = request.kind.idempotency is Idempotency.IDEMPOTENT and request.arrival.allows_hedging
            if at_risk and safe and not request.streaming:
                self.again(request)
        while self.agenda and self.agenda[0][0] <= now_ms + CLOCK_GRAIN_MS:
            _, _, what, number = heapq.heappop(self.agenda)
            self.due(what, number)
        self.release()
        seen = [seen for ms, seen in self.servers.sightings if now_ms - ms <= SIGHTING_MS]
        for gateway, items in self.quota.post(now_ms) if self.quota.outbox else ():
            self.actions.append(SendToPeer(gateway, encode(self.quota.boot, self.window.room, items, seen)))
        return self.actions

    def change(self, settings: Settings) -> None:
        """Other settings for what arrives from now on; what is here keeps its class and plan to its end.

        Classes and plans may be added at the end and change their figures. Danger: with one taken away or
        moved, peers that have not changed yet would count for another plan; the host refuses that."""
        self.settings = self.servers.settings = settings
        self.name_classes(settings)
        self.quota.change(self.now, settings)
        self.servers.names = list(self.classes)

    def name_classes(self, settings: Settings) -> None:
        """What is kept for each class and plan; what was learned stays."""
        self.classes = {kind.name: kind for kind in settings.classes}
        self.plans = {plan.name: plan for plan in settings.plans}
        for kind in settings.classes:
            own = self.shares.setdefault(kind.name, FuzzyShare(0.0, 1 / len(settings.classes)))
            own.aim_s = kind.latency_objective_ms * (1 - ANSWER_PART) / 1000
            self.waits.setdefault(kind.name, [])
            self.usual.setdefault(kind.name, min(USUAL_START_MS, kind.latency_objective_ms / 4))
            self.out.setdefault(kind.name, 0)

    def plan_at(self, at_ms: float, what: str, number: int = -1) -> None:
        """Put a thing on the agenda; one wake-up each, since they cannot be withdrawn."""
        self.serial += 1
        heapq.heappush(self.agenda, (at_ms, self.serial, what, number))
        self.actions.append(SetTimer(max(0.0, at_ms - self.now), "agenda"))

    def due(self, what: str, number: int) -> None:
        request = self.requests.get(number)
        if what == "period":
            self.plan_at(self.now + PERIOD_MS, "period")
            self.step_shares()
            self.quota.heard *= math.exp(-PERIOD_MS / TALKING_MS)
            self.quota.forget(self.now)
            self.servers.step(self.now)
            self.window.step(self.now, self.servers.capacity)
        elif what == "store":
            if number in self.quota.stores:
                self.quota.stores[number].wake_ms = math.inf
                self.quota.serve(self.now, number)
        elif what == "subscribe":
            self.actions += [Subscribe()] * self.settings.subscription_required
        elif request is None or request.streaming:
            return
        elif what == "ask":
            if request.waiting and self.quota.unanswered(self.now, request):
                self.let_in(request)
        elif what == "hedge":  # a second copy for an attempt that takes too long, while there is room
            for backend in request.out.values() if not self.stalled else ():  # silence is a failure too
                self.servers.learn(self.now, backend, request.kind.name, math.inf, SUSPECT)
            room = self.settings.hedging_enabled and self.window.mean_out < HEDGE_ROOM * self.window.limit
            if room and len(request.out) == 1 and request.arrival.allows_hedging:
                self.again(request)
        elif what == "due" or request.held or request.waiting:
            # The guard of rule 1: an answer before the client's time is up. And what can no longer be
            # answered in time is refused while a retry may help.
            self.refuse_or_fail(request)

    def step_shares(self) -> None:
        for name, share in self.shares.items():
            waits, count = sum(self.waits[name]), len(self.waits[name])
            if count < FEW_SAMPLES and self.held.count.get(name):
                waits, count = waits + self.held.ages_ms(name, self.now), count + self.held.count[name]
            share.step(waits / count if count else 0.0)
            self.waits[name] = []

    def on_heard(self, event: PeerMessage) -> None:
        """What another gateway tells; bytes that cannot be read and unknown senders change nothing."""
        news = decode(event.data)
        if news is None or event.sender == self.settings.number or event.sender >= self.settings.gateways:
            return
        self.quota.heard_ms.pop(event.sender, None)  # it stands last from now on
        self.quota.heard_ms[event.sender], self.quota.heard = self.now, self.quota.heard + 1
        self.window.fleet_room += (news.room - self.window.fleet_room) * FLEET_GAIN
        if not self.stalled:
            self.servers.hear(self.now, news.sightings)
        self.quota.silent.discard(event.sender)
        for item in news.items:
            self.quota.hear(self.now, event.sender, news.boot, item)

    def on_arrival(self, arrival: Arrival) -> None:
        kind, plan = self.classes.get(arrival.class_name), self.plans.get(arrival.plan_name)
        if kind is None or plan is None or arrival.deadline_at_ms <= self.now or arrival.id in self.requests:
            self.actions.append(Reject(arrival.id, 0.0, RejectionReason.INVALID))
            return
        account = self.quota.account(self.now, arrival, plan)
        if account is None:
            met = self.quota.holders.get(tag_of(arrival.customer, self.settings.tag_key)) is not None
            self.actions.append(Reject(arrival.id, 0.0, RejectionReason.INVALID if met else RejectionReason.CAPACITY))
            return
        account.asked += arrival.units
        # An answer just after the aim is worth little or nothing, so waiting must leave time for the answer.
        latency_objective_ms, worth = (
            self.now + kind.latency_objective_ms,
            kind.priority_weight * plan.priority_multiplier,
        )
        request = self.requests[arrival.id] = Request(
            arrival, kind, plan, account, self.now, latency_objective_ms, worth, order=self.serial
        )
        self.plan_at(arrival.deadline_at_ms - 2 * self.settings.tick_ms, "due", arrival.id)
        last = min(arrival.deadline_at_ms, request.latency_objective_ms)
        impatient = self.now + ANSWER_PART * (last - self.now)  # it leaves less than an answer usually takes
        self.plan_at(max(last - self.answer_time(request), impatient), "hopeless", arrival.id)
        request.inherit(self.servers.known)  # what may have run at another gateway must not run again
        if self.allowed(request) == [] or request.attempts >= self.settings.max_attempts:
            self.refuse_or_fail(request)
        elif request.paid or self.quota.request(self.now, request):
            self.let_in(request)

    def on_answer(self, request: Request, granted: bool) -> None:
        """A home's word. What it makes wait goes on beyond its quota where that pays."""
        if granted:
            self.let_in(request)
        elif request.plan.over_quota_multiplier > request.plan.over_quota_cost and not request.plan.ceiling_per_s:
            self.quota.asking.pop(request.serial)
            request.inside, request.rank = False, request.rank * request.plan.over_quota_multiplier
            self.let_in(request)

    def let_in(self, request: Request) -> None:
        request.waiting, request.held, request.account.out = False, True, request.account.out + 1
        self.hold(request)

    def hold(self, request: Request) -> None:
        """Of equal worth the newest goes: the oldest first would have all near their aims, many late."""
        self.held.put(request, (request.kind.name, request.inside), (-request.rank, -request.came_ms))

    def release(self) -> None:
        """Send on what is held: all of it below the cap; at the cap by shares, then by worth alone."""
        if not self.held or self.window.free() < 1 or not (self.servers.warm or self.servers.cold):
            return
        cap, stuck = self.window.limit, list[Request]()
        busy = self.window.mean_out >= OVER_ROOM * cap
        if len(self.held) > self.window.free():
            total = max(1.0, sum(share.share for share in self.shares.values()))
            left = {name: own.share / total * cap - self.out[name] for name, own in self.shares.items()}
            while entitled := [(name, True) for name, room in left.items() if room >= 1]:
                request = self.held.first(entitled)
                if request is None or not self.leave(request, stuck):
                    break
                left[request.kind.name] -= 1
        for inside in (True, False)[: 1 if busy else 2]:
            groups = [(name, inside) for name in self.classes]
            while (request := self.held.first(groups)) is not None and self.leave(request, stuck):
                pass
        for request in stuck:
            self.hold(request)

    def leave(self, request: Request, stuck: list[Request]) -> bool:
        """Send on one that is held, or put it by for this turn. False: no room, or too many tried."""
        if self.window.free() < 1 or len(stuck) >= MOST_STUCK:
            return False
        self.held.drop(request)
        if not self.send(request):
            stuck.append(request)
        return True

    def send(self, request: Request) -> bool:
        """One more attempt, where a server may take it."""
        size = size_of(request)
        usual = self.expected(request.kind.name, size)
        load = min(LOAD_MOST, max(LOAD_LEAST, usual / self.usual_any))
        backend = self.servers.choose(self.now, request, self.allowed(request), load)
        if backend is None or request.attempts >= self.settings.max_attempts:
            return False
        number, due_ms = request.arrival.id, request.arrival.deadline_at_ms
        if request.held:
            self.waits[request.kind.name].append(self.now - request.came_ms)
            self.budget = min(RETRY_MOST, self.budget + RETRY_PART)
            request.held, request.toss_ms = False, 0.0
        self.actions.append(StartAttempt(number, backend.entry.id, max(1.0, due_ms - self.now), request.begin_ms))
        self.attempts[number, request.attempts] = (backend, request.kind.name, size, load)
        self.out[request.kind.name] += 1
        request.out[request.attempts] = backend
        backend.requests[number] = request
        request.tried.append(backend)
        if not request.uncertain:
            request.anchor, request.anchor_ms = backend, self.now
        request.attempts, request.uncertain = request.attempts + 1, request.uncertain + 1
        backend.out, self.servers.sends = backend.out + 1, self.servers.sends + 1
        backend.load += load
        self.window.count(self.now, 1)
        patience = max(HEDGE_LEAST_MS, HEDGE_TIMES * usual)
        self.plan_at(self.now + patience, "hedge", number)
        return True

    def allowed(self, request: Request) -> list[Backend] | None:
        """The only servers that rule 2 (its group and window) leaves to this request now; None for all."""
        kind, anchor, request.begin_ms = request.kind, request.anchor, math.inf
        if anchor is None or not request.uncertain or kind.idempotency is Idempotency.IDEMPOTENT:
            return None
        request.begin_ms = request.anchor_ms + kind.deduplication_window_ms - self.settings.tick_ms - self.now
        if kind.idempotency is Idempotency.NON_IDEMPOTENT or request.begin_ms <= 0:
            return []
        same, group = anchor.entry, kind.deduplication_scope
        return (
            None
            if group is DeduplicationScope.ALL
            else [
                backend
                for backend in self.servers.warm + self.servers.cold
                if backend.entry.zone == same.zone
                and (group is DeduplicationScope.ZONE or backend.entry.cell == same.cell)
            ]
        )

    def expected(self, name: str, size: int) -> float:
        """The usual answer time of a class at a size."""
        return self.sized.get((name, size), self.usual[name])

    def answer_time(self, request: Request) -> float:
        """What an attempt is taken to need. Bounded: past the aim all would be refused, and nothing heal."""
        usual = self.expected(request.kind.name, size_of(request))
        return min(SAFE_TIMES * usual, ANSWER_PART * request.kind.latency_objective_ms)

    def again(self, request: Request) -> bool:
        """A further attempt, where it can still be in time and the budget allows it."""
        late = self.now + self.answer_time(request) > min(request.latency_objective_ms, request.arrival.deadline_at_ms)
        if late or self.budget < 1 or not self.send(request):
            return False
        self.budget -= 1
        return True

    def on_outcome(self, event: AttemptEnded) -> None:
        if (event.id, event.attempt) not in self.attempts:
            return
        backend, class_name, size, load = self.attempts.pop((event.id, event.attempt))
        self.out[class_name] -= 1
        request = self.requests.get(event.id)
        backend.out, full = backend.out - 1, event.result is AttemptResult.OVERLOADED
        backend.load = max(0.0, backend.load - load) if backend.out else 0.0
        self.window.count(self.now, -1)
        self.window.full, self.window.ended = self.window.full + full, self.window.ended + 1
        usual, ratio = self.expected(class_name, size), math.inf
        if event.load:
            self.servers.report(self.now, backend, event.load)
        if event.result is AttemptResult.OK:
            self.window.answered_ms += self.classes[class_name].latency_objective_ms
            ratio = event.duration_ms / usual
            if not self.stalled:
                self.sized[class_name, size] = usual + (event.duration_ms - usual) * USUAL_GAIN
                self.usual[class_name] += (event.duration_ms - self.usual[class_name]) * USUAL_GAIN
                self.usual_any += (event.duration_ms - self.usual_any) * USUAL_GAIN
        # After a standstill our own pause would be taken for the server's slowness.
        if event.result not in (AttemptResult.CANCELLED, AttemptResult.DISCARDED) and not self.stalled:
            self.servers.learn(self.now, backend, class_name, ratio, 1.0)
        if request is None:
            return
        if request.out.pop(event.attempt, None) is backend and backend not in request.out.values():
            backend.requests.pop(event.id, None)
        request.uncertain -= event.result.never_executed
        if event.final:
            self.close(request)
        elif not request.out and not self.again(request):
            self.refuse_or_fail(request)

    def refuse_or_fail(self, request: Request) -> None:
        """The final answer. A refusal says that a retry is harmless, so only where that is certain."""
        keyed = (
            request.kind.idempotency is Idempotency.KEYED and request.kind.deduplication_scope is DeduplicationScope.ALL
        )
        if request.kind.idempotency is Idempotency.IDEMPOTENT or keyed or not request.uncertain:
            advice = max(TELL_MS, request.arrival.units * 1000 / (request.plan.rate_per_s or math.inf))
            tried = RejectionReason.ATTEMPTS if request.attempts else RejectionReason.CAPACITY
            reason = RejectionReason.QUOTA if request.waiting else tried
            advice = min(advice, self.settings.max_retry_after_ms)
            self.actions.append(Reject(request.arrival.id, advice, reason))
        else:
            self.actions.append(Fail(request.arrival.id))
        self.close(request)

    def close(self, request: Request) -> None:
        """The request has ended: nothing more goes out for it, and copies still out are called off."""
        self.requests.pop(request.arrival.id, None)
        request.account.out -= not request.waiting
        if request.held:
            self.held.drop(request)
        self.quota.close(self.now, request)
        for backend in request.out.values():
            backend.requests.pop(request.arrival.id, None)
        self.cancel_others(request, -1)

    def cancel_others(self, request: Request, keep: int) -> None:
        copies = request.out if self.settings.cancellation_enabled else ()
        self.actions.extend(CancelAttempt(request.arrival.id, n) for n in copies if n != keep)
