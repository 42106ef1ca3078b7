"""Quotas while regions don't hear each other: what may be passed beyond them, by arithmetic from the module's own
figures and by the module itself in simulated time."""

from __future__ import annotations

import heapq
import math
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from anisefront.policy.controller import Controller
from anisefront.policy.customer_account import LOCAL_BURST_FRACTION
from anisefront.policy.quota_parameters import DEMAND_TIME_CONSTANT_MS, RESERVE_FRACTION
from benchmarks.scale.plan import REGIONS
from benchmarks.scale.roles import out_after_s
from anisefront.policy.actions import SendToPeer, SetTimer, StartAttempt
from anisefront.policy.events import (
    Arrival,
    AttemptEnded,
    AttemptResult,
    Endpoint,
    EndpointList,
    EndpointStatus,
    Event,
    PeerMessage,
    PeersUnreachable,
    TimerFired,
)
from anisefront.policy.settings import Idempotency, Plan, RequestClass, Settings

SEED = 37
KNOWN_S = out_after_s()
STALE_S = (
    2 * DEMAND_TIME_CONSTANT_MS / 1000
)  # so long a gatekeeper goes by the part of a customer's use that it heard last


@dataclass(frozen=True, slots=True)
class Beyond:
    """Units of one customer that gatekeepers away from its home may pass while they are, beyond what the home lends."""

    at_once: float  # own buckets, one request on credit at each, and the stores of those that stand in
    each_s: float  # and so much a second from then on

    def in_all(self, seconds: float) -> float:
        """All of it, over so long."""
        return self.at_once + self.each_s * seconds


def beyond(spread: int, rate_per_s: float, burst: float, units: float = 1.0, regions: int = REGIONS) -> Beyond:
    """The most, by what `policy/quota_borrower.py` and `policy/quota_owner.py` do.

    The home goes on lending the whole quota to its own region. Every other gatekeeper of the set fills a bucket at its
    part of the quota (`QuotaBorrower.account_for`): the part that it heard last for `STALE_S`, one in `spread` from
    then on. It holds a tenth of its part of the burst (`LOCAL_BURST_FRACTION`), and sends one request on credit where
    the home is silent (`QuotaBorrower.reply_overdue`), the next when that is filled up again. Once the home is known
    to be gone one of each region stands in (`QuotaBorrower.lender_of`), with a full store, and lends as much of it as
    its region is of the fleet, or one request for each part `RESERVE_FRACTION` of a burst, if that is more. At worst
    the home stands alone in its region, and all traffic of the customer moves to those away from it in the moment of
    the cut: then each of them may take itself for the whole set for `STALE_S`."""
    calm, away = steady(spread, rate_per_s, burst, units, regions), spread - math.ceil(spread / regions)
    return Beyond(
        calm.at_once + away * (LOCAL_BURST_FRACTION * burst * (1 - 1 / spread) + STALE_S * rate_per_s), calm.each_s
    )


def steady(spread: int, rate_per_s: float, burst: float, units: float = 1.0, regions: int = REGIONS) -> Beyond:
    """The same where the customer's traffic stays where it was: parts add up to the whole."""
    home_in = math.ceil(spread / regions)  # members of the home's region; the others stand evenly in the rest
    away, islands = spread - home_in, min(regions, spread) - 1
    lent = islands * max(away / spread / islands, units / max(units, RESERVE_FRACTION * burst)) if islands else 0.0
    return Beyond(away * (LOCAL_BURST_FRACTION * burst / spread + units) + burst * lent, rate_per_s * lent)


class _Fleet:
    """Controllers that hear each other by region, and workers that answer all."""

    def __init__(
        self,
        spread: int,
        rate_per_s: float,
        burst: float,
        customers: int,
        demand: float,
        away_ms: float,
        gone: int | None = None,
    ) -> None:
        self.rng, self.now, self.spread, self.away_ms = random.Random(SEED), 1000.0, spread, away_ms
        plan = Plan("small", rate_per_s, burst)
        kind = RequestClass("view", 300.0, 600.0, 1.0, Idempotency.IDEMPOTENT)
        self.each = [
            Controller(
                Settings(
                    gateways=spread,
                    number=number,
                    zone="a",
                    classes=(kind,),
                    plans=(plan,),
                    warm_up_ms=1000.0,
                    slow_start_initial_factor=0.2,
                    overload_multiple=3.0,
                    overload_window_ms=1000.0,
                    max_attempts=1,
                    peer_messages_enabled=True,
                ),
                number,
            )
            for number in range(spread)
        ]
        self.gone, self.cut, self.serial, self.number = gone, False, 0, 0
        self.queue: list[tuple[float, int, int, Event]] = []
        self.passed: Counter[int] = Counter()  # units sent on, by gatekeeper; and by customer, beside what was asked
        self.by_customer: Counter[str] = Counter()
        self.asked: Counter[str] = Counter()
        self.owners: dict[int, str] = {}
        self.per_ms = customers * rate_per_s * demand / 1000
        self.customers = customers
        servers = EndpointList(tuple(Endpoint(f"s{n}", "a", 0, EndpointStatus.READY) for n in range(20)))
        for number in range(spread):
            self._turn(number, servers)

    def region(self, number: int) -> int:
        """Gatekeepers stand in the regions in turn, so a set spans them all."""
        return number % REGIONS

    def tell(self, gone: Callable[[int], set[int]]) -> None:
        """Each hears who is gone."""
        for number in range(self.spread):
            self._turn(number, PeersUnreachable(frozenset(gone(number))))

    def _later(self, after_ms: float, number: int, event: Event) -> None:
        self.serial += 1
        heapq.heappush(self.queue, (self.now + after_ms, self.serial, number, event))

    def _turn(self, number: int, event: Event) -> None:
        if number == self.gone:
            return
        for action in self.each[number].handle(self.now, [event]):
            if isinstance(action, StartAttempt):
                self.passed[number] += 1
                self.by_customer[self.owners.pop(action.id, "")] += 1
                self._later(20.0, number, AttemptEnded(action.id, 0, action.endpoint, 20.0, AttemptResult.OK, True))
            elif isinstance(action, SetTimer):
                self._later(max(1.0, action.delay_ms), number, TimerFired(action.name))
            elif isinstance(action, SendToPeer):
                away = self.region(action.receiver) != self.region(number)
                if not (self.cut and away):
                    self._later(self.away_ms if away else 1.0, action.receiver, PeerMessage(number, action.data))

    def run(self, seconds: float) -> float:
        """Units passed by all meanwhile."""
        end, before = self.now + seconds * 1000, sum(self.passed.values())
        arrival = self.now
        while True:
            arrival += self.rng.expovariate(self.per_ms)
            while self.queue and self.queue[0][0] <= min(arrival, end):
                self.now, _, number, event = heapq.heappop(self.queue)
                self._turn(number, event)
            if arrival >= end:
                self.now = end
                return sum(self.passed.values()) - before
            self.now, self.number = arrival, self.number + 1
            number, name = self.rng.randrange(self.spread), f"c{self.number % self.customers}"
            if number != self.gone:
                self.owners[self.number] = name
                self.asked[name] += 1
                self._turn(number, Arrival(self.number, name, "view", "small", arrival + 600.0, 1.0, 0, self.spread))


def played(
    away_ms: float = 10.0,
    spread: int = 9,
    rate_per_s: float = 2.0,
    burst: float = 4.0,
    customers: int = 18,
    demand: float = 8.0,
    whole_s: float = 20.0,
    cut_s: float = 60.0,
    known_s: float = KNOWN_S,
) -> dict[str, float]:
    """The module in three regions that lose each other, `away_ms` one way between them, customers asking for `demand`
    times their quotas; `known_s` later each takes those of the others for gone. Passed of the quotas before the cut, in
    it and after it; of a customer the units beyond its quota in the cut, and their bound."""
    fleet = _Fleet(spread, rate_per_s, burst, customers, demand, away_ms)
    fleet.run(whole_s)
    quota = customers * rate_per_s
    before = fleet.run(whole_s) / whole_s / quota
    fleet.cut = True
    during = fleet.run(min(known_s, cut_s))
    fleet.tell(lambda number: {other for other in range(spread) if fleet.region(other) != fleet.region(number)})
    during += fleet.run(max(0.0, cut_s - known_s))
    fleet.cut = False
    fleet.tell(lambda number: set())
    after = fleet.run(whole_s) / whole_s / quota
    return {
        "seed": SEED,
        "away_ms": away_ms,
        "spread": spread,
        "rate_per_s": rate_per_s,
        "burst": burst,
        "demand": demand,
        "cut_s": cut_s,
        "known_s": known_s,
        "before": before,
        "during": during / cut_s / quota,
        "after": after,
        "beyond": during / customers - rate_per_s * cut_s,
        "bound": burst + steady(spread, rate_per_s, burst).in_all(cut_s),
    }


def without_home(
    spread: int = 9, rate_per_s: float = 2.0, burst: float = 4.0, customers: int = 90, seconds: float = 20.0
) -> dict[str, float]:
    """One gatekeeper of the set is away; its customers ask for half of their quotas. Passed of what they ask, before it
    is known to be gone and after that."""
    fleet = _Fleet(spread, rate_per_s, burst, customers, 0.5, 10.0, gone=0)
    fleet.run(10.0)
    homes = {name: account.owner for each in fleet.each for name, account in each.quota_borrower.accounts.items()}
    lost = {name for name, home in homes.items() if home == 0}

    def served(names: set[str]) -> float:
        return sum(fleet.by_customer[name] for name in names) / sum(fleet.asked[name] for name in names)

    found = {"seed": SEED, "spread": spread, "burst": burst, "customers": len(lost)}
    for name in ("unknown", "known"):
        fleet.by_customer.clear()
        fleet.asked.clear()
        fleet.run(seconds)
        found |= {f"lost_{name}": served(lost), f"others_{name}": served(set(homes) - lost)}
        fleet.tell(lambda number: {0})
        fleet.run(1.0)
    return found


def measure() -> dict[str, object]:
    """Regions near each other, and as far apart as continents are; and a home that is away."""
    cuts = [played(away_ms, customers=9, cut_s=40.0) for away_ms in (10.0, 40.0)]
    return {"cuts": cuts, "without_home": without_home()}
