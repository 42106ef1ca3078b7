"""What gatekeepers tell each other of the work they have in hand: entries, messages and their bytes. Free of I/O.

origin  --Feed-->  keeper     numbered entries of one epoch, taken in their order only
origin  <--Ack---  keeper     all up to this number are known
origin  <-NotYours- keeper    this epoch was taken over: nothing more is yours to send
origin  --Leave->  witness    we leave this epoch's keeper
keeper  --Close->  witness    we take this epoch over
either  <-Ruled--  witness    whose it is: the first who asked has it, for good
origin  <-Elsewhere- keeper   this name is in hand at another: yours must not run
origin  <-Settled-  keeper    what became of the other
origin  --Asked-->  keeper    what did? A word that was lost is said again
origin  <--Full---  keeper    no more are kept here: this one goes on without a keeper
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, field
from enum import IntEnum

MARK = 0x4B  # first byte; the module's messages begin with their version, membership's with 0x4D
MOST_BYTES = 1200  # of entries in one message: a datagram that no network has to cut
NO_NAME = bytes(8)
MOST_RECORD = 1100  # of one record; a larger request is not protected, and is counted as such


@dataclass(frozen=True, slots=True)
class Taken:
    """The origin has accepted a request that has `left_ms` left. `bound`: it may not simply be run again.

    `name`: eight bytes by which its client's next try is known, `NO_NAME`: none; `record`: the host's own."""

    request: int
    bound: bool
    left_ms: int
    name: bytes
    record: bytes


@dataclass(frozen=True, slots=True)
class Sent:
    """An attempt is about to leave for a worker."""

    request: int
    attempt: int
    worker: str
    waits: bool = True  # it leaves only after the keeper's word; False: it left long ago, when another was the keeper


@dataclass(frozen=True, slots=True)
class Ended:
    """An attempt that is proved never to have run."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Over:
    """The request has its final answer."""

    request: int


Entry = Taken | Sent | Ended | Over


@dataclass(frozen=True, slots=True)
class Feed:
    """Entries of an epoch from number `first` on, for one life of the keeper. Epochs below `oldest` are done with.

    `packed`: the entries' bytes, where they were made before."""

    epoch: int
    keeper_life: int
    witness: int  # a gatekeeper's number, -1: there is none
    witness_life: int
    oldest: int
    first: int
    entries: tuple[Entry, ...]
    packed: bytes = field(default=b"", compare=False, repr=False)


@dataclass(frozen=True, slots=True)
class Ack:
    """The keeper knows all entries of the epoch up to this number and had not taken it over."""

    epoch: int
    upto: int


@dataclass(frozen=True, slots=True)
class NotYours:
    """The keeper has taken the epoch over."""

    epoch: int


@dataclass(frozen=True, slots=True)
class Elsewhere:
    """The keeper knows a request of this name already, of another gatekeeper or its own: this one must not run."""

    epoch: int
    request: int


@dataclass(frozen=True, slots=True)
class Full:
    """The keeper holds as many as it may: it knows nothing of this request and never will."""

    epoch: int
    request: int


@dataclass(frozen=True, slots=True)
class Asked:
    """What became of the request that stands in the way of ours of this name?"""

    name: bytes


class Word(IntEnum):
    """What became of a request that stood in the way of another of its name."""

    NEVER_RAN = 0  # and will not: the other may
    MAY_HAVE_RUN = 1
    ANSWERED = 2  # its answer goes with it


@dataclass(frozen=True, slots=True)
class Settled:
    """To those whose requests were turned away by `Elsewhere`. `data`: the answer, in the host's form."""

    name: bytes
    word: Word
    data: bytes = b""


@dataclass(frozen=True, slots=True)
class Leave:
    """To the witness, by the origin: the epoch's keeper shall not take it over."""

    epoch: int
    witness_life: int


@dataclass(frozen=True, slots=True)
class Close:
    """To the witness, by the keeper: the epoch of that life of that origin is ours from now on."""

    origin: int
    life: int
    epoch: int
    witness_life: int


@dataclass(frozen=True, slots=True)
class Ruled:
    """The witness's word on an epoch: taken over by its keeper, or left by its origin."""

    origin: int
    life: int
    epoch: int
    closed: bool


Message = Feed | Ack | NotYours | Elsewhere | Full | Settled | Asked | Leave | Close | Ruled

_KIND = struct.Struct(">BB")
_FEED = struct.Struct(">IQhQIIB")
_FORMS: dict[type, tuple[int, struct.Struct]] = {
    Ack: (2, struct.Struct(">II")),
    NotYours: (3, struct.Struct(">I")),
    Leave: (4, struct.Struct(">IQ")),
    Close: (5, struct.Struct(">HQIQ")),
    Ruled: (6, struct.Struct(">HQI?")),
    Elsewhere: (7, struct.Struct(">IQ")),
    Asked: (9, struct.Struct(">8s")),
    Full: (10, struct.Struct(">IQ")),
}
_SETTLED, _SETTLED_KIND = struct.Struct(">8sB"), 8
_BY_KIND = {kind: (made, form) for made, (kind, form) in _FORMS.items()}
_TAKEN, _SENT, _ENDED, _OVER = (
    struct.Struct(">BQ?I8sH"),
    struct.Struct(">BQH?B"),
    struct.Struct(">BQH"),
    struct.Struct(">BQ"),
)


def pack_entry(entry: Entry) -> bytes:
    """One entry as bytes. A record over `MOST_RECORD` or a worker's name over 255 bytes is a `ValueError`."""
    match entry:
        case Taken(request, bound, left_ms, name, record):
            if len(record) > MOST_RECORD:
                raise ValueError(f"record: {len(record)} bytes are more than {MOST_RECORD}")
            return _TAKEN.pack(1, request, bound, left_ms, name, len(record)) + record
        case Sent(request, attempt, worker, waits):
            called = worker.encode()
            if len(called) > 255:
                raise ValueError(f"worker: {len(called)} bytes of a name are more than 255")
            return _SENT.pack(2, request, attempt, waits, len(called)) + called
        case Ended(request, attempt):
            return _ENDED.pack(3, request, attempt)
        case Over(request):
            return _OVER.pack(4, request)


def _entry(data: bytes, at: int) -> tuple[Entry, int]:
    if data[at] == 1:
        _, request, bound, left_ms, name, length = _TAKEN.unpack_from(data, at)
        at += _TAKEN.size
        return Taken(request, bound, left_ms, name, _exactly(data, at, length)), at + length
    if data[at] == 2:
        _, request, attempt, waits, length = _SENT.unpack_from(data, at)
        at += _SENT.size
        return Sent(request, attempt, _exactly(data, at, length).decode(), waits), at + length
    if data[at] == 3:
        return Ended(*_ENDED.unpack_from(data, at)[1:]), at + _ENDED.size
    if data[at] == 4:
        return Over(*_OVER.unpack_from(data, at)[1:]), at + _OVER.size
    raise ValueError(f"entry of kind {data[at]}")


def _exactly(data: bytes, at: int, length: int) -> bytes:
    if at + length > len(data):
        raise ValueError("an entry that ends beyond the message")
    return data[at : at + length]


def pack(message: Message) -> bytes:
    """The message as bytes."""
    if isinstance(message, Feed):
        head = _FEED.pack(
            message.epoch,
            message.keeper_life,
            message.witness,
            message.witness_life,
            message.oldest,
            message.first,
            len(message.entries),
        )
        return _KIND.pack(MARK, 1) + head + (message.packed or b"".join(map(pack_entry, message.entries)))
    if isinstance(message, Settled):
        return _KIND.pack(MARK, _SETTLED_KIND) + _SETTLED.pack(message.name, message.word) + message.data
    kind, form = _FORMS[type(message)]
    return _KIND.pack(MARK, kind) + form.pack(*(getattr(message, name) for name in message.__slots__))


def unpack(data: bytes) -> Message | None:
    """The message in these bytes, None where they can't be read."""
    try:
        mark, kind = _KIND.unpack_from(data)
        if mark != MARK:
            return None
        if kind == _SETTLED_KIND:
            name, word = _SETTLED.unpack_from(data, _KIND.size)
            return Settled(name, Word(word), data[_KIND.size + _SETTLED.size :])
        if kind != 1:
            made, form = _BY_KIND[kind]
            return made(*form.unpack(data[_KIND.size :]))
        *head, count = _FEED.unpack_from(data, _KIND.size)
        at, entries = _KIND.size + _FEED.size, []
        for _ in range(count):
            entry, at = _entry(data, at)
            entries.append(entry)
        return Feed(*head, tuple(entries)) if at == len(data) else None
    except (struct.error, ValueError, KeyError, IndexError, UnicodeDecodeError):
        return None
