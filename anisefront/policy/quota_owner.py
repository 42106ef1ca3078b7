"""The owner's side of quotas: grants units of customers' token buckets to the gateway instances that request them."""

from __future__ import annotations

from collections.abc import Callable

from anisefront.policy.control_period import PERIOD_MS
from anisefront.policy.peer_codec import QuotaMessage, QuotaMessageKind
from anisefront.policy.quota_bucket import QuotaBucket
from anisefront.policy.quota_parameters import sweep_size
from anisefront.policy.quota_request_queue import QuotaRequest, QuotaRequestKey
from anisefront.policy.response_times import max_queueing_ms
from anisefront.policy.settings import Settings
from anisefront.policy.timers import TimerKind, TimerQueue

LEASE_MULTIPLE = 1.5  # duration of a lease that is not refunded, as a multiple of the latency objective
REQUEST_KINDS = (QuotaMessageKind.REQUEST, QuotaMessageKind.RETRY)


class QuotaOwner:
    """The buckets of the customers that this gateway instance owns."""

    __slots__ = ("buckets", "_granting", "_max_priority", "_plan_indexes", "_send", "_settings", "_timers")

    def __init__(
        self, settings: Settings, timers: TimerQueue, send: Callable[[float, int, QuotaMessage], None]
    ) -> None:
        """Start without buckets; `send` takes the time, the receiving gateway instance and a message."""
        self.buckets: dict[int, QuotaBucket] = {}  # by customer tag
        self._granting: set[int] = set()  # tags of the customers whose queued requests are being granted
        self._send = send
        self._timers = timers
        self._set_settings(settings)
        self._plan_indexes = _plan_indexes(settings)

    def change_settings(self, now_ms: float, settings: Settings) -> None:
        """Apply new settings.

        Buckets are refilled up to now by the old plans. Then queued requests are granted by the new ones; otherwise
        they would wait for the timers of the old rates.
        """
        self._set_settings(settings)
        for tag, bucket in self.buckets.items():
            self.grant_queued(now_ms, tag)
            bucket.change_plan(settings.plans[self._plan_indexes[bucket.plan.name]])
            if bucket.queue:
                self.grant_queued(now_ms, tag)
        self._plan_indexes = _plan_indexes(settings)

    def evict_idle(self, now_ms: float) -> None:
        """Evict buckets of idle customers; each call checks some of the buckets in turn."""
        for _ in range(sweep_size(len(self.buckets))):
            tag = next(iter(self.buckets))
            bucket = self.buckets.pop(tag)
            if not bucket.is_evictable(now_ms):
                self.buckets[tag] = bucket  # moved to the end

    def refill_timer_fired(self, now_ms: float, tag: int) -> None:
        """Grant units to the requests that waited for a bucket to fill."""
        bucket = self.buckets.get(tag)
        if bucket is not None:
            bucket.clear_refill_timer()
            self.grant_queued(now_ms, tag)

    def receive(self, now_ms: float, key: QuotaRequestKey, message: QuotaMessage) -> None:
        """Process a borrower's message."""
        bucket = self._bucket_for(now_ms, message)
        if bucket is None:
            if message.kind in REQUEST_KINDS:  # without a reply the borrower would take this owner for unreachable
                reply = message._replace(kind=QuotaMessageKind.QUEUED, demand_per_s=0.0)
                self._send(now_ms, key.gateway, reply)
            return
        # A request counts as queued unless it had expired when the queue was last processed.
        bucket.queue.evict_expired(bucket.updated_ms)
        if message.kind in REQUEST_KINDS:
            self._receive_request(now_ms, bucket, key, message)
        elif message.kind is QuotaMessageKind.DEBIT:
            self._receive_debit(now_ms, bucket, key, message)
        elif message.kind is QuotaMessageKind.REFUND:
            bucket.refund(key, message.units, self._settings.plans[message.plan_index])
            self.grant_queued(now_ms, message.customer_tag)

    def grant_queued(self, now_ms: float, tag: int) -> None:
        """Grant units to the queued requests by priority, and the newest first among those of equal priority.

        A local request that has ended refunds its grant within this call. The running loop then grants the refunded
        units: nested calls for many such requests would exceed the recursion limit.
        """
        if tag in self._granting:
            return
        self._granting.add(tag)
        try:
            self._grant_while_sufficient(now_ms, tag)
        finally:
            self._granting.discard(tag)

    def _grant_while_sufficient(self, now_ms: float, tag: int) -> None:
        bucket = self.buckets[tag]
        bucket.refill(now_ms)
        while True:
            request = bucket.queue.first(now_ms)
            if request is None:
                return
            wait_s = bucket.wait_s(now_ms, request, self._max_priority)
            if wait_s > 0:
                self._schedule_refill(now_ms, tag, bucket, wait_s)
                return
            self._grant(now_ms, bucket, request)

    def _set_settings(self, settings: Settings) -> None:
        self._settings = settings
        self._max_priority = max(each.priority_weight for each in settings.classes) or 1.0

    def _bucket_for(self, now_ms: float, message: QuotaMessage) -> QuotaBucket | None:
        """Return the customer's bucket, or None at the limit: none is evicted, since that would clear its overdraft."""
        tag = message.customer_tag
        bucket = self.buckets.get(tag)
        if bucket is None and len(self.buckets) < self._settings.max_customers:
            plan = self._settings.plans[message.plan_index]
            bucket = QuotaBucket(plan, plan.burst, now_ms)
            self.buckets[tag] = bucket
        return bucket

    def _receive_request(self, now_ms: float, bucket: QuotaBucket, key: QuotaRequestKey, message: QuotaMessage) -> None:
        if key in bucket.debits:
            # The grant was lost, or this is a late duplicate. Granting 0 units keeps a refund from undoing the debit.
            self._reply(now_ms, QuotaMessageKind.GRANT, key, message._replace(units=0.0), bucket)
            return
        if key in bucket.queue:
            return
        request_class = self._settings.classes[message.class_index]
        bucket.record_demand(message.units)
        priority = request_class.priority_weight if message.kind is QuotaMessageKind.REQUEST else 0.0
        expires_ms = now_ms + max_queueing_ms(request_class)
        bucket.queue.add(QuotaRequest(key, message, priority, now_ms, expires_ms))
        self.grant_queued(now_ms, message.customer_tag)
        if key in bucket.queue:
            self._reply(now_ms, QuotaMessageKind.QUEUED, key, message, bucket)

    def _receive_debit(self, now_ms: float, bucket: QuotaBucket, key: QuotaRequestKey, message: QuotaMessage) -> None:
        if key in bucket.debits:
            return  # a duplicate message
        if key in bucket.queue:
            bucket.queue.remove(key)
        else:
            bucket.record_demand(message.units)
        self._debit(now_ms, bucket, key, message)

    def _grant(self, now_ms: float, bucket: QuotaBucket, request: QuotaRequest) -> None:
        bucket.queue.remove(request.key)
        self._debit(now_ms, bucket, request.key, request.message)
        bucket.debit_ceiling(request.message.units)
        self._reply(now_ms, QuotaMessageKind.GRANT, request.key, request.message, bucket)

    def _debit(self, now_ms: float, bucket: QuotaBucket, key: QuotaRequestKey, message: QuotaMessage) -> None:
        lease_ms = LEASE_MULTIPLE * self._settings.classes[message.class_index].latency_objective_ms
        bucket.debit(now_ms, key, message.units, lease_ms)

    def _schedule_refill(self, now_ms: float, tag: int, bucket: QuotaBucket, wait_s: float) -> None:
        """Set a timer for the time of the next grant, unless one already fires within a control period of it."""
        if now_ms < bucket.refill_timer_ms <= now_ms + wait_s * 1000 + PERIOD_MS:
            return
        bucket.set_refill_timer(now_ms + wait_s * 1000 + self._settings.tick_ms)
        self._timers.set(TimerKind.BUCKET_REFILLED, bucket.refill_timer_ms, tag)

    def _reply(
        self,
        now_ms: float,
        kind: QuotaMessageKind,
        key: QuotaRequestKey,
        message: QuotaMessage,
        bucket: QuotaBucket,
    ) -> None:
        self._send(now_ms, key.gateway, message._replace(kind=kind, demand_per_s=bucket.demand_per_s))


def _plan_indexes(settings: Settings) -> dict[str, int]:
    """Return the indexes by which peers identify the plans."""
    return {plan.name: index for index, plan in enumerate(settings.plans)}
