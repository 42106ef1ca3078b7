"""Quotas while regions are partitioned: units admitted beyond them, by a bound and by controllers in simulated time.

The bound follows from the constants of the controller's quota modules.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from anisefront.policy.actions import SendToPeer, SetTimer, StartAttempt
from anisefront.policy.controller import Controller
from anisefront.policy.customer_account import LOCAL_BURST_FRACTION
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
from anisefront.policy.quota_parameters import DEMAND_TIME_CONSTANT_MS, RESERVE_FRACTION
from anisefront.policy.settings import Idempotency, Plan, RequestClass, Settings
from benchmarks.scale.plan import REGIONS
from benchmarks.scale.roles import suspicion_timeout_s

SEED = 37
DETECTION_S = suspicion_timeout_s()
# For so long a gateway uses the last fraction of a customer's demand that it received.
STALE_S = 2 * DEMAND_TIME_CONSTANT_MS / 1000


@dataclass(frozen=True, slots=True)
class Excess:
    """Units of one customer that gateways partitioned from its quota owner may admit beyond what the owner grants."""

    at_once: float  # local buckets, one request on credit at each gateway, and the stores of substitute owners
    per_s: float  # units per second from then on

    def total(self, seconds: float) -> float:
        """Return the total over a duration."""
        return self.at_once + self.per_s * seconds


def worst_case(spread: int, rate_per_s: float, burst: float, units: float = 1.0, regions: int = REGIONS) -> Excess:
    """Return the upper bound that `policy/quota_borrower.py` and `policy/quota_owner.py` allow.

    The owner goes on granting the whole quota to its own region. Every other gateway of the set fills a local bucket at
    its fraction of the quota (`QuotaBorrower.account_for`): the fraction received last for `STALE_S`, one in `spread`
    from then on. It keeps a tenth of its fraction of the burst (`LOCAL_BURST_FRACTION`), and admits one request on
    credit if the owner does not reply (`QuotaBorrower.reply_overdue`), the next when that is filled up again. Once the
    owner is known to be unreachable, one gateway of each region substitutes for it (`QuotaBorrower.lender_of`) with a
    full store, and grants its region's fraction of it, or one request for each `RESERVE_FRACTION` of a burst if that is
    more. In the worst case the owner is alone in its region, and all traffic of the customer moves to the other
    regions when the partition begins: then each of their gateways may count itself as the whole set for `STALE_S`.
    """
    even, unreachable = steady(spread, rate_per_s, burst, units, regions), spread - math.ceil(spread / regions)
    return Excess(
        even.at_once + unreachable * (LOCAL_BURST_FRACTION * burst * (1 - 1 / spread) + STALE_S * rate_per_s),
        even.per_s,
    )


def steady(spread: int, rate_per_s: float, burst: float, units: float = 1.0, regions: int = REGIONS) -> Excess:
    """Return the bound if the customer's traffic does not move: the fractions then add up to one."""
    owner_region = math.ceil(spread / regions)  # gateways in the owner's region; the others are spread evenly
    unreachable, partitions = spread - owner_region, min(regions, spread) - 1
    granted = (
        partitions * max(unreachable / spread / partitions, units / max(units, RESERVE_FRACTION * burst))
        if partitions
        else 0.0
    )
    return Excess(unreachable * (LOCAL_BURST_FRACTION * burst / spread + units) + burst * granted, rate_per_s * granted)


class _Fleet:
    """Controllers in simulated time that exchange peer messages by region, and workers that answer every request."""

    def __init__(
        self,
        spread: int,
        rate_per_s: float,
        burst: float,
        customers: int,
        demand: float,
        region_delay_ms: float,
        failed: int | None = None,
    ) -> None:
        self.rng, self.now, self.spread, self.region_delay_ms = random.Random(SEED), 1000.0, spread, region_delay_ms
        plan = Plan("small", rate_per_s, burst)
        request_class = RequestClass("view", 300.0, 600.0, 1.0, Idempotency.IDEMPOTENT)
        self.controllers = [
            Controller(
                Settings(
                    gateways=spread,
                    number=number,
                    zone="a",
                    classes=(request_class,),
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
        self.failed, self.partitioned, self.serial, self.number = failed, False, 0, 0
        self.queue: list[tuple[float, int, int, Event]] = []
        self.admitted: Counter[int] = Counter()  # units by gateway
        self.by_customer: Counter[str] = Counter()
        self.requested: Counter[str] = Counter()
        self.owners: dict[int, str] = {}
        self.per_ms = customers * rate_per_s * demand / 1000
        self.customers = customers
        endpoints = EndpointList(tuple(Endpoint(f"s{n}", "a", 0, EndpointStatus.READY) for n in range(20)))
        for number in range(spread):
            self._handle(number, endpoints)

    def region(self, number: int) -> int:
        """Return the region of a gateway; consecutive numbers are in different regions, so a set spans them all."""
        return number % REGIONS

    def report_unreachable(self, unreachable_from: Callable[[int], set[int]]) -> None:
        """Tell each controller which peers are unreachable from it."""
        for number in range(self.spread):
            self._handle(number, PeersUnreachable(frozenset(unreachable_from(number))))

    def _schedule(self, after_ms: float, number: int, event: Event) -> None:
        self.serial += 1
        heapq.heappush(self.queue, (self.now + after_ms, self.serial, number, event))

    def _handle(self, number: int, event: Event) -> None:
        if number == self.failed:
            return
        for action in self.controllers[number].handle(self.now, [event]):
            if isinstance(action, StartAttempt):
                self.admitted[number] += 1
                self.by_customer[self.owners.pop(action.id, "")] += 1
                self._schedule(20.0, number, AttemptEnded(action.id, 0, action.endpoint, 20.0, AttemptResult.OK, True))
            elif isinstance(action, SetTimer):
                self._schedule(max(1.0, action.delay_ms), number, TimerFired(action.name))
            elif isinstance(action, SendToPeer):
                remote = self.region(action.receiver) != self.region(number)
                if not (self.partitioned and remote):
                    self._schedule(
                        self.region_delay_ms if remote else 1.0, action.receiver, PeerMessage(number, action.data)
                    )

    def run(self, seconds: float) -> float:
        """Let the time pass and return the units that were admitted in it."""
        end, before = self.now + seconds * 1000, sum(self.admitted.values())
        arrival = self.now
        while True:
            arrival += self.rng.expovariate(self.per_ms)
            while self.queue and self.queue[0][0] <= min(arrival, end):
                self.now, _, number, event = heapq.heappop(self.queue)
                self._handle(number, event)
            if arrival >= end:
                self.now = end
                return sum(self.admitted.values()) - before
            self.now, self.number = arrival, self.number + 1
            number, name = self.rng.randrange(self.spread), f"c{self.number % self.customers}"
            if number != self.failed:
                self.owners[self.number] = name
                self.requested[name] += 1
                self._handle(number, Arrival(self.number, name, "view", "small", arrival + 600.0, 1.0, 0, self.spread))


def simulate_partition(
    region_delay_ms: float = 10.0,
    spread: int = 9,
    rate_per_s: float = 2.0,
    burst: float = 4.0,
    customers: int = 18,
    demand: float = 8.0,
    connected_s: float = 20.0,
    partitioned_s: float = 60.0,
    known_s: float = DETECTION_S,
) -> dict[str, float]:
    """Simulate three regions that are partitioned, with customers whose demand is `demand` times their quotas.

    Messages between regions take `region_delay_ms`; `known_s` after the partition begins each gateway takes the
    others for unreachable. The result has the admitted fraction of the quotas before, during and after the
    partition, and the units of a customer beyond its quota during it, with their bound.
    """
    fleet = _Fleet(spread, rate_per_s, burst, customers, demand, region_delay_ms)
    fleet.run(connected_s)
    quota = customers * rate_per_s
    before = fleet.run(connected_s) / connected_s / quota
    fleet.partitioned = True
    during = fleet.run(min(known_s, partitioned_s))
    fleet.report_unreachable(
        lambda number: {other for other in range(spread) if fleet.region(other) != fleet.region(number)}
    )
    during += fleet.run(max(0.0, partitioned_s - known_s))
    fleet.partitioned = False
    fleet.report_unreachable(lambda number: set())
    after = fleet.run(connected_s) / connected_s / quota
    return {
        "seed": SEED,
        "away_ms": region_delay_ms,
        "spread": spread,
        "rate_per_s": rate_per_s,
        "burst": burst,
        "demand": demand,
        "cut_s": partitioned_s,
        "known_s": known_s,
        "before": before,
        "during": during / partitioned_s / quota,
        "after": after,
        "beyond": during / customers - rate_per_s * partitioned_s,
        "bound": burst + steady(spread, rate_per_s, burst).total(partitioned_s),
    }


def simulate_failed_owner(
    spread: int = 9, rate_per_s: float = 2.0, burst: float = 4.0, customers: int = 90, seconds: float = 20.0
) -> dict[str, float]:
    """Simulate a set with one failed gateway and a demand of half of the quotas.

    The result has the admitted fraction of the demand, for customers whose quota owner failed and for others, before
    the failure is known and after that.
    """
    fleet = _Fleet(spread, rate_per_s, burst, customers, 0.5, 10.0, failed=0)
    fleet.run(10.0)
    owners = {
        name: account.owner for each in fleet.controllers for name, account in each.quota_borrower.accounts.items()
    }
    lost = {name for name, owner in owners.items() if owner == 0}

    def served(names: set[str]) -> float:
        """Return the admitted fraction of the demand of these customers."""
        return sum(fleet.by_customer[name] for name in names) / sum(fleet.requested[name] for name in names)

    found = {"seed": SEED, "spread": spread, "burst": burst, "customers": len(lost)}
    for name in ("unknown", "known"):
        fleet.by_customer.clear()
        fleet.requested.clear()
        fleet.run(seconds)
        found |= {f"lost_{name}": served(lost), f"others_{name}": served(set(owners) - lost)}
        fleet.report_unreachable(lambda number: {0})
        fleet.run(1.0)
    return found


def measure() -> dict[str, object]:
    """Simulate nearby regions, regions on different continents, and a failed quota owner."""
    partitions = [
        simulate_partition(region_delay_ms, customers=9, partitioned_s=40.0) for region_delay_ms in (10.0, 40.0)
    ]
    return {"cuts": partitions, "without_home": simulate_failed_owner()}
