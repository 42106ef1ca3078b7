"""The keeper's and the witness's part: what is known of others' work, and who has it. Free of I/O and of clocks.

    open --origin out or gone--> closing --the witness: closed--> closed: what was in hand is ours
                                    `------the witness: left---> dropped: its origin went on with another keeper

The witness is asked even where the origin is surely gone: before that it may have gone on with another keeper.

Once closed the answer to everything of the epoch is "not yours", for good; until then we acknowledge what we take in,
and so know of it if the word is ours. An origin that was only stopped or cut off sends nothing that we do not know of.
"""

from __future__ import annotations

import heapq
import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import IntEnum

from anisefront.cluster.keeping import (
    NO_NAME,
    Ack,
    Close,
    Elsewhere,
    Ended,
    Feed,
    Full,
    Leave,
    Message,
    NotYours,
    Over,
    Ruled,
    Sent,
    Taken,
)

ASK_AGAIN_MS = 50.0  # the witness is asked again so often
ALONE_MS = 500.0  # safe work of an origin that is out waits no longer for the witness's word
REMEMBERED = 256  # epochs of one life of an origin whose end is known one by one; older ones are all over
LIVES = 4  # lives of one origin of which anything is known; older ones are all over


@dataclass(slots=True, eq=False)
class Kept:
    """One request of another that we know of. `sent`: its attempts that may have run, by number: where, and the time
    before which none of it had left (-inf: not known)."""

    request: int
    bound: bool
    until_ms: float
    name: bytes
    record: bytes
    sent: dict[int, tuple[str, float]] = field(default_factory=dict)


class _State(IntEnum):
    OPEN = 0
    CLOSING = 1
    CLOSED = 2


@dataclass(slots=True, eq=False)
class _Epoch:
    origin: int
    life: int
    epoch: int
    witness: int
    witness_life: int
    state: _State = _State.OPEN
    upto: int = 0
    kept: dict[int, Kept] = field(default_factory=dict)
    declined: set[int] = field(default_factory=set)  # requests that there was no room for, until they are over
    heard_ms: float = 0.0
    watched: bool = False  # a look at its lease is planned
    closing_ms: float = 0.0
    asked_ms: float = 0.0


@dataclass(slots=True, eq=False)
class _Life:
    """One life of an origin: its epochs here. Those below `floor` are over."""

    epochs: dict[int, _Epoch] = field(default_factory=dict)
    floor: int = 0


class Keeper:
    """What we keep for others. What it wants done is in `out` (messages), `taken` (origin, life and request that are
    ours from now on), `released` and `turned`; the host empties them after each call."""

    def __init__(self, number: int, life: int, lease_ms: float = 1000.0, most: int = 50_000) -> None:
        self.number, self.life, self.lease_ms, self.most = number, life, lease_ms, most
        self.out: list[tuple[int, Message]] = []
        self.taken: list[tuple[int, int, Kept]] = []
        self.counts: Counter[str] = Counter()
        self.count = 0  # requests kept
        self.names: dict[bytes, tuple[int, int, int, int]] = {}  # origin, life, epoch and request, by name
        # Whether a name is in hand here, for one who feeds us another of it (his number).
        self.ours: Callable[[bytes, int], bool] | None = None
        self.turned: list[tuple[int, bytes]] = []  # who was told that a name is in hand
        self.released: list[Kept] = []  # kept no longer, and not ours: over, left, or too late
        self._leases: list[tuple[float, int, int, int]] = []  # when to look at an epoch's lease
        self._lives: dict[tuple[int, int], _Life] = {}
        self._closing: dict[tuple[int, int, int], _Epoch] = {}
        self._until: list[tuple[float, int, int, int, int]] = []  # when requests are of no use any more
        self._over: dict[int, int] = {}  # lives of an origin up to this one are over here

    def hear(self, now: float, sender: int, life: int, message: Message) -> None:
        """A message whose seal proves sender and life."""
        if isinstance(message, Feed):
            self._feed(now, sender, life, message)
        elif isinstance(message, Ruled):
            epoch = self._closing.get((message.origin, message.life, message.epoch))
            if epoch is not None and (epoch.witness, epoch.witness_life) == (sender, life):
                self._ruled(epoch, message.closed)

    def _feed(self, now: float, sender: int, life: int, message: Feed) -> None:
        if message.keeper_life != self.life:
            # Danger: what a life before ours had taken over we do not know. Our word would let it run twice.
            self.counts["for_another_life"] += 1
            return
        if life <= self._over.get(sender, 0):
            return  # Danger: a delayed message of a life that is over would have us keep, and once run, what is done
        of_life = self._lives.setdefault((sender, life), _Life())
        for old in [number for number in of_life.epochs if number < message.oldest]:
            if of_life.epochs[old].state is _State.OPEN:
                self._drop(of_life.epochs[old])  # its origin is done with it
        epoch = of_life.epochs.get(message.epoch)
        if epoch is None:
            if message.epoch <= of_life.floor:
                return  # the same danger
            epoch = of_life.epochs[message.epoch] = _Epoch(
                sender, life, message.epoch, message.witness, message.witness_life
            )
        if epoch.state is _State.CLOSED:
            self.out.append((sender, NotYours(message.epoch)))
        else:
            epoch.heard_ms = now
            for number, entry in enumerate(message.entries, message.first):
                # Danger: out of their order an old "taken" would come after the "over" that ended it.
                if number == epoch.upto + 1:
                    if self._declined(epoch, entry):
                        for other in message.entries[number - message.first :]:
                            if self._declined(epoch, other):
                                self._decline(epoch, other.request)
                        break
                    if isinstance(entry, Taken) and self._in_hand(sender, life, entry):
                        # Danger: acknowledged, its attempts would leave beside the one that is in hand.
                        self.counts["names_in_hand"] += 1
                        self.turned.append((sender, entry.name))
                        self.out.append((sender, Elsewhere(message.epoch, entry.request)))
                        break
                    self._apply(now, epoch, entry)
                    epoch.upto = number
            self.out.append((sender, Ack(message.epoch, epoch.upto)))

    def _declined(self, epoch: _Epoch, entry: Taken | Sent | Ended | Over) -> bool:
        """Whether a request is not taken in for want of room. Danger: one that was turned away once must be for good:
        its origin goes on with it by itself, however late it hears of that."""
        return (
            isinstance(entry, Taken)
            and entry.request not in epoch.kept
            and (self.count >= self.most or entry.request in epoch.declined)
        )

    def _decline(self, epoch: _Epoch, request: int) -> None:
        """Not acknowledged: its origin takes it back, and what is behind it goes on."""
        self.counts["full"] += request not in epoch.declined
        epoch.declined.add(request)
        self.out.append((epoch.origin, Full(epoch.epoch, request)))

    def _in_hand(self, origin: int, life: int, taken: Taken) -> bool:
        """Whether another request of this name is kept here or ours; one kept again by its own origin is the same."""
        if taken.name == NO_NAME or not taken.bound:
            return False
        place = self.names.get(taken.name)
        if place is not None:
            return (place[0], place[1], place[3]) != (origin, life, taken.request)
        return self.ours is not None and self.ours(taken.name, origin)

    def _apply(self, now: float, epoch: _Epoch, entry: Taken | Sent | Ended | Over) -> None:
        kept = epoch.kept.get(entry.request)
        match entry:
            case Taken(request, bound, left_ms, name, record) if kept is None:
                epoch.kept[request] = Kept(request, bound, now + left_ms, name, record)
                self.count += 1
                if name != NO_NAME and bound:
                    self.names[name] = (epoch.origin, epoch.life, epoch.epoch, request)
                self._watch(now, epoch)
                heapq.heappush(self._until, (now + left_ms, epoch.origin, epoch.life, epoch.epoch, request))
            case Sent(_, attempt, worker, waits) if kept is not None:
                # An attempt leaves after our word, so not before now: what drops repeats does so from now on.
                kept.sent[attempt] = (worker, now if waits else -math.inf)
            case Ended(_, attempt) if kept is not None:
                kept.sent.pop(attempt, None)
            case Over(request) if kept is not None:
                self._let_go(epoch, kept)
            case Over(request):
                epoch.declined.discard(request)

    # ---- an origin is lost -------------------------------------------------------------------------

    def lost(self, now: float, origin: int, life: int) -> None:
        """That life of an origin is out or gone: dead, stopped or cut off. What it had becomes ours if its witness
        says so."""
        for epoch in list(self._epochs(origin, life).values()):
            if epoch.state is _State.OPEN and epoch.kept:
                self._begin_to_close(now, epoch)

    def _epochs(self, origin: int, life: int) -> dict[int, _Epoch]:
        of_life = self._lives.get((origin, life))
        return of_life.epochs if of_life is not None else {}

    def _begin_to_close(self, now: float, epoch: _Epoch) -> None:
        if epoch.witness < 0:
            self._close(epoch)  # a fleet of two: its origin can't leave us either
            return
        epoch.state, epoch.closing_ms = _State.CLOSING, now
        self._closing[epoch.origin, epoch.life, epoch.epoch] = epoch
        self._ask(now, epoch)

    def _watch(self, now: float, epoch: _Epoch) -> None:
        if not epoch.watched:
            epoch.watched = True
            heapq.heappush(self._leases, (now + self.lease_ms, epoch.origin, epoch.life, epoch.epoch))

    def _look_at_lease(self, now: float, epoch: _Epoch) -> None:
        """A lease that is out decides how soon we ask for the work, never whether it is ours."""
        epoch.watched = False
        if epoch.state is _State.OPEN and epoch.kept:
            if now - epoch.heard_ms >= self.lease_ms:
                self.counts["leases_out"] += 1
                self._begin_to_close(now, epoch)
            else:
                self._watch(epoch.heard_ms, epoch)

    def _let_go(self, epoch: _Epoch, kept: Kept) -> None:
        del epoch.kept[kept.request]
        self._forget_name(epoch, kept)
        self.released.append(kept)

    def _forget_name(self, epoch: _Epoch, kept: Kept) -> None:
        self.count -= 1
        if self.names.get(kept.name) == (epoch.origin, epoch.life, epoch.epoch, kept.request):
            del self.names[kept.name]

    def gone(self, now: float, origin: int, life: int) -> None:
        """That life and those before it do nothing more: it said so, or another has taken its place."""
        for number, each in list(self._lives):
            if number == origin and each <= life:
                self.lost(now, origin, each)
        self._over[origin] = max(self._over.get(origin, 0), life)
        lives = sorted(each for number, each in self._lives if number == origin)
        for each in lives[:-LIVES]:
            for epoch in list(self._lives[origin, each].epochs.values()):
                self._drop(epoch)
            del self._lives[origin, each]

    def _ask(self, now: float, epoch: _Epoch) -> None:
        epoch.asked_ms = now
        self.out.append((epoch.witness, Close(epoch.origin, epoch.life, epoch.epoch, epoch.witness_life)))

    def _ruled(self, epoch: _Epoch, closed: bool) -> None:
        if closed:
            self._close(epoch)
        else:
            self.counts["left_before"] += 1
            self._drop(epoch)

    def _close(self, epoch: _Epoch) -> None:
        epoch.state = _State.CLOSED
        self._closing.pop((epoch.origin, epoch.life, epoch.epoch), None)
        self.counts["epochs_taken"] += 1
        for kept in list(epoch.kept.values()):
            self._take(epoch, kept)
        self._bound_memory(epoch)

    def _take(self, epoch: _Epoch, kept: Kept) -> None:
        """It is ours from now on."""
        del epoch.kept[kept.request]
        self._forget_name(epoch, kept)
        self.taken.append((epoch.origin, epoch.life, kept))

    def _drop(self, epoch: _Epoch) -> None:
        self._closing.pop((epoch.origin, epoch.life, epoch.epoch), None)
        for kept in list(epoch.kept.values()):
            self._let_go(epoch, kept)
        of_life = self._lives[epoch.origin, epoch.life]
        del of_life.epochs[epoch.epoch]
        of_life.floor = max(of_life.floor, epoch.epoch)

    def _bound_memory(self, epoch: _Epoch) -> None:
        of_life = self._lives[epoch.origin, epoch.life]
        closed = [each.epoch for each in of_life.epochs.values() if each.state is _State.CLOSED]
        if len(closed) > REMEMBERED:  # never again acknowledged, as below the floor nothing is
            of_life.floor = max(of_life.floor, closed[0])
            del of_life.epochs[closed[0]]

    def look(self, now: float) -> None:
        """Look at the leases; ask the witnesses again; hand out safe work that can't wait for their word; let go of
        what is too late. After a standstill what waits in our sockets is to be taken in before."""
        while self._until and self._until[0][0] <= now:
            _, origin, life, number, request = heapq.heappop(self._until)
            epoch = self._epochs(origin, life).get(number)
            if epoch is not None and request in epoch.kept:
                self._let_go(epoch, epoch.kept[request])
        while self._leases and self._leases[0][0] <= now:
            _, origin, life, number = heapq.heappop(self._leases)
            epoch = self._epochs(origin, life).get(number)
            if epoch is not None:
                self._look_at_lease(now, epoch)
        for epoch in list(self._closing.values()):
            if now - epoch.asked_ms >= ASK_AGAIN_MS:
                self._ask(now, epoch)
            if now - epoch.closing_ms >= ALONE_MS:
                for kept in [kept for kept in epoch.kept.values() if not kept.bound]:
                    self._take(epoch, kept)

    @property
    def next_timer_ms(self) -> float:
        """When `look` is to be called at the latest."""
        asked = min((epoch.asked_ms for epoch in self._closing.values()), default=math.inf) + ASK_AGAIN_MS
        return min(asked, self._leases[0][0]) if self._leases else asked


class Witness:
    """Who has an epoch: its origin, which left its keeper, or the keeper, which took it over. The first who asks.

    Danger: a second word that differs from the first would give one request to two."""

    def __init__(self, life: int) -> None:
        self.life = life
        self.out: list[tuple[int, Message]] = []
        self._ruled: dict[int, dict[int, dict[int, bool]]] = {}  # by origin and life: epochs, whether closed
        self._floor: dict[tuple[int, int], int] = {}  # epochs of a life up to this one get no word any more
        self._over: dict[int, int] = {}  # nor do lives of an origin up to this one

    def hear(self, sender: int, life: int, message: Message) -> None:
        """A message whose seal proves sender and life."""
        if not isinstance(message, Leave | Close) or message.witness_life != self.life:
            return  # Danger: what a life before ours said is not known
        closed = isinstance(message, Close)
        origin = (message.origin, message.life) if closed else (sender, life)
        if origin[1] <= self._over.get(origin[0], 0):
            return  # so old that its word is forgotten: nobody gets another
        lives = self._ruled.setdefault(origin[0], {})
        ruled = lives.setdefault(origin[1], {})
        if message.epoch <= self._floor.get(origin, 0) and message.epoch not in ruled:
            return  # the same
        word = ruled.setdefault(message.epoch, closed)
        self.out.append((sender, Ruled(*origin, message.epoch, word)))
        if len(ruled) > REMEMBERED:
            oldest = min(ruled)
            self._floor[origin] = max(self._floor.get(origin, 0), oldest)
            del ruled[oldest]
        if len(lives) > LIVES:
            oldest = min(lives)
            self._over[origin[0]] = max(self._over.get(origin[0], 0), oldest)
            self._floor.pop((origin[0], oldest), None)
            del lives[oldest]
