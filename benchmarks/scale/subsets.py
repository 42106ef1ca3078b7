"""Subset sizes: how many workers of a service a gateway should know.

Connections are calculated, subsetting strategies are compared by counting, and the effect of smaller subsets on load
comes from a small seeded queueing model. Free of I/O.
"""

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
from anisefront.policy.load_reports import LATEST_MS, MAX_LATEST
from benchmarks.scale.plan import PLAN, ZONES

SEED = 37
UTILIZATION = 0.7  # assumed: the fraction of a worker's capacity that the peak uses
RATE_SPREAD = 0.5  # assumed: sigma of the log-normal shares of traffic; some gateways get several times the mean
IDLE_TIMEOUTS_S = (2.0, 60.0)  # the pool's `idle_timeout_s` (`upstream/connection_pool.py`), and one common in servers
SUBSET_SIZES = (2, 3, 4, 6, 8, 12, 24)
LOAD_INFORMATION = ("chance", "reports", "true")
SPLIT_SUBSET_SIZE = 6
GROUPS = (1, 2, 4, 8, 50)  # groups of gateways over which the services are split

Subsets = list[tuple[int, ...]]  # for each gateway, the numbers of the workers that it knows


@dataclass(frozen=True, slots=True)
class Connections:
    """Connections if a gateway knows so many workers of a service; rates are per second."""

    met_every_s: float  # until a gateway sends to the same worker again
    open_here: float  # idle connections at a gateway
    open_there: float  # idle connections at a worker
    found_open: float  # fraction of requests that find an open connection
    handshakes: float  # at a worker


def connections(known: int, idle_s: float, groups: int = 1) -> Connections:
    """Calculate connections from the plan's means.

    Requests are a Poisson process, spread evenly over services and known workers. The services are split over `groups`
    groups of gateways, each of which serves its own.
    """
    gatekeepers, services = PLAN.gatekeepers / groups, PLAN.services / groups
    pairs = services * known  # workers that a gateway knows
    each = PLAN.gateway_requests_per_s / pairs
    found = -math.expm1(-each * idle_s)
    at_worker = gatekeepers * known / PLAN.service_workers
    return Connections(
        1 / each, pairs * found, at_worker * found, found, PLAN.requests_per_s / PLAN.workers * (1 - found)
    )


# ---- subsetting strategies ------------------------------------------------------------------------------


def _hash(*parts: object) -> int:
    return int.from_bytes(hashlib.blake2b("/".join(map(str, parts)).encode(), digest_size=8).digest(), "big")


def ring(gatekeepers: int, workers: list[int], known: int) -> Subsets:
    """Choose the next workers on a hash ring of gateways and workers."""
    points = sorted((_hash("worker", worker), worker) for worker in workers)
    out = []
    for number in range(gatekeepers):
        position = _hash("gatekeeper", number)
        first = next((place for place, (at, _) in enumerate(points) if at >= position), 0)
        out.append(tuple(points[(first + step) % len(points)][1] for step in range(min(known, len(points)))))
    return out


def rendezvous(gatekeepers: int, workers: list[int], known: int) -> Subsets:
    """Choose the workers with the greatest hashes of gateway and worker (Thaler, Ravishankar 1998)."""
    return [tuple(heapq.nlargest(known, workers, key=partial(_hash, number))) for number in range(gatekeepers)]


def deterministic(gatekeepers: int, workers: list[int], known: int) -> Subsets:
    """Choose by deterministic subsetting (Site Reliability Engineering, chapter 20).

    In each round the list is shuffled by the round's number and split into subsets, one for each gateway of the round.
    """
    each = max(1, len(workers) // known)  # gateways of a round
    out = []
    for number in range(gatekeepers):
        round_number, place = divmod(number, each)
        shuffled = sorted(workers)
        random.Random(round_number).shuffle(shuffled)
        out.append(tuple(shuffled[place * known : (place + 1) * known]))
    return out


def own_zone(gatekeepers: int, workers: list[int], known: int) -> Subsets:
    """Choose all workers of the gateway's zone; numbers go through the zones in turn. `known` is ignored."""
    return [tuple(worker for worker in workers if worker % ZONES == number % ZONES) for number in range(gatekeepers)]


def all_workers(gatekeepers: int, workers: list[int], known: int) -> Subsets:
    """Choose all workers of the service, as the gateway does today. `known` is ignored."""
    return [tuple(workers)] * gatekeepers


STRATEGIES: dict[str, Callable[[int, list[int], int], Subsets]] = {
    "all": all_workers,
    "ring": ring,
    "rendezvous hashing": rendezvous,
    "deterministic subsets": deterministic,
    "own zone": own_zone,
}


def evenness(subsets: Subsets, workers: int) -> tuple[float, float]:
    """Return the relative deviation of how many gateways know a worker, and the maximum over the mean."""
    counts = [0] * workers
    for each in subsets:
        for worker in each:
            counts[worker] += 1
    mean = statistics.fmean(counts)
    return statistics.pstdev(counts) / mean, max(counts) / mean


def moved_fraction(
    strategy: Callable[[int, list[int], int], Subsets], gatekeepers: int, workers: int, known: int
) -> float:
    """Return the fraction of all connections that are new after the loss of a worker, as a mean over some workers."""
    full = strategy(gatekeepers, list(range(workers)), known)
    fractions = []
    for lost in range(0, workers, 5):
        remaining = strategy(gatekeepers, [worker for worker in range(workers) if worker != lost], known)
        new = sum(len(set(after) - set(before)) for before, after in zip(full, remaining, strict=True))
        fractions.append(new / sum(map(len, full)))
    return statistics.fmean(fractions)


def short_of_workers(subsets: Subsets, lost_zone: int) -> float:
    """Return the fraction of gateways outside the lost zone that know fewer than two workers outside of it."""
    remaining = [each for number, each in enumerate(subsets) if number % ZONES != lost_zone]
    return sum(sum(worker % ZONES != lost_zone for worker in each) < 2 for each in remaining) / len(remaining)


# ---- effect of the subset size on the load ------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Load:
    """Result of one run of the queueing model."""

    spread: float  # relative deviation of the requests for each worker
    under_way: float  # relative deviation of the requests in flight at the workers, as a mean over time
    answer: float  # mean response time, in service times


def simulate(
    subsets: Subsets, workers: int, information: str, seconds: float, seed: int, utilization: float = UTILIZATION
) -> Load:
    """Simulate one service at the peak.

    Each worker has one queue and exponential service times. Each gateway has its share of the requests and sends each
    one to the less loaded of two workers that it knows.

    `information` selects how: "chance" (one worker is drawn), "reports" (by the gateway's own attempts and the load
    reports of responses, which decay, with the latest reporters compared too, as in `EndpointSelection.choose`), "true"
    (by the actual loads).
    """
    rng = random.Random(seed)
    count, per_s = len(subsets), PLAN.requests_per_s / PLAN.services
    weights = [rng.lognormvariate(0.0, RATE_SPREAD) for _ in range(count)]
    senders = rng.choices(range(count), weights, k=int(per_s * seconds))
    service_s = utilization * workers / per_s
    loads, free_s, received = [0] * workers, [0.0] * workers, [0] * workers
    own_attempts: list[dict[int, int]] = [{} for _ in range(count)]
    reports: list[dict[int, tuple[float, float]]] = [{} for _ in range(count)]  # time, others' requests
    ends: list[tuple[float, int, int]] = []
    now, answers, deviations = 0.0, 0.0, []

    def cost(number: int, worker: int) -> float:
        """Return the load of a worker as the gateway sees it."""
        if information == "true":
            return loads[worker]
        at, others = reports[number].get(worker, (-math.inf, 0.0))
        weight = math.exp(max(-50.0, (at - now) * 1000 / REPORT_TIME_CONSTANT_MS))
        return own_attempts[number].get(worker, 0) + mean_others + (others - mean_others) * weight + rng.random() * 0.1

    mean_others = 0.0
    for number in senders:
        now += rng.expovariate(per_s)
        while ends and ends[0][0] <= now:
            at, worker, sender = heapq.heappop(ends)
            loads[worker] -= 1
            own_attempts[sender][worker] -= 1
            others = loads[worker] - own_attempts[sender][worker]
            reports[sender][worker] = (at, others)
            mean_others += (others - mean_others) * 0.05
        subset = subsets[number]
        if information == "chance" or len(subset) < 2:
            worker = rng.choice(subset)
        else:
            drawn = rng.sample(subset, 2)
            if information == "reports":
                recent = [(at, each) for each, (at, _) in reports[number].items() if (now - at) * 1000 <= LATEST_MS]
                drawn += [each for _, each in sorted(recent, reverse=True)[:MAX_LATEST]]
            worker = min(drawn, key=partial(cost, number))
        loads[worker] += 1
        received[worker] += 1
        own_attempts[number][worker] = own_attempts[number].get(worker, 0) + 1
        free_s[worker] = max(free_s[worker], now) + rng.expovariate(1 / service_s)
        answers += free_s[worker] - now
        heapq.heappush(ends, (free_s[worker], worker, number))
        if len(deviations) < 4 * now:  # four samples per second
            deviations.append(statistics.pstdev(loads) / max(1e-9, statistics.fmean(loads)))
    mean = statistics.fmean(received)
    return Load(statistics.pstdev(received) / mean, statistics.fmean(deviations), answers / len(senders) / service_s)


def measure(seconds: float = 300.0, seed: int = SEED) -> dict[str, object]:
    """Return the page's figures of one average service as plain values; the same seed gives the same figures."""
    workers, gatekeepers = PLAN.service_workers, PLAN.gatekeepers
    whole = list(range(workers))
    rows = []
    for known in SUBSET_SIZES:
        subsets = rendezvous(gatekeepers, whole, known)
        row: dict[str, object] = {
            "known": known,
            "zone_lost": max(short_of_workers(subsets, zone) for zone in range(ZONES)),
        }
        for information in LOAD_INFORMATION:
            row[information] = asdict(simulate(subsets, workers, information, seconds, seed))
        rows.append(row)
    split = []
    for groups in GROUPS:
        subsets = rendezvous(gatekeepers // groups, whole, SPLIT_SUBSET_SIZE)
        split.append(
            {
                "groups": groups,
                "known": SPLIT_SUBSET_SIZE,
                **asdict(simulate(subsets, workers, "reports", seconds, seed)),
            }
        )
    strategies = []
    for name, strategy in STRATEGIES.items():
        subsets = strategy(gatekeepers, whole, SPLIT_SUBSET_SIZE)
        deviation, max_over_mean = evenness(subsets, workers)
        strategies.append(
            {
                "way": name,
                "known": len(subsets[0]),
                "deviation": deviation,
                "most": max_over_mean,
                "moved": moved_fraction(strategy, gatekeepers, workers, SPLIT_SUBSET_SIZE),
                "zone_lost": max(short_of_workers(subsets, zone) for zone in range(ZONES)),
            }
        )
    return {"seed": seed, "seconds": seconds, "busy": UTILIZATION, "rows": rows, "split": split, "ways": strategies}


def sufficient_size(measured: dict[str, object]) -> int | None:
    """Return the smallest subset size that is sufficient, None if none is.

    No gateway may have fewer than two workers after the loss of a zone, and the response time may be at most 5 %
    longer than with all workers known.
    """
    rows = measured["rows"]
    max_answer = 1.05 * rows[-1]["reports"]["answer"]
    return next((row["known"] for row in rows if not row["zone_lost"] and row["reports"]["answer"] <= max_answer), None)
