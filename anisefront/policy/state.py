"""Plain records of the decision module. Nothing is decided here."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any
from anisefront.policy.messages import Item, Sighting
from anisefront.policy.events import Arrival, Endpoint, EndpointStatus
from anisefront.policy.settings import Plan, RequestClass, Settings


@dataclass(slots=True, eq=False)
class Account:
    """One customer at this gateway."""

    plan: Plan
    tag: int
    spread: int
    home: int  # the gateway of its set that keeps its store
    at_ms: float
    own: float = 0.0  # our bucket; below nothing after a send on credit
    ceiling: float = 0.0  # our slice of the ceiling
    asked: float = 0.0  # fading sum of units asked of us
    total: float = 0.0  # asked of the whole set a second, as the home last told
    total_ms: float = -math.inf
    out: int = 0  # requests let in and not ended

    def others(self, gateways: int) -> Iterator[int]:
        """The rest of its set, in the order in which they stand in for the home."""
        first = self.home - self.tag % self.spread
        return ((first + (self.tag + step) % self.spread) % gateways for step in range(1, self.spread))


@dataclass(slots=True, eq=False)
class Store:
    """One customer's quota, at its home."""

    plan: Plan
    level: float
    at_ms: float
    ceiling: float = 0.0  # the home's part of the ceiling
    asked: float = 0.0  # fading sum of units asked by the whole set
    waiting: Any = None  # tries that wait, `queues.Waiting`
    leases: dict[tuple[int, int, int], float] = field(default_factory=dict)  # slots taken, until when
    done: dict[tuple[int, int, int], float] = field(default_factory=dict)  # tries granted or told, when
    wake_ms: float = math.inf


@dataclass(slots=True, eq=False)
class Ask:
    """A try that waits at its customer's home."""

    key: tuple[int, int, int]  # gateway, its boot number, serial
    item: Item
    worth: float
    came_ms: float
    until_ms: float


@dataclass(slots=True, eq=False)
class Backend:
    """What is known of one server."""

    entry: Endpoint
    out: int = 0
    load: float = 0.0  # of these, in usual attempts
    slow: float = 1.0  # answer times against those of the fleet,
    seen: dict[str, float] = field(default_factory=dict)  # fading counts of outcomes, by class
    bad: dict[str, float] = field(default_factory=dict)  # and of failures
    seen_ms: float = 0.0
    others: float = 0.0  # load of others, by its last report
    report_ms: float = -math.inf
    requests: dict[int, Request] = field(default_factory=dict)  # with an attempt out here, by id


@dataclass(slots=True, eq=False)
class Request:
    """One request, from arrival to its final answer."""

    arrival: Arrival
    kind: RequestClass
    plan: Plan
    account: Account
    came_ms: float
    latency_objective_ms: float  # clock time
    rank: float
    attempts: int = 0
    order: int = 0  # of its arrival among all
    out: dict[int, Backend] = field(default_factory=dict)  # attempts out
    tried: list[Backend] = field(default_factory=list)
    uncertain: int = 0  # attempts out or not proved never to have run
    anchor: Backend | None = None  # server of the first of these, and when it was sent
    anchor_ms: float = 0.0
    begin_ms: float = math.inf  # within so long a further attempt has to begin, or their group has forgotten them
    serial: int = 0  # of its business with the home; 0: none
    asks: int = 0
    asked_ms: float = 0.0
    answered: bool = False  # the home has heard of it
    paid: float = 0.0  # units drawn from the quota
    inside: bool = True  # inside the quota
    waiting: bool = True  # for its quota
    held: bool = False
    streaming: bool = False
    toss_ms: float = 0.0  # not before then may it try for a cold server again

    def inherit(self, known: dict[str, Backend]) -> None:
        """What another gateway that had this request before knew of its attempts, if there was one."""
        past = self.arrival.prior_attempts
        if past is None:
            return
        self.attempts, self.uncertain = past.attempts, past.uncertain
        self.paid = self.arrival.units * past.quota_debited
        if past.endpoint:  # of one that nobody lists no group is known
            first = known.get(past.endpoint) or Backend(Endpoint(past.endpoint, "?", -1, EndpointStatus.REMOVED))
            self.tried.append(first)
            if past.uncertain:
                self.anchor, self.anchor_ms = first, past.started_ms


@dataclass(slots=True, eq=False)
class WindowState:
    """What the cap on attempts out goes by."""

    gateways: int
    out: int = 0
    peak: float = 0.0  # the most out of late
    cut: float = 1.0
    answered_ms: float = 0.0  # aims of those answered in this period
    full: float = 0.0  # fading counts of attempts refused as full, and of all that ended
    ended: float = 0.0
    room: float = 0.0  # answers a second x time each may take, summed over classes
    fleet_room: float = 0.0  # the mean of the peers' room, as told
    mean_out: float = 0.0  # fading mean of those out
    mean_ms: float = 0.0
    limit: float = 0.0  # the cap for this period


@dataclass(slots=True, eq=False)
class QuotaState:
    """What a gateway keeps of its customers' quotas."""

    settings: Settings
    rng: random.Random
    plan_at: Callable[[float, str, int], None]  # puts a thing on the agenda
    answered: Callable[[Request, bool], None]  # takes a home's word on a request
    rtt_ms: float  # usual time of a home's answer
    boot: int
    serial: int = 0
    accounts: dict[str, Account] = field(default_factory=dict)
    holders: dict[int, str] = field(default_factory=dict)  # whose account has a tag
    stores: dict[int, Store] = field(default_factory=dict)  # of which this gateway is the home, by tag
    asking: dict[int, Request] = field(default_factory=dict)  # by serial
    outbox: dict[int, list[Item]] = field(default_factory=dict)  # by gateway
    heard_ms: dict[int, float] = field(default_factory=dict)  # when other gateways last told us anything
    told_ms: dict[int, float] = field(default_factory=dict)  # and we them
    heard: float = 0.0  # fading count of messages heard
    flush_ms: float = 0.0
    silent: set[int] = field(default_factory=set)  # homes that left a question unanswered
    away: frozenset[int] = frozenset()  # gateways that are known to be gone
    class_numbers: dict[str, int] = field(init=False)
    plan_numbers: dict[str, int] = field(init=False)

    def __post_init__(self) -> None:
        self.number_names()
        if not self.settings.peer_messages_enabled:  # who can't be asked leaves all questions unanswered
            self.silent |= set(range(self.settings.gateways)) - {self.settings.number}

    def number_names(self) -> None:
        """Peers know classes and plans by their places in the settings."""
        self.class_numbers = {kind.name: number for number, kind in enumerate(self.settings.classes)}
        self.plan_numbers = {plan.name: number for number, plan in enumerate(self.settings.plans)}


@dataclass(slots=True, eq=False)
class ServersState:
    """What a gateway keeps of the servers."""

    settings: Settings
    rng: random.Random
    names: list[str]  # of the classes
    known: dict[str, Backend] = field(default_factory=dict)
    by_tag: dict[int, Backend] = field(default_factory=dict)
    warm: list[Backend] = field(default_factory=list)  # ready and warm; ready and cold
    cold: list[Backend] = field(default_factory=list)
    capacity: float = 0.0  # warmth of those ready in sum, now and of late
    reference: float = 0.0
    sends: float = 0.0  # fading count of our sends
    usual: float = 0.0  # load of others at a server, as reports tell it
    crowd: float = 0.0  # and with ours
    latest: list[Backend] = field(default_factory=list)  # that told their load last, the newest first
    sightings: list[tuple[float, Sighting]] = field(default_factory=list)
