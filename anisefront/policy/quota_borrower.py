"""The borrower's side of quotas: takes units from the local buckets, or requests them from the quota owner.

If the owner does not reply, a gateway instance overdraws its local bucket, one request at a time. If the owner is known
to have failed, another instance grants units in its place. The design described in `quota_parameters` has neither.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from enum import Enum, auto
from typing import NamedTuple

from anisefront.policy.actions import RejectionReason
from anisefront.policy.control_period import EWMA_GAIN
from anisefront.policy.customer_account import CustomerAccount
from anisefront.policy.events import Arrival
from anisefront.policy.peer_codec import MAX_UINT16, QuotaMessage, QuotaMessageKind, customer_tag
from anisefront.policy.peer_outbox import PeerOutbox
from anisefront.policy.quota_parameters import RESERVE_FRACTION, sweep_size
from anisefront.policy.request import QuotaClaim, Request
from anisefront.policy.settings import Plan, Settings
from anisefront.policy.timers import TimerKind, TimerQueue

INITIAL_REPLY_MS = 60.0  # expected time until the owner replies
# A reply is overdue after this multiple of the expected time, but at most after this fraction of the latency objective:
# two messages without a reply and an overdraft must fit into the queueing time.
OVERDUE_MULTIPLE = 2.5
OVERDUE_FRACTION = 0.15
MIN_OVERDUE_MS = 30.0
UNREACHABLE_RETRY_MS = 250.0  # interval at which an unresponsive owner is sent the request again
MAX_INBOX_FRACTION = 0.5  # fraction of an owner's inbox that one customer may fill
MAX_REQUESTS_MULTIPLE = 2.0  # messages a second that are sent in any case, as a multiple of the customer's quota
MAX_UNANSWERED = 2  # messages without a reply after which the owner counts as unresponsive


class QuotaDecision(Enum):
    """Decision on a request, by the quota owner or by an overdraft of the local bucket."""

    GRANTED = auto()
    QUEUED = auto()


class Lender(NamedTuple):
    """The gateway instance that grants units to a request, and the units that it debits."""

    gateway: int
    units: float


class QuotaBorrower:
    """The accounts of the customers with requests at this instance, and the requests' claims on their quotas."""

    __slots__ = (
        "accounts",
        "pending",
        "settings",
        "tag_holders",
        "unreachable",
        "_class_indexes",
        "_expected_reply_ms",
        "_on_decision",
        "_outbox",
        "_plan_indexes",
        "_rng",
        "_send",
        "_serial",
        "_timers",
        "_unresponsive",
    )

    def __init__(
        self,
        settings: Settings,
        rng: random.Random,
        timers: TimerQueue,
        outbox: PeerOutbox,
        send: Callable[[float, int, QuotaMessage], None],
        on_decision: Callable[[Request, QuotaDecision], None],
    ) -> None:
        """Start without accounts.

        Args:
            settings: The settings of this gateway instance.
            rng: Selects the requests to send if there are more than the owner's inbox can receive.
            timers: Schedules the time-outs of replies.
            outbox: Counts the active peers.
            send: Sends a message; its arguments are the time, the receiving gateway instance and the message.
            on_decision: Called with a request and the decision on it.
        """
        self.accounts: dict[str, CustomerAccount] = {}  # by customer
        self.pending: dict[int, Request] = {}  # requests that may still get a reply from an owner, by serial
        self.settings = settings
        self.tag_holders: dict[int, str] = {}  # customer by tag
        self.unreachable: frozenset[int] = frozenset()  # gateway instances known to have failed or left
        self._expected_reply_ms = INITIAL_REPLY_MS
        self._on_decision = on_decision
        self._outbox = outbox
        self._rng = rng
        self._send = send
        self._serial = 0
        self._timers = timers
        self._unresponsive: set[int] = set()  # owners that left a request without a reply
        self._set_indexes(settings)
        if not settings.peer_messages_enabled:
            self._unresponsive |= set(range(settings.gateways)) - {settings.number}

    def change_settings(self, settings: Settings) -> None:
        """Apply new settings."""
        self.settings = settings
        self._set_indexes(settings)

    def set_unreachable(self, gateways: frozenset[int]) -> None:
        """Set the gateway instances known to have failed or left."""
        self.unreachable = gateways

    def record_peer_message(self, sender: int) -> None:
        """Record that a peer is responsive."""
        self._unresponsive.discard(sender)

    def evict_idle(self, now_ms: float) -> None:
        """Evict idle accounts; each call checks some of the accounts in turn."""
        for _ in range(sweep_size(len(self.accounts))):
            customer = next(iter(self.accounts))
            account = self.accounts.pop(customer)
            if account.is_evictable(now_ms):
                del self.tag_holders[account.tag]
            else:
                self.accounts[customer] = account  # moved to the end

    def open_claim(self, now_ms: float, arrival: Arrival, plan: Plan) -> QuotaClaim | RejectionReason:
        """Return a new request's claim on its customer's quota, or the reason for its rejection."""
        account = self.account_for(now_ms, arrival, plan)
        if isinstance(account, RejectionReason):
            return account
        account.record_demand(arrival.units)
        return QuotaClaim(account)

    def account_for(self, now_ms: float, arrival: Arrival, plan: Plan) -> CustomerAccount | RejectionReason:
        """Return the customer's account, refilled, or the reason why there is none.

        A customer whose tag collides with another's is rejected: at the quota owner the two would share one quota.
        """
        account = self.accounts.get(arrival.customer)
        if account is None:
            tag = customer_tag(arrival.customer, self.settings.tag_key)
            if tag in self.tag_holders:
                return RejectionReason.INVALID
            if len(self.accounts) >= self.settings.max_customers:
                return RejectionReason.CAPACITY
            account = self._open_account(now_ms, arrival, tag)
        account.refill(now_ms, plan)
        return account

    def lender_of(self, request: Request) -> Lender:
        """Return who grants units to a request: the owner, or in its place the customer's next gateway instance.

        In a network partition each side may replace the owner. So only the owner grants units of plans with ceilings or
        leases. Elsewhere the cost of a unit grows as fewer instances are reachable, so that all sides together grant
        the quota once more.
        """
        account = request.claim.account
        plan = request.plan
        units = request.arrival.units
        if account.owner not in self.unreachable or plan.ceiling_per_s or plan.max_in_flight:
            return Lender(account.owner, units)
        gateways = self.settings.gateways
        reachable = (gateway for gateway in account.successors(gateways) if gateway not in self.unreachable)
        max_units = max(units, RESERVE_FRACTION * plan.burst)  # a higher cost would never be granted
        cost = min(max_units, units * gateways / (gateways - len(self.unreachable)))
        return Lender(next(reachable, self.settings.number), cost)

    def try_debit_locally(self, now_ms: float, request: Request) -> bool:
        """Take the units from the local bucket if it has enough, and return whether they were taken."""
        plan = request.plan
        if not plan.rate_per_s or plan.max_in_flight:
            return False
        return request.arrival.units <= request.claim.account.local_bucket and self._debit(now_ms, request)

    def request_units(self, now_ms: float, request: Request) -> None:
        """Request the units from the owner; a request that is not sent waits until its dispatch deadline.

        A customer that requests many times its quota would fill the owner's inbox, and messages of all customers
        would be lost. So a random sample of its requests is sent, as many as the owner can receive.
        """
        inbox_per_s = self.settings.inbox_per_s
        max_per_s = max(MAX_INBOX_FRACTION * inbox_per_s, MAX_REQUESTS_MULTIPLE * request.plan.rate_per_s)
        if not inbox_per_s or self._rng.random() * request.claim.account.total_demand_per_s <= max_per_s:
            self._send_request(now_ms, request)

    def reply_overdue(self, now_ms: float, request: Request) -> None:
        """Send the request again, or overdraw the local bucket for it, if the owner has not replied yet."""
        if request.claim.owner_replied:
            return
        account = self.account_for(now_ms, request.arrival, request.plan)
        owner = self.lender_of(request).gateway
        if request.claim.messages_sent < MAX_UNANSWERED and owner not in self._unresponsive:
            self._send_request(now_ms, request)
            return
        assert isinstance(account, CustomerAccount)  # a customer with a waiting request has an account
        self._unresponsive.add(owner)
        self._timers.set(TimerKind.OWNER_REPLY_OVERDUE, now_ms + UNREACHABLE_RETRY_MS, request.arrival.id)
        if self._is_owner_overloaded() and request.arrival.units > account.local_bucket:
            self._send_message(now_ms, QuotaMessageKind.REQUEST, request)
        elif self._may_overdraw(account, request.plan) and self._debit(now_ms, request):
            self._on_decision(request, QuotaDecision.GRANTED)

    def withdraw(self, request: Request) -> None:
        """Stop waiting for the owner's grant; a later grant is refunded."""
        self.pending.pop(request.claim.serial)

    def request_ended(self, now_ms: float, request: Request) -> None:
        """Refund the units that a request did not use, or end its lease."""
        claim = request.claim
        if not request.awaiting_quota:
            claim.account.record_ended()
        self.pending.pop(claim.serial, None)
        if claim.debited_units and (not request.attempts_started or request.plan.max_in_flight):
            self._send_message(now_ms, QuotaMessageKind.REFUND, request)

    def receive(self, now_ms: float, sender: int, message: QuotaMessage) -> None:
        """Process an owner's reply."""
        request = self.pending.get(message.serial)
        if request is None or not self._is_reply_for(request, sender, message):
            if message.kind is QuotaMessageKind.GRANT:  # its request has ended
                self._send(now_ms, sender, message._replace(kind=QuotaMessageKind.REFUND))
            return
        claim = request.claim
        claim.account.record_total_demand(now_ms, message.demand_per_s)
        if claim.messages_sent == 1 and not claim.owner_replied:
            self._expected_reply_ms += (now_ms - claim.sent_ms - self._expected_reply_ms) * EWMA_GAIN
        claim.record_reply()
        if claim.debited_units:
            return
        if message.kind is QuotaMessageKind.GRANT:
            claim.record_debited(request.arrival.units)
            self._on_decision(request, QuotaDecision.GRANTED)
        else:
            self._on_decision(request, QuotaDecision.QUEUED)

    def _set_indexes(self, settings: Settings) -> None:
        """Set the indexes by which peers identify classes and plans."""
        self._class_indexes = {each.name: index for index, each in enumerate(settings.classes)}
        self._plan_indexes = {plan.name: index for index, plan in enumerate(settings.plans)}

    def _open_account(self, now_ms: float, arrival: Arrival, tag: int) -> CustomerAccount:
        spread = max(1, min(arrival.spread, self.settings.gateways))
        owner = (arrival.first_gateway + tag % spread) % self.settings.gateways
        account = CustomerAccount(tag, spread, owner, now_ms)
        self.accounts[arrival.customer] = account
        self.tag_holders[tag] = arrival.customer
        return account

    def _is_reply_for(self, request: Request, sender: int, message: QuotaMessage) -> bool:
        if request.claim.account.tag != message.customer_tag:
            return False
        return self.lender_of(request).gateway == sender

    def _is_owner_overloaded(self) -> bool:
        """Return whether an owner that does not reply is likely overloaded rather than failed.

        In that case most other peers respond. Overdrafts at many gateway instances would add up to many times the
        burst, so they are allowed only in outages: when at least as many owners are unresponsive as peers are active.
        """
        return len(self._unresponsive) < self._outbox.active_peers

    @staticmethod
    def _may_overdraw(account: CustomerAccount, plan: Plan) -> bool:
        return account.local_bucket >= 0 and not (plan.max_in_flight and account.in_flight)

    def _debit(self, now_ms: float, request: Request) -> bool:
        """Take the units from the local buckets and notify the owner, unless the ceiling's part is exhausted."""
        account = request.claim.account
        units = request.arrival.units
        if request.plan.ceiling_per_s and units > account.ceiling_bucket:
            return False
        account.debit(units)
        request.claim.record_debited(units)
        self._send_message(now_ms, QuotaMessageKind.DEBIT, request)
        return True

    def _send_request(self, now_ms: float, request: Request) -> None:
        claim = request.claim
        claim.record_sent(now_ms)
        kind = QuotaMessageKind.RETRY if request.arrival.is_retry else QuotaMessageKind.REQUEST
        self._send_message(now_ms, kind, request)
        if claim.owner_replied:  # this instance is the owner
            return
        overdue_ms = now_ms
        if self.lender_of(request).gateway not in self._unresponsive:
            max_overdue_ms = OVERDUE_FRACTION * request.request_class.latency_objective_ms
            overdue_ms += max(MIN_OVERDUE_MS, min(OVERDUE_MULTIPLE * self._expected_reply_ms, max_overdue_ms))
        self._timers.set(TimerKind.OWNER_REPLY_OVERDUE, overdue_ms, request.arrival.id)

    def _send_message(self, now_ms: float, kind: QuotaMessageKind, request: Request) -> None:
        claim = request.claim
        if not claim.serial:
            self._serial = self._serial % MAX_UINT16 + 1
            claim.assign_serial(self._serial)
            self.pending[claim.serial] = request
        lender = self.lender_of(request)
        message = QuotaMessage(
            kind,
            claim.account.tag,
            claim.serial,
            lender.units,
            claim.account.demand_per_s,
            self._class_indexes[request.request_class.name],
            self._plan_indexes[request.plan.name],
        )
        self._send(now_ms, lender.gateway, message)
