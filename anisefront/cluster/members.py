"""What a gatekeeper knows of the others, as rows that any two gatekeepers merge alike. Free of I/O.

    alive --no answer--> suspected --time is up--> out        a greater incarnation of the same life: alive again
      |                                                       a greater life: alive, whatever was said of the one before
      +--says so itself--> left, for good in this life

Rows are totally ordered by (life, left, incarnation, status), and the greater one holds. So what a gatekeeper knows
does not depend on the order in which it heard, nor on how often: the safety of all that rests on it needs no clock.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum

ROW = struct.Struct(">HQIB")  # number, life, incarnation, status
MOST_ROWS = 64  # in one message: 960 bytes


class Status(IntEnum):
    """What is said of a member."""

    ALIVE = 0
    SUSPECTED = 1  # it did not answer; it may say otherwise
    OUT = 2  # it did not say otherwise in time; a pause or a cut looks the same as a death
    LEFT = 3  # it said so itself, or its life has been replaced: it does nothing more


@dataclass(frozen=True, slots=True)
class Row:
    """What is known of one member. `life` is the number of its process's life; only it raises its `incarnation`."""

    number: int
    life: int
    incarnation: int
    status: Status

    @property
    def key(self) -> tuple[int, bool, int, int]:
        """The place of this row among all of one member."""
        return self.life, self.status is Status.LEFT, self.incarnation, int(self.status)


def newer(row: Row, known: Row | None) -> bool:
    """Whether `row` holds from now on.

    Danger: without the life before all else, what was said of a dead process would hold for the one that came in its
    place; without the incarnation, a suspicion could never be refuted, or an old refutation would refute a new one."""
    return known is None or row.key > known.key


def pack(rows: list[Row]) -> bytes:
    """The rows as bytes, each of `ROW.size`."""
    return b"".join(ROW.pack(row.number, row.life, row.incarnation, row.status) for row in rows)


def unpack(data: bytes) -> list[Row] | None:
    """The rows in these bytes, None where they can't be read."""
    if len(data) % ROW.size or len(data) > MOST_ROWS * ROW.size:
        return None
    try:
        return [
            Row(number, life, incarnation, Status(status))
            for number, life, incarnation, status in ROW.iter_unpack(data)
        ]
    except ValueError:
        return None
