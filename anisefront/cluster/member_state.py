"""State of the members as one gateway instance knows it, in rows with a deterministic merge. Free of I/O.

    alive --no ack--> suspect --timeout--> dead     a greater SWIM incarnation of the same process: alive again
      |                                             a greater process incarnation: alive, whatever the earlier one was
      +--announced by the member--> left, permanently for this process incarnation

Rows are totally ordered by (process incarnation, left, SWIM incarnation, status), and the greater one wins. The state
is therefore independent of the order and number of deliveries (a join semilattice), and needs no clock.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import IntEnum

ROW_FORMAT = struct.Struct(">HQIB")  # number, process incarnation, SWIM incarnation, status
MAX_ROWS = 64  # in one message: 960 bytes


class MemberStatus(IntEnum):
    """Status of a member."""

    ALIVE = 0
    SUSPECT = 1  # did not acknowledge a ping; may refute the suspicion
    DEAD = 2  # did not refute in time; a pause or a network partition looks the same as a crash
    LEFT = 3  # announced its shutdown


@dataclass(frozen=True, slots=True)
class MemberRow:
    """State of one member. Only the member itself increments its `swim_incarnation`."""

    number: int
    process_incarnation: int
    swim_incarnation: int
    status: MemberStatus

    @property
    def precedence(self) -> tuple[int, bool, int, int]:
        """Position of this row in the order of all rows of one member."""
        return self.process_incarnation, self.status is MemberStatus.LEFT, self.swim_incarnation, int(self.status)

    def with_status(self, status: MemberStatus) -> MemberRow:
        """Return the row with another status and the same incarnations."""
        return replace(self, status=status)


@dataclass(frozen=True, slots=True)
class MemberChange:
    """A change of a member's row; `previous` is None for a new member."""

    row: MemberRow
    previous: MemberRow | None


def supersedes(row: MemberRow, known: MemberRow | None) -> bool:
    """Return whether `row` replaces the known row.

    The process incarnation comes first, or the status of a dead process would apply to its successor. The SWIM
    incarnation comes before the status; otherwise a suspicion could never be refuted, or an old refutation would refute
    a new suspicion.
    """
    return known is None or row.precedence > known.precedence


def encode_rows(rows: Iterable[MemberRow]) -> bytes:
    """Encode rows, each in `ROW_FORMAT`."""
    return b"".join(
        ROW_FORMAT.pack(row.number, row.process_incarnation, row.swim_incarnation, row.status) for row in rows
    )


def decode_rows(data: bytes) -> list[MemberRow] | None:
    """Decode rows; None if the bytes are malformed."""
    if len(data) % ROW_FORMAT.size or len(data) > MAX_ROWS * ROW_FORMAT.size:
        return None
    try:
        return [
            MemberRow(number, process_incarnation, swim_incarnation, MemberStatus(status))
            for number, process_incarnation, swim_incarnation, status in ROW_FORMAT.iter_unpack(data)
        ]
    except ValueError:
        return None
