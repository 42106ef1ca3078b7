"""What would carry a change of settings from the machines of control to all gatekeepers, with its cost: arithmetic from
the plan and from what is there (sealed datagrams, membership's rounds). Nothing of it is built. Free of I/O."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from anisefront.cluster import datagrams, dissemination, replication_codec
from benchmarks.scale.plan import CONTROL_MACHINES, DAY_S, PLAN

SEED = 37
SEAL_BYTES = datagrams._HEADER.size + datagrams._MAC_BYTES
UDP_BYTES = 28  # IPv4 and UDP
CHANGE_BYTES = 8 + 8 + 32 + 32 + 128  # taken: two versions, two digests, one line of settings with its place
GREETING_BYTES = 8 + 32  # a version and its digest
GREET_S, RESEND_S, GREETINGS_MISSED = 2.0, 0.5, 2  # taken: how often a gatekeeper says its version; and so on
ROUND_TRIP_S, LOSS = 0.1, 0.01  # taken: between regions; of datagrams, each way
TREE = 13  # who tells so many, which tell so many: two steps reach 170


@dataclass(frozen=True, slots=True)
class Way:
    """Bytes with seal and UDP; seconds from the moment in which a machine of control has the checked change."""

    name: str
    sent_bytes: float  # by a machine of control, a change
    each_bytes_s: float  # at a gatekeeper, both ways, over a day
    calm_s: float
    lossy_s: float  # with LOSS
    dead_s: float  # one of the machines of control is away


def on_wire(data: float) -> float:
    """Bytes on the wire of so many, cut into datagrams that no network has to cut."""
    parts = max(1, math.ceil(data / replication_codec.MAX_ENTRIES_BYTES))
    return data + parts * (SEAL_BYTES + UDP_BYTES)


def tries(receivers: float, left: float = 0.001) -> int:
    """Sends until fewer than `left` of the receivers are expected to lack it, where either way may be lost."""
    return math.ceil(math.log(left / receivers) / math.log(1 - (1 - LOSS) ** 2))


def rounds(members: int, loss: float, seed: int = SEED, most: int = 200) -> int:
    """Periods until all know what one of them knew, told on pings and answers that go anyway."""
    rng, knows = random.Random(seed), {0}
    for turn in range(1, most + 1):
        now = set(knows)
        for member in range(members):
            other = rng.randrange(members)
            if rng.random() < loss:
                continue
            if member in knows:
                now.add(other)
            if other in knows and rng.random() >= loss:
                now.add(member)
        knows = now
        if len(knows) == members:
            return turn
    return most


def ways(settings_bytes: float | None, file_bytes: float | None) -> list[Way]:
    """The ways weighed; those that carry files are left out where their sizes were not measured."""
    each, day = PLAN.gatekeepers / CONTROL_MACHINES, PLAN.changes_a_day / DAY_S
    greet = 2 * on_wire(GREETING_BYTES) / GREET_S
    lost = GREETINGS_MISSED * GREET_S
    calm = ROUND_TRIP_S / 2
    lossy = (tries(PLAN.gatekeepers) - 1) * RESEND_S + calm
    out = []
    for name, data in (
        ("whole settings to each, at each change", settings_bytes),
        ("the included file that changed, to each", file_bytes),
        ("a change set to each, straight from the five", float(CHANGE_BYTES)),
    ):
        if data is not None:
            parts = max(1, math.ceil(data / replication_codec.MAX_ENTRIES_BYTES))
            late = (tries(PLAN.gatekeepers * parts) - 1) * RESEND_S + calm
            out.append(
                Way(name, each * on_wire(data), day * (on_wire(data) + on_wire(0)) + greet, calm, late, lost + calm)
            )
    told = on_wire(CHANGE_BYTES)
    out.append(
        Way(
            f"a change set by a tree of {TREE} and {TREE}",
            TREE * told,
            day * (told + on_wire(0)) * 2 + greet,
            2 * calm,
            2 * lossy,
            lost + 2 * calm,
        )
    )
    times = dissemination.RETRANSMIT_MULTIPLIER * math.ceil(math.log2(PLAN.gatekeepers + 1))
    calm_s, lossy_s = float(rounds(PLAN.gatekeepers, 0.0)), float(rounds(PLAN.gatekeepers, LOSS))
    out.append(
        Way(
            "a change set on membership's pings, each told on by all",
            CHANGE_BYTES,
            day * 2 * times * CHANGE_BYTES,
            calm_s,
            lossy_s,
            lossy_s,
        )
    )
    return out
