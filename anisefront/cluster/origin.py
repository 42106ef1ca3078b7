"""The origin's part in keeping: which keeper knows of a request, and when an attempt may leave. Free of I/O and clocks.

A request is fed to one keeper. An attempt of a bound one (it may not simply run again) leaves only when the keeper has
said that it knows of it. So whoever takes over knows of all that may have run, whatever clocks and pauses did.

    open --keeper slow or out--> leaving --the witness: left--> its requests are fed to another keeper
      |                             `-----the witness: closed--> lost: its bound requests are the keeper's
      `--keeper: not yours--> lost

Safety rests on three orders of messages: an attempt after the keeper's word, a new keeper after the witness's word,
and at the witness who came first. Times decide only how soon we ask again or look for another.
"""

from __future__ import annotations

import hashlib
import heapq
from collections import Counter, deque
from dataclasses import dataclass, field, replace
from typing import NamedTuple

from anisefront.cluster.keeping import (
    MOST_BYTES,
    NO_NAME,
    Ack,
    Elsewhere,
    Ended,
    Entry,
    Feed,
    Full,
    Leave,
    Message,
    NotYours,
    Over,
    Ruled,
    Sent,
    Taken,
    pack_entry,
)

ASK_AGAIN_MS, ASK_MOST_MS = 30.0, 480.0  # so long after a feed without a word it is sent again; alone ever less often
PATIENCE_MS = 150.0  # a keeper without a word for so long is left for another
SLOW_MS = 5000.0  # and not chosen again for so long, while there are others
MOST_UNHEARD = 4000  # entries that one keeper has not acknowledged; beyond them its requests are not protected
FEED_ENTRIES = 255  # in one message
BEAT_PART = 0.25  # of a lease: so often a keeper hears of us while it keeps something
LATE_MS = 20.0  # what may simply run again is told so much later: most of it has ended by then, and costs nothing
SLOTS = 64  # identities fall into so many, each with its own order of keepers


class Member(NamedTuple):
    """One that may be keeper or witness."""

    number: int
    life: int
    room: str = ""


@dataclass(slots=True, eq=False)
class _Work:
    """One request of ours that a keeper was told of."""

    taken: Taken
    slot: int
    deadline_at_ms: float
    epoch: int = 0
    sent: dict[int, str] = field(default_factory=dict)  # attempts, by number, not proved never to have run
    waiting: set[int] = field(default_factory=set)  # attempts that wait for the keeper's word
    refused: bool = False  # its refusal waits for it
    lost: bool = False  # another has it: nothing more leaves here


@dataclass(slots=True, eq=False)
class _Link:
    """An epoch: what one life of a keeper is told, with one witness over it."""

    epoch: int
    keeper: Member
    witness: Member | None
    requests: set[int] = field(default_factory=set)
    entries: deque[tuple[Entry, bytes]] = field(default_factory=deque)  # not acknowledged, with their bytes
    late: dict[int, list[Entry]] = field(default_factory=dict)  # of requests that it was not told of yet
    late_ms: float = 0.0  # when these are told; 0: there are none
    first: int = 1  # number of the first of these
    told: int = 0  # number of the last that has been sent
    asked_ms: float = 0.0  # when we last sent
    since_ms: float = 0.0  # since when we wait for a word that says more than the one before
    again_ms: float = 0.0  # when to ask again without one
    gap_ms: float = ASK_AGAIN_MS
    leaving: bool = False
    beats: bool = False  # whether it is to be looked at for a sign of life, and when
    beat_ms: float = 0.0
    beat_out: bool = False  # a sign of life is not answered yet

    @property
    def waits(self) -> bool:
        """Whether the keeper's word is due."""
        return self.told >= self.first or self.beat_out

    @property
    def next(self) -> int:
        return self.first + len(self.entries)


class Origin:
    """Our requests and who keeps them. What it wants done is in `out` (messages), `go` (attempts that may leave),
    `answer` (refusals that may be given), `lost` (requests that are another's now), `elsewhere` (requests that
    never left, another of whose name is in hand) and `unkept` (requests that nobody keeps); the host empties them."""

    def __init__(self, me: Member, lease_ms: float = 1000.0) -> None:
        self.me, self.lease_ms = me, lease_ms
        self.out: list[tuple[int, Message]] = []
        self.go: list[tuple[int, int]] = []
        self.answer: list[int] = []
        self.lost: list[int] = []
        self.elsewhere: list[int] = []
        self.unkept: list[int] = []
        self.counts: Counter[str] = Counter()
        self._members: dict[int, Member] = {}
        self._works: dict[int, _Work] = {}
        self._links: dict[int, _Link] = {}  # by epoch
        self._current: dict[int, int] = {}  # epoch in use, by keeper
        self._epochs: dict[int, list[int]] = {}  # those with a keeper that are not done with, the oldest first
        self._slow: dict[int, float] = {}  # keepers that were left, until when
        self._ranks: dict[tuple[int, str, int], list[Member]] = {}  # kept until the members change
        self._new: dict[int, None] = {}  # epochs with entries that were not sent yet
        self._agenda: list[tuple[float, int]] = []  # when to look whether an epoch has its answers
        self._epoch = 0

    def __len__(self) -> int:
        return len(self._works)

    # ---- what happens to requests ----------------------------------------------------------------

    def take(self, now: float, taken: Taken) -> bool:
        """A request has been accepted. False: nobody can keep it, and nobody is told of it."""
        known_by = taken.name if taken.name != NO_NAME else b"%d" % taken.request
        slot = int.from_bytes(hashlib.blake2b(known_by, digest_size=2).digest(), "big") % SLOTS
        link = self._link(now, slot, taken.name != NO_NAME)
        if link is None:
            return False
        self._works[taken.request] = _Work(taken, slot, now + taken.left_ms, link.epoch)
        self._begin(now, link, taken)
        return True

    def send(self, now: float, request: int, attempt: int, worker: str) -> bool:
        """An attempt wants to leave. True: it may at once; else it is in `go` when it may, or the request in `lost`."""
        work = self._works.get(request)
        if work is None:
            return True  # nobody was told of it, so nobody can take it over
        if work.lost:
            return False
        work.sent[attempt] = worker
        link = self._links.get(work.epoch)
        if link is None:
            return True  # no keeper can be found any more, and the last one is out of it by its witness's word
        if work.taken.bound:
            # Danger: an attempt that leaves before the keeper's word runs a second time when the keeper takes over.
            work.waiting.add(attempt)
        if not link.leaving:
            self._add(link, Sent(request, attempt, worker), at_once=work.taken.bound)
        return not work.taken.bound

    def never_executed(self, now: float, request: int, attempt: int) -> None:
        """An attempt is proved never to have run."""
        work = self._works.get(request)
        if work is not None and work.sent.pop(attempt, None) is not None:
            work.waiting.discard(attempt)
            self._tell(work, Ended(request, attempt), at_once=False)

    def refuse(self, now: float, request: int) -> bool:
        """A request is to be refused as never run. True: it may be said at once; else it is in `answer` when it may,
        or the request in `lost`."""
        work = self._works.get(request)
        if work is not None and work.lost:
            return False
        link = self._links.get(work.epoch) if work is not None else None
        if work is None or link is None or not work.taken.bound:
            self.over(now, request)
            return True
        # Danger: a refusal lets the client try again elsewhere. A keeper that has not heard of it and takes over
        # would run the request beside that try.
        work.refused = True
        self._tell(work, Over(request))
        return False

    def over(self, now: float, request: int) -> None:
        """The request has its final answer; the keeper hears of it with what is told next."""
        work = self._works.pop(request, None)
        if work is not None:
            link = self._links.get(work.epoch)
            if link is not None:
                link.requests.discard(request)
                if link.late.pop(request, None) is None and not work.refused:
                    # A client's next try of this name may wait at the keeper for just this.
                    self._tell(work, Over(request), at_once=work.taken.bound and work.taken.name != NO_NAME)
                self._tidy(link)

    def _tell(self, work: _Work, entry: Entry, at_once: bool = True) -> None:
        link = self._links.get(work.epoch)
        if link is not None and not link.leaving:
            self._add(link, entry, at_once)

    def _begin(self, now: float, link: _Link, taken: Taken) -> None:
        """A keeper's first entry of a request."""
        link.requests.add(taken.request)
        if taken.bound:
            self._add(link, taken)
        else:
            link.late[taken.request] = [taken]
            if not link.late_ms:
                link.late_ms = now + LATE_MS
                self._look(link, link.late_ms)
        self._beat(now, link)

    def _add(self, link: _Link, entry: Entry, at_once: bool = True) -> None:
        """An entry for the keeper; one that nobody waits for goes with what is told next, or with a sign of life."""
        if entry.request in link.late:
            link.late[entry.request].append(entry)
            return
        link.entries.append((entry, pack_entry(entry)))
        if at_once:
            self._new[link.epoch] = None

    def _tell_late(self, link: _Link) -> None:
        """What may simply run again and is still in hand: its keeper hears of it now."""
        late, link.late, link.late_ms = link.late, {}, 0.0
        for entries in late.values():
            for entry in entries:
                self._add(link, entry)

    # ---- who keeps ---------------------------------------------------------------------------------

    def members(self, now: float, alive: dict[int, Member]) -> None:
        """Who may be asked now, ourselves not among them."""
        self._members = dict(alive)
        self._ranks.clear()
        for link in list(self._links.values()):
            if alive.get(link.keeper.number) != link.keeper:
                self._leave(now, link)
            elif link.witness is not None and alive.get(link.witness.number) != link.witness:
                # Two of three agree on every change: with the witness away new work gets another one.
                if self._current.get(link.keeper.number) == link.epoch:
                    del self._current[link.keeper.number]
                if link.leaving:
                    # It can't be left any more, and would be neither left nor fed until its requests' time is up.
                    # Should the witness have said that we left, the keeper keeps nothing: then they are unprotected.
                    link.leaving = False
                    self.counts["keepers_returned_to"] += 1
                    self._feed(now, link, link.first)

    def _ranked(self, slot: int, room: str, barred: int) -> list[Member]:
        """Another room than `room` first ("": whichever), then by a hash of both: spread evenly, and stable when others
        come and go."""
        ranked = self._ranks.get((slot, room, barred))
        if ranked is None:

            def place(member: Member) -> tuple[bool, bytes]:
                return bool(room) and member.room == room, _mixed(slot, member.number)

            others = (member for member in self._members.values() if member.number != barred)
            ranked = self._ranks[slot, room, barred] = sorted(others, key=place)
        return ranked

    def _link(self, now: float, slot: int, named: bool) -> _Link | None:
        # Danger: two tries of one name at two gatekeepers must meet at one keeper, or both would run. So where there is
        # a name, it alone says who keeps.
        ranked = self._ranked(slot, "" if named else self.me.room, self.me.number)
        quick = [member for member in ranked if self._slow.get(member.number, 0.0) <= now] if self._slow else ranked
        for keeper in quick or ranked:
            link = self._links.get(self._current.get(keeper.number, 0))
            if link is None:
                link = self._open(keeper)
            if len(link.entries) + len(link.late) < MOST_UNHEARD:
                return link
        return None

    def _open(self, keeper: Member) -> _Link:
        """A new epoch. Its witness hears of it only when one of us two is lost."""
        self._epoch += 1
        others = self._ranked(self.me.number, keeper.room, keeper.number)
        link = self._links[self._epoch] = _Link(self._epoch, keeper, others[0] if others else None)
        self._current[keeper.number] = self._epoch
        self._epochs.setdefault(keeper.number, []).append(self._epoch)
        return link

    def _leave(self, now: float, link: _Link) -> None:
        """Its keeper does not answer: others get what it had, once the witness says that it can't take over."""
        if link.leaving:
            return
        link.leaving, link.gap_ms = True, ASK_AGAIN_MS
        link.late.clear()
        self.counts["keepers_left"] += 1
        if self._current.get(link.keeper.number) == link.epoch:
            del self._current[link.keeper.number]
        for request in sorted(link.requests):
            if not self._works[request].taken.bound:  # it may run any number of times
                self._move(now, request)
        self._ask_witness(now, link)

    def _ask_witness(self, now: float, link: _Link) -> None:
        if link.witness is not None and link.requests:
            self.out.append((link.witness.number, Leave(link.epoch, link.witness.life)))
            link.again_ms = now + link.gap_ms
            self._look(link, link.again_ms)

    def _look(self, link: _Link, at_ms: float) -> None:
        heapq.heappush(self._agenda, (at_ms, link.epoch))

    def _move(self, now: float, request: int) -> None:
        """Feed a request to another keeper. Danger: of a bound one the keeper before must be out of it, by its
        witness's word: it might have taken it over and sent it on."""
        work = self._works[request]
        self._links[work.epoch].requests.discard(request)
        if work.refused:  # no keeper knows of it any more
            del self._works[request]
            self.answer.append(request)
            return
        link = self._link(now, work.slot, work.taken.name != NO_NAME)
        work.epoch = link.epoch if link is not None else 0
        if link is None:
            self.counts["unprotected_since"] += 1
            self.go += [(request, attempt) for attempt in sorted(work.waiting)]
            work.waiting.clear()
            return
        self._begin(now, link, replace(work.taken, left_ms=max(0, int(work.deadline_at_ms - now))))
        for attempt, worker in sorted(work.sent.items()):
            self._add(link, Sent(request, attempt, worker, attempt in work.waiting))

    # ---- what is heard -----------------------------------------------------------------------------

    def hear(self, now: float, sender: int, life: int, message: Message) -> None:
        """A message whose seal proves sender and life."""
        link = (
            self._links.get(message.epoch) if isinstance(message, Ack | NotYours | Elsewhere | Full | Ruled) else None
        )
        if link is None:
            return
        of_keeper = (sender, life) == (link.keeper.number, link.keeper.life)
        if isinstance(message, Ack) and of_keeper:
            self._acknowledged(now, link, message.upto)
        elif isinstance(message, NotYours) and of_keeper:
            self._lose(now, link)
        elif isinstance(message, Elsewhere) and of_keeper and message.request in link.requests:
            self._stand_back(now, link, message.request)
        elif isinstance(message, Full) and of_keeper and message.request in link.requests:
            self._go_unkept(now, link, message.request)
        elif isinstance(message, Ruled) and (message.origin, message.life) == (self.me.number, self.me.life):
            witness = link.witness
            if witness is None or (sender, life) != (witness.number, witness.life) or not link.leaving:
                return
            if message.closed:
                self._lose(now, link)
            else:
                for request in sorted(link.requests):
                    self._move(now, request)
                self._tidy(link)

    def _acknowledged(self, now: float, link: _Link, upto: int) -> None:
        moved = False
        while link.entries and link.first <= upto:
            entry, _ = link.entries.popleft()
            link.first, moved = link.first + 1, True
            work = self._works.get(entry.request)
            if work is None or work.epoch != link.epoch:
                continue
            if isinstance(entry, Sent) and entry.attempt in work.waiting:
                work.waiting.discard(entry.attempt)
                self.go.append((entry.request, entry.attempt))
            elif isinstance(entry, Over) and work.refused:
                del self._works[entry.request]
                link.requests.discard(entry.request)
                self.answer.append(entry.request)
        if moved or not link.entries:
            link.beat_out = False
            link.since_ms, link.gap_ms, link.again_ms = now, ASK_AGAIN_MS, now + ASK_AGAIN_MS
            self._slow.pop(link.keeper.number, None)
        self._tidy(link)

    def _stand_back(self, now: float, link: _Link, request: int) -> None:
        """Another request of its name is in hand. The keeper waits at this one; what is behind it goes on without."""
        work = self._take_back(link, request)
        work.lost = True
        self.counts["names_elsewhere"] += 1
        # Attempts that wait have not left; where one left before, its answer may still come and nothing more goes.
        (self.lost if work.sent.keys() - work.waiting else self.elsewhere).append(request)
        work.waiting.clear()

    def _take_back(self, link: _Link, request: int) -> _Work:
        """The keeper does not take a request in: what it was to hear of it says nothing, and what is behind goes on."""
        work = self._works[request]
        link.requests.discard(request)
        for place, (entry, _) in enumerate(link.entries):
            if entry.request == request:
                link.entries[place] = (Over(request), pack_entry(Over(request)))
        link.told, work.epoch = link.first - 1, 0
        self._new[link.epoch] = None
        return work

    def _go_unkept(self, now: float, link: _Link, request: int) -> None:
        """Its keeper knows nothing of it, so nobody can take it over: it goes on as without keepers."""
        work = self._take_back(link, request)
        link.since_ms = now  # it answers
        self.counts["unprotected_full"] += 1
        if work.refused:
            del self._works[request]
            self.answer.append(request)
            return
        self.unkept.append(request)
        self.go += [(request, attempt) for attempt in sorted(work.waiting)]
        work.waiting.clear()

    def _lose(self, now: float, link: _Link) -> None:
        """The keeper has taken the epoch over: what is bound is no longer ours to send."""
        for request in sorted(link.requests):
            work = self._works[request]
            work.epoch, work.lost = 0, work.taken.bound
            if work.lost:
                work.waiting.clear()
                self.lost.append(request)
        self.counts["epochs_lost"] += 1
        link.requests.clear()
        link.entries.clear()
        link.late.clear()
        if self._current.get(link.keeper.number) == link.epoch:
            del self._current[link.keeper.number]
        self._forget(link)

    def _tidy(self, link: _Link) -> None:
        """Let go of an epoch that nothing is left of."""
        in_use = self._current.get(link.keeper.number) == link.epoch
        if not link.requests and not in_use and (link.leaving or not link.entries) and link.epoch in self._links:
            self._forget(link)

    def _forget(self, link: _Link) -> None:
        del self._links[link.epoch]
        self._epochs[link.keeper.number].remove(link.epoch)

    # ---- what is sent ------------------------------------------------------------------------------

    def flush(self, now: float) -> None:
        """Send what is new."""
        for epoch in self._new:
            link = self._links.get(epoch)
            if link is not None and not link.leaving and link.next - 1 > link.told:
                self._feed(now, link, max(link.first, link.told + 1))
        self._new.clear()

    def look(self, now: float) -> None:
        """Ask again for what was not answered. After a standstill answers that wait are to be taken in before."""
        while self._agenda and self._agenda[0][0] <= now:
            _, epoch = heapq.heappop(self._agenda)
            link = self._links.get(epoch)
            if link is not None:
                self._unanswered(now, link)

    def _unanswered(self, now: float, link: _Link) -> None:
        """No word yet, or one to what we sent before: ask again, or leave."""
        if link.late_ms and now >= link.late_ms:
            self._tell_late(link)
        if link.beats and not link.leaving and now >= link.beat_ms:
            link.beats = False
            if link.requests or link.entries:
                # Without a sign of life the lease runs out: the keeper would take over what we have in hand.
                if not link.waits and (link.entries or now - link.asked_ms >= self.lease_ms * BEAT_PART / 2):
                    self._feed(now, link, max(link.first, link.told + 1))
                    link.beat_out = True
                self._beat(now, link)
        if now < link.again_ms:
            if link.waits or link.leaving:
                self._look(link, link.again_ms)
        elif link.leaving:
            link.gap_ms = min(ASK_MOST_MS, 2 * link.gap_ms)
            self._ask_witness(now, link)
        elif link.waits:
            others = any(number != link.keeper.number for number in self._members)
            if others and now - link.since_ms >= PATIENCE_MS:
                self._slow[link.keeper.number] = now + SLOW_MS
                self._leave(now, link)
            else:
                if not others:
                    link.gap_ms = min(ASK_MOST_MS, 2 * link.gap_ms)
                self.counts["fed_again"] += 1
                link.again_ms = now + link.gap_ms
                self._feed(now, link, link.first)
                self._look(link, link.again_ms)

    def _feed(self, now: float, link: _Link, first: int) -> None:
        """The entries from number `first` on, as many messages as they take."""
        if not link.waits:
            # Danger: counted from what was sent last, a lost entry would never be sent again while others follow it.
            link.since_ms, link.gap_ms, link.again_ms = now, ASK_AGAIN_MS, now + ASK_AGAIN_MS
            self._look(link, link.again_ms)
        part, size, at = list[tuple[Entry, bytes]](), 0, first
        for number in range(first, link.next):
            entry = link.entries[number - link.first]
            if part and (size + len(entry[1]) > MOST_BYTES or len(part) == FEED_ENTRIES):
                self._post(link, at, part)
                part, size, at = [], 0, number
            part.append(entry)
            size += len(entry[1])
        self._post(link, at, part)
        link.told, link.asked_ms = max(link.told, link.next - 1), now

    def _beat(self, now: float, link: _Link) -> None:
        if not link.beats:
            link.beats, link.beat_ms = True, now + self.lease_ms * BEAT_PART
            self._look(link, link.beat_ms)

    def _post(self, link: _Link, first: int, part: list[tuple[Entry, bytes]]) -> None:
        witness, oldest = link.witness or Member(-1, 0), self._epochs[link.keeper.number][0]
        self.out.append(
            (
                link.keeper.number,
                Feed(
                    link.epoch,
                    link.keeper.life,
                    witness.number,
                    witness.life,
                    oldest,
                    first,
                    tuple(entry for entry, _ in part),
                    b"".join(packed for _, packed in part),
                ),
            )
        )

    @property
    def next_timer_ms(self) -> float:
        """When `look` is to be called at the latest; infinite where nothing is waited for."""
        return self._agenda[0][0] if self._agenda else float("inf")

    def kept_by(self, request: int) -> int | None:
        """The number of the keeper that was told of a request."""
        work = self._works.get(request)
        link = self._links.get(work.epoch) if work is not None else None
        return link.keeper.number if link is not None else None

    def gives_way(self, request: int, other: int) -> bool:
        """Whether our request gives way to another of its name that gatekeeper `other` has.

        Danger: of two that are each other's keepers both would turn the other's away, or neither would. So the one that
        comes first in the order of keepers goes on."""
        if self.kept_by(request) != other:
            return False
        slot = self._works[request].slot
        return _mixed(slot, other) < _mixed(slot, self.me.number)


def _mixed(slot: int, number: int) -> bytes:
    return hashlib.blake2b(b"%d %d" % (slot, number), digest_size=8).digest()
