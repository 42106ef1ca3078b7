"""How many workers of a service a gatekeeper should know: connections by arithmetic, ways to choose them by counting,
and what a smaller choice does to the load, by a small queue model with a seed. Free of I/O."""

from __future__ import annotations

import hashlib
import heapq
import math
import random
import statistics
from collections.abc import Callable
from dataclasses import asdict, dataclass
from functools import partial

from anisefront.policy.endpoint_selection import REPORT_TIME_CONSTANT_MS
from anisefront.policy.load_reports import MAX_LATEST, LATEST_MS
from benchmarks.scale.plan import PLAN, ZONES

SEED = 37
BUSY = 0.7  # taken: the part of a worker's capacity that the peak uses
RATE_SPREAD = 0.5  # taken: sigma of the gatekeepers' shares of the traffic, log-normal; some see several times the mean
IDLE_S = (2.0, 60.0)  # the pool's own (`upstream/connection_pool.py`, `idle_timeout_s`), and one that most servers bear
KNOWN = (2, 3, 4, 6, 8, 12, 24)
KNOWLEDGE = ("chance", "reports", "true")
SPLIT_KNOWN, GROUPS = 6, (1, 2, 4, 8, 50)  # services split over so many groups of gatekeepers

Subsets = list[tuple[int, ...]]  # of each gatekeeper the workers that it knows, by number


@dataclass(frozen=True, slots=True)
class Connections:
    """What connections come to where a gatekeeper knows so many workers of a service. Rates are a second."""

    met_every_s: float  # how long until a gatekeeper sends to the same worker again
    open_here: float  # idle connections open at a gatekeeper
    open_there: float  # and at a worker
    found_open: float  # share of requests that meet an open connection
    handshakes: float  # at a worker


def connections(known: int, idle_s: float, groups: int = 1) -> Connections:
    """By the plan's means: requests come by chance (Poisson), evenly over services and over the workers known.

    `groups`: services are split over so many groups of gatekeepers, each of which serves its own."""
    gatekeepers, services = PLAN.gatekeepers / groups, PLAN.services / groups
    pairs = services * known  # workers that a gatekeeper knows
    each = PLAN.each_requests_per_s / pairs
    found = -math.expm1(-each * idle_s)
    at_worker = gatekeepers * known / PLAN.service_workers
    return Connections(
        1 / each, pairs * found, at_worker * found, found, PLAN.requests_per_s / PLAN.workers * (1 - found)
    )


# ---- ways to choose ------------------------------------------------------------------------------


def _hash(*parts: object) -> int:
    return int.from_bytes(hashlib.blake2b("/".join(map(str, parts)).encode(), digest_size=8).digest(), "big")


def ring(gatekeepers: int, workers: list[int], known: int) -> Subsets:
    """All stand on one ring by their hashes; a gatekeeper takes the workers that come next."""
    points = sorted((_hash("worker", worker), worker) for worker in workers)
    out = []
    for number in range(gatekeepers):
        here = _hash("gatekeeper", number)
        first = next((place for place, (at, _) in enumerate(points) if at >= here), 0)
        out.append(tuple(points[(first + step) % len(points)][1] for step in range(min(known, len(points)))))
    return out


def rendezvous(gatekeepers: int, workers: list[int], known: int) -> Subsets:
    """A gatekeeper takes the workers whose hash with its own number is greatest (Thaler, Ravishankar 1998)."""
    return [tuple(heapq.nlargest(known, workers, key=partial(_hash, number))) for number in range(gatekeepers)]


def deterministic(gatekeepers: int, workers: list[int], known: int) -> Subsets:
    """Deterministic subsetting (Site Reliability Engineering, chapter 20): in each round the list is shuffled by the
    round's number and cut into subsets, of which each gatekeeper of the round takes one."""
    each = max(1, len(workers) // known)  # gatekeepers of a round
    out = []
    for number in range(gatekeepers):
        turn, place = divmod(number, each)
        shuffled = sorted(workers)
        random.Random(turn).shuffle(shuffled)
        out.append(tuple(shuffled[place * known : (place + 1) * known]))
    return out


def own_zone(gatekeepers: int, workers: list[int], known: int) -> Subsets:
    """The workers of the gatekeeper's own zone; numbers go through the zones in turn. `known` is not asked."""
    return [tuple(worker for worker in workers if worker % ZONES == number % ZONES) for number in range(gatekeepers)]


def everybody(gatekeepers: int, workers: list[int], known: int) -> Subsets:
    """All workers of the service: today's. `known` is not asked."""
    return [tuple(workers)] * gatekeepers


WAYS: dict[str, Callable[[int, list[int], int], Subsets]] = {
    "all": everybody,
    "ring": ring,
    "rendezvous hashing": rendezvous,
    "deterministic subsets": deterministic,
    "own zone": own_zone,
}


def evenness(subsets: Subsets, workers: int) -> tuple[float, float]:
    """Relative deviation of how many gatekeepers know a worker, and the most over the mean."""
    counts = [0] * workers
    for each in subsets:
        for worker in each:
            counts[worker] += 1
    mean = statistics.fmean(counts)
    return statistics.pstdev(counts) / mean, max(counts) / mean


def moved(way: Callable[[int, list[int], int], Subsets], gatekeepers: int, workers: int, known: int) -> float:
    """New connections that the loss of a worker asks for, as a part of all that are known; the mean over some."""
    full = way(gatekeepers, list(range(workers)), known)
    parts = []
    for gone in range(0, workers, 5):
        left = way(gatekeepers, [worker for worker in range(workers) if worker != gone], known)
        new = sum(len(set(after) - set(before)) for before, after in zip(full, left, strict=True))
        parts.append(new / sum(map(len, full)))
    return statistics.fmean(parts)


def without(subsets: Subsets, gone: int) -> float:
    """Share of the gatekeepers that stay (not in this zone) and know less than two workers outside of it."""
    left = [each for number, each in enumerate(subsets) if number % ZONES != gone]
    return sum(sum(worker % ZONES != gone for worker in each) < 2 for each in left) / len(left)


# ---- what the choice does to the load ------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Load:
    """One play of the queue model."""

    spread: float  # relative deviation of the requests that each worker got
    under_way: float  # relative deviation of the requests under way at the workers, the mean over moments
    answer: float  # mean answer time, in service times


def play(subsets: Subsets, workers: int, knowledge: str, seconds: float, seed: int, busy: float = BUSY) -> Load:
    """One service at the peak: each worker has one queue and exponential service times, each gatekeeper its part of
    the requests, and sends each to the less loaded of two that it knows.

    `knowledge`: "chance" (one is drawn), "reports" (its own attempts there and the load that answers told, fading and
    with the last that told compared too, as `EndpointSelection.choose` does), "true" (loads as they are)."""
    rng = random.Random(seed)
    count, per_s = len(subsets), PLAN.requests_per_s / PLAN.services
    weights = [rng.lognormvariate(0.0, RATE_SPREAD) for _ in range(count)]
    senders = rng.choices(range(count), weights, k=int(per_s * seconds))
    service_s = busy * workers / per_s
    loads, free_s, got = [0] * workers, [0.0] * workers, [0] * workers
    out: list[dict[int, int]] = [{} for _ in range(count)]  # own attempts
    told: list[dict[int, tuple[float, float]]] = [{} for _ in range(count)]  # when a worker told of so many others
    ends: list[tuple[float, int, int]] = []
    now, answers, moments = 0.0, 0.0, []

    def cost(number: int, worker: int) -> float:
        if knowledge == "true":
            return loads[worker]
        at, others = told[number].get(worker, (-math.inf, 0.0))
        fresh = math.exp(max(-50.0, (at - now) * 1000 / REPORT_TIME_CONSTANT_MS))
        return out[number].get(worker, 0) + usual + (others - usual) * fresh + rng.random() * 0.1

    usual = 0.0
    for number in senders:
        now += rng.expovariate(per_s)
        while ends and ends[0][0] <= now:
            at, worker, sender = heapq.heappop(ends)
            loads[worker] -= 1
            out[sender][worker] -= 1
            others = loads[worker] - out[sender][worker]
            told[sender][worker] = (at, others)
            usual += (others - usual) * 0.05
        subset = subsets[number]
        if knowledge == "chance" or len(subset) < 2:
            worker = rng.choice(subset)
        else:
            drawn = rng.sample(subset, 2)
            if knowledge == "reports":
                late = [(at, each) for each, (at, _) in told[number].items() if (now - at) * 1000 <= LATEST_MS]
                drawn += [each for _, each in sorted(late, reverse=True)[:MAX_LATEST]]
            worker = min(drawn, key=partial(cost, number))
        loads[worker] += 1
        got[worker] += 1
        out[number][worker] = out[number].get(worker, 0) + 1
        free_s[worker] = max(free_s[worker], now) + rng.expovariate(1 / service_s)
        answers += free_s[worker] - now
        heapq.heappush(ends, (free_s[worker], worker, number))
        if len(moments) < 4 * now:  # four looks a second
            moments.append(statistics.pstdev(loads) / max(1e-9, statistics.fmean(loads)))
    mean = statistics.fmean(got)
    return Load(statistics.pstdev(got) / mean, statistics.fmean(moments), answers / len(senders) / service_s)


def measure(seconds: float = 300.0, seed: int = SEED) -> dict[str, object]:
    """All that the page shows of one average service, in plain values; the same for the same seed."""
    workers, gatekeepers = PLAN.service_workers, PLAN.gatekeepers
    whole = list(range(workers))
    rows = []
    for known in KNOWN:
        subsets = rendezvous(gatekeepers, whole, known)
        row: dict[str, object] = {"known": known, "zone_lost": max(without(subsets, gone) for gone in range(ZONES))}
        for knowledge in KNOWLEDGE:
            row[knowledge] = asdict(play(subsets, workers, knowledge, seconds, seed))
        rows.append(row)
    split = []
    for groups in GROUPS:
        subsets = rendezvous(gatekeepers // groups, whole, SPLIT_KNOWN)
        split.append(
            {"groups": groups, "known": SPLIT_KNOWN, **asdict(play(subsets, workers, "reports", seconds, seed))}
        )
    ways = []
    for name, way in WAYS.items():
        subsets = way(gatekeepers, whole, SPLIT_KNOWN)
        deviation, most = evenness(subsets, workers)
        ways.append(
            {
                "way": name,
                "known": len(subsets[0]),
                "deviation": deviation,
                "most": most,
                "moved": moved(way, gatekeepers, workers, SPLIT_KNOWN),
                "zone_lost": max(without(subsets, gone) for gone in range(ZONES)),
            }
        )
    return {"seed": seed, "seconds": seconds, "busy": BUSY, "rows": rows, "split": split, "ways": ways}


def enough(measured: dict[str, object]) -> int | None:
    """The least that is known where no gatekeeper is left with fewer than two workers by the loss of a zone, and an
    answer takes at most a twentieth longer than where all are known."""
    rows = measured["rows"]
    most = 1.05 * rows[-1]["reports"]["answer"]
    return next((row["known"] for row in rows if not row["zone_lost"] and row["reports"]["answer"] <= most), None)
