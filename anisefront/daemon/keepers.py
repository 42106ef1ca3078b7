"""Work in hand that survives its gatekeeper, on the event loop: `cluster/origin.py` and `cluster/keeper.py` decide.

It stands between the ledger (as its guard), the peers' datagrams and the carriers, and makes records of requests.
"""

from __future__ import annotations

import base64
import hashlib
import json
from collections import Counter, OrderedDict
from collections.abc import Callable
from typing import Any

from anisefront.cluster.keeper import Keeper, Kept, Witness
from anisefront.cluster.keeping import MOST_RECORD, NO_NAME, Asked, Elsewhere, Settled, Taken, Word, pack, unpack
from anisefront.cluster.members import Status
from anisefront.cluster.membership import Change, Membership
from anisefront.cluster.origin import Member, Origin
from anisefront.config.types import Config
from anisefront.daemon.deferred_timer import DeferredTimer
from anisefront.gateway.pending_request import PendingRequest
from anisefront.gateway.request_table import RequestTable
from anisefront.gateway.request_terms import RequestTerms
from anisefront.policy.events import PriorAttempts
from anisefront.policy.settings import Idempotency
from anisefront.protocols import http1
from anisefront.upstream.deduplication import Deduplicator, request_key
from anisefront.upstream.delegated_requests import DelegatedRequests
from anisefront.upstream.direct_requests import DirectRequest, DirectRequests, FinalResponse
from anisefront.upstream.inherited_requests import InheritedRequest

RECORD_VERSION = 1
LATE_MS = 50.0  # a wake-up so late means that we stood still: our sockets are read first
ASK_S, ASK_MOST_S = 0.25, 1.0  # a try that waits for a keeper's word asks for it again, ever less often
MOST_WORDS = 10_000  # said to those that were turned away and kept for those that ask again; the oldest go


class Keepers:
    """The keeping of one gatekeeper. `tell(receiver, data)` sends a datagram, `life` is our life's number."""

    def __init__(
        self,
        reactor: Any,
        clock: Callable[[], float],
        tell: Callable[[int, bytes], None],
        log: Any,
        config: Config,
        life: int,
        membership: Membership,
    ) -> None:
        self._clock, self._tell, self._log, self._membership, self._reactor = clock, tell, log, membership, reactor
        settings = config.settings
        self.origin = Origin(Member(settings.number, life, settings.zone), config.lease_ms)
        self.keeper = Keeper(settings.number, life, config.lease_ms, config.most_records)
        self.witness = Witness(life)
        self.change(config)
        self.returning = Deduplicator(clock, reactor)
        self.counts: Counter[str] = Counter()
        # Of our bound requests in hand, by number: the name, and what a repeat does by the settings they came under.
        self._names: dict[int, tuple[bytes, Idempotency]] = {}
        self._numbers: dict[bytes, int] = {}
        self._inherited: dict[
            bytes, InheritedRequest
        ] = {}  # proxies' requests taken over, that nobody came back for yet
        self._turned: dict[bytes, set[int]] = {}  # whom to tell what becomes of a name
        self._words: OrderedDict[bytes, Word] = OrderedDict()  # what was told last of names without an answer here
        self._stood_by: dict[int, int] = {}  # who turned a request of ours away, until it has stood back
        self.keeper.ours = self._ours
        self._wake = DeferredTimer(reactor, clock, self._due, LATE_MS)
        self._working = False
        self._standing_back: int | None = None  # the keeper that turned away the try that stands back now

    def _ours(self, name: bytes, sender: int) -> bool:
        """Whether a request of this name is in hand here, or its answer."""
        inherited = self._inherited.pop(name, None)
        if inherited is not None and inherited.is_awaited:
            if (
                inherited.uncertain_attempts
                and self._kinds[inherited.terms.class_name].idempotency is Idempotency.NON_IDEMPOTENT
            ):
                self._inherited[name] = inherited
                return True
            # Its proxy went to another gatekeeper, and nothing stands in the way there: it goes on without us.
            self._proxied.inherited.release(inherited)
        number = self._numbers.get(name)
        return name in self.returning if number is None else not self.origin.gives_way(number, sender)

    def _kept(self, customer: str, identity: str) -> bool:
        return request_key(customer, identity, self._settings.tag_key) in self.keeper.names

    def change(self, config: Config) -> None:
        """Other settings from now on."""
        self._settings, self._rooms, self._protected_only = config.settings, config.rooms, config.protected_only
        self._kinds = {kind.name: kind for kind in config.settings.classes}

    def attach(self, request_table: RequestTable, own: DirectRequests, proxied: DelegatedRequests) -> None:
        """Stand between them."""
        self._request_table, self._own, self._proxied = request_table, own, proxied
        request_table.guard = self
        request_table.batches.after_iteration.append(self.work)
        own.duplicates = self
        proxied.is_in_progress_elsewhere = self._kept

    # ---- the ledger's guard ----------------------------------------------------------------------

    def try_protect(self, entry: PendingRequest) -> bool:
        """Tell a keeper of a request that was accepted."""
        arrival, kind = entry.arrival, self._kinds[entry.arrival.class_name]
        if entry.replica is None:
            return True
        bound, name = kind.idempotency is not Idempotency.IDEMPOTENT, NO_NAME
        record = json.dumps(
            [
                RECORD_VERSION,
                entry.replica.kind,
                entry.replica.identity,
                arrival.customer,
                arrival.class_name,
                arrival.plan_name,
                arrival.units,
                arrival.first_gateway,
                arrival.spread,
                entry.replica.data,
            ],
            separators=(",", ":"),
        ).encode()
        if entry.replica.identity:
            name = request_key(arrival.customer, entry.replica.identity, self._settings.tag_key)
        if name != NO_NAME and bound:
            self._names[arrival.id] = name, kind.idempotency
            self._numbers.setdefault(name, arrival.id)
        why = "too_large" if len(record) > MOST_RECORD else ""
        now = self._clock()
        left_ms = max(0, int(arrival.deadline_at_ms - now))
        if not why:
            if self.origin.take(now, Taken(arrival.id, bound, left_ms, name, record)):
                self.counts["protected"] += 1
                return True
            why = "no_keeper"
        self.counts[f"unprotected_{why}"] += 1
        if kind.name in self._protected_only:
            self._forget_name(arrival.id)
            return False
        return True

    def may_release_attempt(self, request: int, attempt: int, worker: str) -> bool:
        """Whether an attempt may leave now."""
        return self.origin.send(self._clock(), request, attempt, worker)

    def may_release_rejection(self, request: int) -> bool:
        """Whether a refusal may be said now."""
        return self.origin.refuse(self._clock(), request)

    def attempt_never_executed(self, request: int, attempt: int) -> None:
        """An attempt is proved never to have run."""
        self.origin.never_executed(self._clock(), request, attempt)

    def request_completed(self, request: int) -> None:
        """A request has ended."""
        self.origin.over(self._clock(), request)
        (name, repeat), entry = self._forget_name(request), self._request_table.requests.get(request)
        if name is not None and name not in self.returning:
            # Danger: by its class's new settings an unsafe request that ran would be said never to have run.
            self._settled(
                name, Word.MAY_HAVE_RUN if repeat is Idempotency.NON_IDEMPOTENT and entry.attempts else Word.NEVER_RAN
            )

    def _forget_name(self, request: int) -> tuple[bytes, Idempotency] | tuple[None, None]:
        name, repeat = self._names.pop(request, (None, None))
        if name is not None and self._numbers.get(name) == request:
            del self._numbers[name]
            return name, repeat
        return None, None

    def _settled(self, name: bytes, word: Word, answer: FinalResponse | None = None) -> None:
        """Tell those that were turned away what became of the request that stood in their way."""
        receivers = self._turned.pop(name, ())
        if receivers and answer is None:
            self._words[name] = word
            self._words.move_to_end(name)
            while len(self._words) > MOST_WORDS:
                self._words.popitem(last=False)
        for receiver in receivers:
            data = written(answer) if answer is not None else b""
            if len(data) > MOST_RECORD:
                word, data = Word.MAY_HAVE_RUN, b""
            self._tell(receiver, pack(Settled(name, word, data)))

    def leave(self) -> None:
        """We go on purpose: what is still in hand is the keepers' as soon as they hear that we have left."""
        self.work()
        # Danger: what left here after the others were told that we do nothing more would run beside its taker.
        self._request_table.batches.stopped = True
        self._wake.cancel()

    # ---- clients and proxies that come back ------------------------------------------------------

    def try_join(
        self,
        customer: str,
        identity: str,
        class_name: str,
        deadline_at_ms: float,
        job: DirectRequest,
        done: Callable[[FinalResponse], None],
        go_on: Callable[[], None],
    ) -> bool:
        """A client's try. True: the work is in hand here or at one whose keeper we are, and it waits for its answer."""
        name = request_key(customer, identity, self._settings.tag_key)
        if self.returning.try_join(name, mark_of(job), done):
            return True
        if name in self.keeper.names and self._kinds[class_name].idempotency is not Idempotency.IDEMPOTENT:
            self.returning.wait_for_outcome(name, mark_of(job), deadline_at_ms, done, go_on)
            return True
        return False

    def wait_for_outcome(
        self,
        customer: str,
        identity: str,
        deadline_at_ms: float,
        job: DirectRequest,
        done: Callable[[FinalResponse], None],
        go_on: Callable[[], None],
    ) -> None:
        """A client's try whose keeper knows another of its name: it waits for the keeper's word."""
        name = request_key(customer, identity, self._settings.tag_key)
        self.returning.wait_for_outcome(name, mark_of(job), deadline_at_ms, done, go_on)
        if self._standing_back is not None:
            self._reactor.callLater(ASK_S, self._ask, name, self._standing_back, ASK_S)

    def _ask(self, name: bytes, keeper: int, gap_s: float) -> None:
        """Danger: the word is one datagram. Where a gatekeeper dies with thousands in hand many are lost, and who waits
        for one would wait until its time is up."""
        if self.returning.is_awaited(name):
            self.counts["asked_again"] += 1
            self._tell(keeper, pack(Asked(name)))
            # Spread, so that those who were turned away at once don't ask at once.
            gap_s = min(ASK_MOST_S, 2 * gap_s)
            self._reactor.callLater(gap_s * (0.75 + name[0] / 512), self._ask, name, keeper, gap_s)

    def _asked(self, sender: int, name: bytes) -> None:
        self._turned.setdefault(name, set()).add(sender)
        answer = self.returning.response_of(name)
        if answer is not None:
            self._settled(name, Word.ANSWERED, answer)
        elif name in self._words and name not in self.keeper.names and name not in self._numbers:
            self._settled(name, self._words[name])
        elif not (name in self.keeper.names or name in self._numbers or name in self.returning):
            del self._turned[name]  # nothing is known of it: no word is better than a wrong one

    # ---- members and messages --------------------------------------------------------------------

    def members(self, changes: list[Change]) -> None:
        """Who is there has changed."""
        now = self._clock()
        for change in changes:
            row, before = change.row, change.before
            if row.number == self._settings.number:
                continue
            if before is not None and before.life < row.life:
                self.keeper.gone(now, row.number, before.life)
            if row.status is Status.LEFT:
                self.keeper.gone(now, row.number, row.life)
            elif row.status is Status.OUT:
                self.keeper.lost(now, row.number, row.life)
        rows = self._membership.rows
        self.origin.members(
            now,
            {
                number: Member(number, rows[number].life, self._rooms.get(number, ""))
                for number in self._membership.alive()
                if number != self._settings.number
            },
        )
        self.work()

    def hear(self, sender: int, life: int, data: bytes) -> None:
        """A message of a peer whose seal proves its life."""
        message, now = unpack(data), self._clock()
        if message is None:
            self.counts["unreadable"] += 1
            return
        if isinstance(message, Settled):
            answer = read(message.data) if message.word is Word.ANSWERED else None
            if answer is not None:
                self.returning.responded_elsewhere(message.name, answer)
            else:
                self.returning.ended_elsewhere(message.name, message.word is not Word.NEVER_RAN)
            return
        if isinstance(message, Asked):
            self._asked(sender, message.name)
            return
        if isinstance(message, Elsewhere):
            self._stood_by[message.request] = sender
        self.origin.hear(now, sender, life, message)
        self.keeper.hear(now, sender, life, message)
        self.witness.hear(sender, life, message)
        self.work()

    def _due(self) -> None:
        now = self._clock()
        self.origin.look(now)
        self.keeper.look(now)
        self.work()

    def work(self) -> None:
        """Carry out what was decided, until nothing is left to do."""
        if self._working:
            return
        self._working = True
        try:
            while True:
                self.origin.flush(self._clock())
                if not self._carry_out():
                    break
        finally:
            self._working = False
        self._wake.schedule_by(min(self.origin.next_timer_ms, self.keeper.next_timer_ms))

    def _carry_out(self) -> bool:
        origin, keeper = self.origin, self.keeper
        for part in (origin, keeper, self.witness):
            for receiver, message in part.out:
                self._tell(receiver, pack(message))
            part.out.clear()
        go, answer, lost, unkept = origin.go, origin.answer, origin.lost, origin.unkept
        taken, released, turned, elsewhere = keeper.taken, keeper.released, keeper.turned, origin.elsewhere
        origin.go, origin.answer, origin.lost, origin.elsewhere, origin.unkept = [], [], [], [], []
        keeper.taken, keeper.released, keeper.turned = [], [], []
        for request in unkept:
            entry = self._request_table.requests.get(request)
            if entry is not None and entry.arrival.class_name in self._protected_only:
                self._request_table.reject_unprotected(request)
        for request, attempt in go:
            self._request_table.release_attempt(request, attempt)
        for request in answer:
            self._request_table.release_rejection(request)
        for request in lost:
            self._request_table.transfer_to_backup(request)
        for request in elsewhere:
            entry = self._request_table.requests.get(request)
            self._standing_back = self._stood_by.pop(request, None)
            if entry is not None and not entry.ended:
                entry.handler.yield_to_duplicate(entry.arrival, entry.replica.identity)
            self._standing_back = None
        self._stood_by.clear()
        for sender, name in turned:
            self._turned.setdefault(name, set()).add(sender)
            if self.returning.response_of(name) is not None:
                self._settled(name, Word.ANSWERED, self.returning.response_of(name))
        for kept in released:
            if kept.name != NO_NAME and kept.bound and kept.name not in self.keeper.names:
                # What a group drops when it comes again may be sent again; what is unsafe and may have run may not.
                stands = bool(kept.sent) and not self._keyed(kept)
                self.returning.ended_elsewhere(kept.name, stands)
                self._settled(kept.name, Word.MAY_HAVE_RUN if stands else Word.NEVER_RAN)
        for number, life, kept in taken:
            self._take_over(number, life, kept)
        return bool(go or answer or lost or taken or released or turned or elsewhere or unkept)

    def _keyed(self, kept: Kept) -> bool:
        fields = read_record(kept.record, self._kinds)
        return fields is not None and self._kinds[fields[3]].idempotency is Idempotency.KEYED

    # ---- taking over -----------------------------------------------------------------------------

    def _take_over(self, origin: int, life: int, kept: Kept) -> None:
        """A request of a lost gatekeeper is ours: the module decides what is to be done, as for any other."""
        self.counts["taken_over"] += 1
        if kept.until_ms <= self._clock():
            self.counts["taken_too_late"] += 1
            return
        fields = read_record(kept.record, self._kinds)
        if fields is None:
            self.counts["records_unreadable"] += 1
            return
        carrier, identity, customer, class_name, plan, units, first, spread, data = fields
        sent = sorted(kept.sent.items())
        server, server_ms = sent[0][1] if sent else ("", 0.0)
        prior_attempts = PriorAttempts(sent[-1][0] + 1 if sent else 0, len(sent), server, server_ms, bool(sent))
        number = self._numbers.get(kept.name)
        if number is not None:
            # Danger: ours had given way to the lost one, and is still here. One of them goes on, not both.
            self.counts["taken_in_hand"] += 1
            if kept.sent and not self._keyed(kept):
                self._request_table.transfer_to_backup(number)
            return
        self._log.info("taken_over", origin=origin, life=life, request=kept.request, attempts=prior_attempts.attempts)
        if carrier == "own":
            job = DirectRequest(data["method"], data["target"], data["headers"], base64.b64decode(data["body"]))
            if kept.name != NO_NAME and not self.returning.add(kept.name, mark_of(job), kept.until_ms):
                return  # its client was here before: that try is in hand or answered
            self._own.resume(
                job,
                lambda answer: self._finished(kept.name, answer),
                RequestTerms(customer, class_name, plan, kept.until_ms, units, first, spread),
                identity,
                prior_attempts,
            )
            if self._numbers.get(kept.name) is not None:  # who keeps it for us may have clients of that name waiting
                keeper = self.origin.kept_by(self._numbers[kept.name])
                self._turned.setdefault(kept.name, set()).update(set() if keeper is None else {keeper})
        else:
            inherited = self._proxied.inherit(
                data["life"],
                kept.request,
                identity,
                RequestTerms(customer, class_name, plan, kept.until_ms, units, first, spread),
                prior_attempts,
                dict(kept.sent),
            )
            if kept.name == NO_NAME or not kept.bound:
                return
            while self._inherited and not next(iter(self._inherited.values())).is_awaited:
                del self._inherited[next(iter(self._inherited))]
            self._inherited[kept.name] = inherited
            self._settled(kept.name, Word.NEVER_RAN if self._keyed(kept) else Word.MAY_HAVE_RUN)

    def _finished(self, name: bytes, answer: FinalResponse) -> None:
        if name != NO_NAME:
            self.returning.record_response(name, answer)
            if answer.is_rejected:
                self._settled(name, Word.NEVER_RAN)
            else:
                self._settled(name, Word.ANSWERED, answer)

    # ---- state -----------------------------------------------------------------------------------

    def state(self) -> dict[str, Any]:
        """What is kept for others and by others, in plain values."""
        return {
            "kept_for_others": self.keeper.count,
            "kept_by_others": len(self.origin),
            "answers": len(self.returning),
            "counts": dict(self.counts + self.origin.counts + self.keeper.counts + self.returning.counts),
        }


def read_record(record: bytes, kinds: dict[str, Any]) -> list[Any] | None:
    """What a record says, None where it is of another version of this program or of a class that we don't have.

    Danger: versions run side by side in a rolling restart; one record must not end the taking over of the others."""
    try:
        version, *fields = json.loads(record)
    except (ValueError, TypeError):
        return None
    return fields if version == RECORD_VERSION and len(fields) == 9 and fields[3] in kinds else None


def written(answer: FinalResponse) -> bytes:
    """An answer as bytes, for another gatekeeper."""
    message = answer.message
    served = None if message is None else [message.status, message.headers, base64.b64encode(message.body).decode()]
    return json.dumps(
        [served, answer.endpoint, answer.attempts, answer.is_rejected, answer.retry_after_ms, answer.reason],
        separators=(",", ":"),
    ).encode()


def read(data: bytes) -> FinalResponse | None:
    """The answer in these bytes, None where they can't be read."""
    try:
        served, *rest = json.loads(data)
        message = (
            None if served is None else http1.Message("", "", served[0], served[1], base64.b64decode(served[2]), True)
        )
        return FinalResponse(message, *rest)
    except (ValueError, TypeError, IndexError):
        return None


def mark_of(job: DirectRequest) -> bytes:
    """What a call asks for, as sixteen bytes."""
    mixed = hashlib.blake2b(digest_size=16)
    for part in (job.method.encode(), job.target.encode(), job.body):
        mixed.update(len(part).to_bytes(4, "big") + part)
    return mixed.digest()
