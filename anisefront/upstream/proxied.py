"""Attempts that the asking proxy carries: a check is a question, its OK an attempt, the access log its end.

It keeps the link between a proxy's checks and logs and the ledger's requests; it opens no socket and decides
nothing about requests. States of an exchange:

    asked (a check is open) --send--> out --log: served--> over
                                      out --log: failed--> between (the proxy may ask again) --check--> asked
    between, nobody asks for `ask_again_ms` --> over: the proxy has answered its client by itself
    an answer that no check waits for is kept for that long and given to the next check
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from anisefront.gateway.ledger import Ledger, Timers, Work
from anisefront.policy.actions import RejectionReason
from anisefront.policy.events import Arrival, AttemptResult, PriorAttempts


class Verdict(Enum):
    """What a check is told."""

    GO = "go"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to one check. `attempt` names an attempt to go; `retry_in_ms` goes with a refusal."""

    verdict: Verdict
    worker: str = ""
    timeout_ms: float = 0.0
    attempt: str = ""
    retry_after_ms: float = 0.0
    reason: str = ""


Reply = Callable[[Answer], None]


@dataclass(slots=True, eq=False)
class Exchange:
    """One request that a proxy asked about."""

    request_id: str
    number: int
    reply: Reply | None  # an open check
    attempt: int = -1  # the last one that was sent
    out: bool = False  # its OK has gone to the proxy, its log has not come
    peer: str = ""  # host of the proxy
    contested: bool = False  # another check came with the same request id
    parked: tuple[int, str, float, float] | None = None  # a send that no check waits for yet
    final: Answer | None = None
    customer: str = ""
    moment: int = 0  # counts changes, so that an old timer knows that it is old


@dataclass(slots=True, eq=False)
class Inherited:
    """A request that another gatekeeper had in hand, until its proxy or its client comes back for it."""

    token: tuple[str, int]  # the life and the number by which the proxy knows it
    identity: str
    terms: tuple[str, str, str, float, float, int, int]  # customer, class, plan, due, units, first gateway, spread
    prior_attempts: PriorAttempts
    sent: dict[int, tuple[str, float]]  # attempts that may have run: where, and since when
    reply: Reply | None = None  # a proxy that is ahead of its log
    waits: bool = True  # nobody has come back for it yet, and its time is not over


@dataclass(slots=True)
class Limits:
    """Times in milliseconds that the way over a proxy takes."""

    log_ms: float = 1000.0  # after the time allowed: no log by then is a time-out that may have run
    ask_again_ms: float = 500.0  # a proxy that does not ask in this time has given its client an answer
    path_ms: float = 25.0  # taken off the time allowed, so that the proxy's end comes before our own guard
    park_ms: float = 100.0  # how long a send may wait for its check before it must be decided anew


class Proxied:
    """The carrier for requests that proxies ask about."""

    def __init__(self, ledger: Ledger, timers: Timers, life: str, limits: Limits | None = None) -> None:
        self._ledger, self._timers, self._life = ledger, timers, life
        self.limits = limits or Limits()
        self.exchanges: dict[int, Exchange] = {}
        # Danger: ids are the clients' to choose. Counted over all, one customer's could block another's request.
        self._by_id: dict[str, dict[str, int]] = {}  # by request id, then by customer: open requests
        self.counts: Counter[str] = Counter()
        # Where others are told of what is here: whether another has this customer's request of that name in hand.
        self.kept: Callable[[str, str], bool] | None = None
        self._inherited: dict[tuple[str, int], Inherited] = {}  # by its proxy's token
        self._awaited: dict[tuple[str, str], Inherited] = {}  # by customer and request id

    # ---- what a front says ---------------------------------------------------------------------

    def ask(
        self,
        request_id: str,
        reply: Reply,
        customer: str,
        class_name: str,
        plan_name: str,
        deadline_at_ms: float,
        units: float,
        first_gateway: int,
        spread: int,
        is_retry: bool,
        peer: str = "",
        identity: str = "",
    ) -> int | None:
        """The first check of a request, by the proxy at host `peer`. `identity`: by which its client knows it, where
        that is not the request's id.

        The answer is the number by which `withdraw` names it, None if it was answered at once."""
        of_id = self._by_id.get(request_id, {}) if request_id else {}
        identity = identity or request_id
        if (customer, identity) in self._awaited:
            return self._come_back(self._awaited[customer, identity], reply, peer, request_id)
        elsewhere = self.kept is not None and identity and self.kept(customer, identity)
        if customer in of_id or elsewhere:
            # Danger: the same try over two proxies, or two gatekeepers, would run twice, each unknown to the other.
            self.counts["same_id_twice"] += 1
            if customer in of_id:
                self.exchanges[of_id[customer]].contested = True
            reply(Answer(Verdict.REFUSED, retry_after_ms=1000.0, reason="in-progress"))
            return None
        number = self._accept(
            identity, customer, class_name, plan_name, deadline_at_ms, units, first_gateway, spread, is_retry
        )
        if number is None:
            reply(Answer(Verdict.REFUSED, retry_after_ms=1000.0, reason="held-requests"))
            return None
        self._begin(number, request_id, reply, peer, customer)
        return number

    def _accept(
        self,
        identity: str,
        customer: str,
        class_name: str,
        plan_name: str,
        deadline_at_ms: float,
        units: float,
        first_gateway: int,
        spread: int,
        is_retry: bool,
        prior_attempts: PriorAttempts | None = None,
    ) -> int | None:
        work = Work("proxied", identity, {"life": self._life}) if self.kept is not None else None
        return self._ledger.accept(
            self,
            customer,
            class_name,
            plan_name,
            deadline_at_ms,
            units,
            first_gateway,
            spread,
            is_retry,
            allows_hedging=False,
            prior_attempts=prior_attempts,
            work=work,
        )

    def _begin(self, number: int, request_id: str, reply: Reply, peer: str, customer: str) -> Exchange:
        exchange = self.exchanges[number] = Exchange(request_id, number, reply, peer=peer, customer=customer)
        if request_id:
            self._by_id.setdefault(request_id, {})[customer] = number
        return exchange

    def ask_again(self, token: str, reply: Reply) -> int | None:
        """A further check: the proxy wants the next attempt after the one that `token` names."""
        inherited, attempt = self._inherited_by(token)
        if inherited is not None and inherited.reply is None:
            if attempt not in inherited.sent:
                return self._come_back(inherited, reply)
            inherited.reply = reply  # its log tells whether that attempt ran; without one it may have
            self._timers.callLater(self.limits.log_ms / 1000, self._without_log, inherited, reply)
            return None
        named = self._named(token)
        exchange = self.exchanges.get(named[0]) if named else None
        if exchange is None or named[1] != exchange.attempt or exchange.reply is not None:
            # Of another life, long over, or asked twice: what ran of it is not known here.
            self.counts["asked_again_unknown"] += 1
            reply(Answer(Verdict.FAILED, reason="unknown-attempt"))
            return None
        exchange.moment += 1
        exchange.reply = reply
        if exchange.final is not None:
            self._finish(exchange, exchange.final)
            return None
        if exchange.parked is not None:
            number, worker, allow, parked_ms = exchange.parked
            exchange.parked = None
            waited = self._ledger.now_ms() - parked_ms
            if waited > self.limits.park_ms or not self._ledger.may_begin(exchange.number, number):
                # Danger: what was right then may break a drain or a repeat's time now: it is decided anew.
                self._ledger.outcome(exchange.number, number, AttemptResult.DISCARDED, 0.0)
            else:
                self._go(exchange, number, worker, allow - waited)
        elif exchange.out:  # the proxy is ahead of its log
            self._after(self.limits.log_ms, exchange, self._no_log)
        return exchange.number

    def withdraw(self, number: int) -> None:
        """The proxy gave an open check up: its client has left, or its own time-out denied it."""
        exchange = self.exchanges.get(number)
        if exchange is not None and exchange.reply is not None:
            exchange.reply = None
            self.counts["withdrawn"] += 1
            if not exchange.out:
                self._close(exchange)
            self._ledger.leave(number)

    def log(
        self, token: str, result: AttemptResult, duration_ms: float | None, load: tuple[float, ...], over: bool
    ) -> bool:
        """The end of an attempt as a proxy logged it; `over` says that the client has its answer or has left.

        False where the attempt is not known or was logged before: nothing changes."""
        inherited, attempt = self._inherited_by(token)
        if inherited is not None and attempt in inherited.sent:
            self._settle(inherited, attempt, result, over)
            return True
        named = self._named(token)
        exchange = self.exchanges.get(named[0]) if named else None
        if exchange is None or named[1] != exchange.attempt or not exchange.out:
            self.counts["logs_unknown"] += 1
            return False
        exchange.out = False
        exchange.moment += 1
        if over and result is not AttemptResult.OK:
            self._ledger.leave(exchange.number)
        served = self._ledger.outcome(exchange.number, exchange.attempt, result, duration_ms, load)
        if served or over or result is AttemptResult.OK:
            self._close(exchange)
        elif exchange.reply is None:
            self._after(self.limits.ask_again_ms, exchange, self._not_asked_again)
        return True

    def log_unsent(self, request_id: str, peer: str) -> bool:
        """A proxy says that it denied a request because its check had failed: our OK never reached it.

        It saw no attempt's name, so the request's id must do; and only from the host that asked, and where no
        other check came with that id, does it prove that nothing was sent."""
        of_id = self._by_id.get(request_id, {}) if request_id else {}
        exchange = self.exchanges.get(next(iter(of_id.values()))) if len(of_id) == 1 else None  # of several: none
        if exchange is None or exchange.contested or exchange.peer != peer or exchange.attempt > 0:
            self.counts["logs_unknown"] += 1
            return False
        self.counts["unsent"] += 1
        self._ledger.leave(exchange.number)
        if exchange.out:
            exchange.out = False
            self._ledger.outcome(exchange.number, exchange.attempt, AttemptResult.DISCARDED, 0.0)
        self._close(exchange)
        return True

    # ---- work of a lost gatekeeper -------------------------------------------------------------

    def stand_back(self, arrival: Arrival, identity: str) -> None:
        """Another gatekeeper has this request in hand: its proxy is to come again."""
        exchange = self.exchanges.get(arrival.id)
        self._ledger.leave(arrival.id)
        if exchange is not None:
            reply, exchange.reply = exchange.reply, None
            self._close(exchange)
            if reply is not None:
                reply(Answer(Verdict.REFUSED, retry_after_ms=1000.0, reason="in-progress"))

    def go_on(
        self,
        life: str,
        number: int,
        identity: str,
        customer: str,
        class_name: str,
        plan_name: str,
        deadline_at_ms: float,
        units: float,
        first_gateway: int,
        spread: int,
        prior_attempts: PriorAttempts,
        sent: dict[int, tuple[str, float]],
    ) -> Inherited:
        """A request that another gatekeeper had: nothing can leave before its proxy or its client comes back."""
        inherited = self._inherited[life, number] = Inherited(
            (life, number),
            identity,
            (customer, class_name, plan_name, deadline_at_ms, units, first_gateway, spread),
            prior_attempts,
            sent,
        )
        if identity:
            self._awaited[customer, identity] = inherited
        self.counts["inherited"] += 1
        self._timers.callLater(max(0.0, deadline_at_ms - self._ledger.now_ms()) / 1000, self.let_go, inherited)
        return inherited

    def _inherited_by(self, token: str) -> tuple[Inherited | None, int]:
        life, _, rest = token.partition(".")
        number, _, attempt = rest.partition(".")
        if not (self._inherited and number.isascii() and number.isdigit() and attempt.isascii() and attempt.isdigit()):
            return None, 0
        return self._inherited.get((life, int(number))), int(attempt)

    def let_go(self, inherited: Inherited) -> None:
        """Wait for it no longer."""
        inherited.waits = False
        awaited = (inherited.terms[0], inherited.identity)
        if self._awaited.get(awaited) is inherited:
            del self._awaited[awaited]
        self._inherited.pop(inherited.token, None)

    def _come_back(self, inherited: Inherited, reply: Reply, peer: str = "", request_id: str = "") -> int | None:
        """Its proxy or its client is here: the module decides on it, with the attempts that may have run."""
        self.let_go(inherited)
        self.counts["came_back"] += 1
        waiting, inherited.reply = inherited.reply, None
        if waiting is not None and waiting is not reply:
            waiting(Answer(Verdict.FAILED, reason="unknown-attempt"))  # another check took its place
        sent = sorted(inherited.sent.items())
        prior_attempts = PriorAttempts(
            inherited.prior_attempts.attempts,
            len(sent),
            *(sent[0][1] if sent else (inherited.prior_attempts.endpoint, 0.0)),
            inherited.prior_attempts.quota_debited,
        )
        number = self._accept(inherited.identity, *inherited.terms, False, prior_attempts)
        if number is None:
            reply(
                Answer(Verdict.FAILED, reason="failed")
                if sent
                else Answer(Verdict.REFUSED, retry_after_ms=1000.0, reason="held-requests")
            )
            return None
        self._begin(number, request_id, reply, peer, inherited.terms[0]).attempt = prior_attempts.attempts - 1
        return number

    def _settle(self, inherited: Inherited, attempt: int, result: AttemptResult, over: bool) -> None:
        """The late log of an attempt that the lost gatekeeper had let go."""
        self.counts["logs_settled"] += 1
        reply = inherited.reply
        if result.never_executed:
            del inherited.sent[attempt]
        if over or result is AttemptResult.OK:
            inherited.reply = None
            self.let_go(inherited)
            if reply is not None:
                reply(Answer(Verdict.FAILED, reason="unknown-attempt"))
        elif reply is not None:
            self._come_back(inherited, reply)

    def _without_log(self, inherited: Inherited, reply: Reply) -> None:
        if inherited.reply is reply:
            self._come_back(inherited, reply)

    # ---- what the ledger says ------------------------------------------------------------------

    def send(self, request: int, attempt: int, worker: str, timeout_ms: float) -> None:
        """An attempt may go: to the open check, or to the next one that comes soon."""
        exchange = self.exchanges.get(request)
        if exchange is None:
            self._ledger.outcome(request, attempt, AttemptResult.DISCARDED, 0.0)
        elif exchange.reply is not None:
            self._go(exchange, attempt, worker, timeout_ms)
        else:
            exchange.parked = (attempt, worker, timeout_ms, self._ledger.now_ms())

    def cancel(self, request: int, attempt: int) -> None:
        """A proxy can't be called off: the log will tell, or its time runs out."""

    def refuse(self, request: int, retry_after_ms: float, reason: RejectionReason) -> None:
        """Final: for the open check, or kept for the next."""
        self._answer(request, Answer(Verdict.REFUSED, retry_after_ms=retry_after_ms, reason=reason.value))

    def fail(self, request: int) -> None:
        """Final, without a promise."""
        self._answer(request, Answer(Verdict.FAILED, reason="failed"))

    # ---- inside --------------------------------------------------------------------------------

    def _named(self, token: str) -> tuple[int, int] | None:
        life, _, rest = token.partition(".")
        number, _, attempt = rest.partition(".")
        if life != self._life or not (number.isascii() and number.isdigit() and attempt.isdigit()):
            return None
        return int(number), int(attempt)

    def _go(self, exchange: Exchange, attempt: int, worker: str, timeout_ms: float) -> None:
        reply, exchange.reply = exchange.reply, None
        exchange.attempt, exchange.out = attempt, True
        exchange.moment += 1
        timeout_ms = max(1.0, timeout_ms - self.limits.path_ms)
        reply(Answer(Verdict.GO, worker, timeout_ms, f"{self._life}.{exchange.number}.{attempt}"))
        self._after(timeout_ms + self.limits.log_ms, exchange, self._no_log)

    def _answer(self, request: int, answer: Answer) -> None:
        exchange = self.exchanges.get(request)
        if exchange is None:
            return
        if exchange.reply is not None:
            self._finish(exchange, answer)
        else:  # the proxy may still ask what to tell its client
            exchange.final = answer
            self._after(
                self.limits.ask_again_ms + (self.limits.log_ms if exchange.out else 0.0),
                exchange,
                self._not_asked_again,
            )

    def _finish(self, exchange: Exchange, answer: Answer) -> None:
        reply, exchange.reply = exchange.reply, None
        self._close(exchange)
        reply(answer)

    def _close(self, exchange: Exchange) -> None:
        exchange.moment += 1
        self.exchanges.pop(exchange.number, None)
        of_id = self._by_id.get(exchange.request_id, {})
        if of_id.get(exchange.customer) == exchange.number:
            del of_id[exchange.customer]
            if not of_id:
                del self._by_id[exchange.request_id]
        if exchange.out:  # its end will not be heard any more
            exchange.out = False
            self._ledger.outcome(exchange.number, exchange.attempt, AttemptResult.TIMEOUT)
        if exchange.parked is not None:
            parked, exchange.parked = exchange.parked, None
            self._ledger.outcome(exchange.number, parked[0], AttemptResult.DISCARDED, 0.0)

    def _after(self, delay_ms: float, exchange: Exchange, call: Callable[[Exchange], None]) -> None:
        self._timers.callLater(delay_ms / 1000, self._due, exchange, exchange.moment, call)

    @staticmethod
    def _due(exchange: Exchange, moment: int, call: Callable[[Exchange], None]) -> None:
        if moment == exchange.moment:
            call(exchange)

    def _no_log(self, exchange: Exchange) -> None:
        """No log in time: a time-out that may have run."""
        if exchange.out:
            self.counts["logs_missing"] += 1
            exchange.out = False
            exchange.moment += 1
            self._ledger.outcome(exchange.number, exchange.attempt, AttemptResult.TIMEOUT)
            if exchange.reply is None:
                self._after(self.limits.ask_again_ms, exchange, self._not_asked_again)

    def _not_asked_again(self, exchange: Exchange) -> None:
        """The proxy did not come back: its client has an answer, and nothing more may go out."""
        self.counts["not_asked_again"] += 1
        self._close(exchange)
        self._ledger.leave(exchange.number)
