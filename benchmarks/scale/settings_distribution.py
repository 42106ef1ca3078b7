"""Methods to distribute a settings change from the control machines to all gateways, with their costs.

The costs are calculated from the plan and from existing mechanisms (authenticated datagrams, membership periods). None
of the methods is implemented. Free of I/O.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from anisefront.cluster import datagrams, dissemination, replication_codec
from benchmarks.scale.plan import CONTROL_MACHINES, DAY_S, PLAN

SEED = 37
AUTHENTICATION_BYTES = datagrams._HEADER.size + datagrams._MAC_BYTES
UDP_BYTES = 28  # IPv4 and UDP headers
CHANGE_BYTES = 8 + 8 + 32 + 32 + 128  # assumed: two versions, two digests, one line of settings with its position
HEARTBEAT_BYTES = 8 + 32  # a version and its digest
HEARTBEAT_S = 2.0  # assumed, as are the next four: interval in which a gateway reports its version
RESEND_S = 0.5
MISSED_HEARTBEATS = 2
ROUND_TRIP_S = 0.1  # between regions
LOSS = 0.01  # of datagrams, each way
FAN_OUT = 13  # of each node of a tree: two levels reach 170


@dataclass(frozen=True, slots=True)
class Method:
    """Cost of one method; bytes include authentication and UDP.

    Seconds count from the moment in which a control machine has the checked change.
    """

    name: str
    sent_bytes: float  # by a control machine, for each change
    each_bytes_s: float  # at a gateway, both ways, as the mean of a day
    lossless_s: float
    lossy_s: float  # with LOSS
    machine_down_s: float  # with one control machine unreachable


def on_wire(data: float) -> float:
    """Return the bytes on the wire of a message, split into datagrams that are not fragmented."""
    parts = max(1, math.ceil(data / replication_codec.MAX_ENTRIES_BYTES))
    return data + parts * (AUTHENTICATION_BYTES + UDP_BYTES)


def tries(receivers: float, left: float = 0.001) -> int:
    """Return the sends until at most `left` receivers are expected to lack a message; either way may be lost."""
    return math.ceil(math.log(left / receivers) / math.log(1 - (1 - LOSS) ** 2))


def rounds(members: int, loss: float, seed: int = SEED, max_rounds: int = 200) -> int:
    """Return the periods until an update of one member has reached all on existing pings and acknowledgements."""
    rng, informed = random.Random(seed), {0}
    for turn in range(1, max_rounds + 1):
        updated = set(informed)
        for member in range(members):
            other = rng.randrange(members)
            if rng.random() < loss:
                continue
            if member in informed:
                updated.add(other)
            if other in informed and rng.random() >= loss:
                updated.add(member)
        informed = updated
        if len(informed) == members:
            return turn
    return max_rounds


def methods(settings_bytes: float | None, file_bytes: float | None) -> list[Method]:
    """Return the methods with their costs, without those that send files whose sizes were not measured."""
    each, day = PLAN.gatekeepers / CONTROL_MACHINES, PLAN.changes_a_day / DAY_S
    heartbeat_bytes_s = 2 * on_wire(HEARTBEAT_BYTES) / HEARTBEAT_S
    detection_s = MISSED_HEARTBEATS * HEARTBEAT_S
    one_way_s = ROUND_TRIP_S / 2
    lossy_one_way_s = (tries(PLAN.gatekeepers) - 1) * RESEND_S + one_way_s
    out = []
    for name, data in (
        ("whole settings to each, at each change", settings_bytes),
        ("the included file that changed, to each", file_bytes),
        ("a change set to each, straight from the five", float(CHANGE_BYTES)),
    ):
        if data is not None:
            parts = max(1, math.ceil(data / replication_codec.MAX_ENTRIES_BYTES))
            lossy_parts_s = (tries(PLAN.gatekeepers * parts) - 1) * RESEND_S + one_way_s
            out.append(
                Method(
                    name,
                    each * on_wire(data),
                    day * (on_wire(data) + on_wire(0)) + heartbeat_bytes_s,
                    one_way_s,
                    lossy_parts_s,
                    detection_s + one_way_s,
                )
            )
    change_bytes = on_wire(CHANGE_BYTES)
    out.append(
        Method(
            f"a change set by a tree of {FAN_OUT} and {FAN_OUT}",
            FAN_OUT * change_bytes,
            day * (change_bytes + on_wire(0)) * 2 + heartbeat_bytes_s,
            2 * one_way_s,
            2 * lossy_one_way_s,
            detection_s + 2 * one_way_s,
        )
    )
    times = dissemination.RETRANSMIT_MULTIPLIER * math.ceil(math.log2(PLAN.gatekeepers + 1))
    lossless_s, lossy_s = float(rounds(PLAN.gatekeepers, 0.0)), float(rounds(PLAN.gatekeepers, LOSS))
    out.append(
        Method(
            "a change set on membership's pings, each told on by all",
            CHANGE_BYTES,
            day * 2 * times * CHANGE_BYTES,
            lossless_s,
            lossy_s,
            lossy_s,
        )
    )
    return out
