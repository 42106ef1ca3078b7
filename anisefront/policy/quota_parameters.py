"""Parameters that the borrower's and the owner's side of quotas share.

Each customer's token bucket is kept by one gateway instance, the quota owner; the others borrow from it.

Departure from the design, in which each instance has a bucket that fills at its part of the customer's demand and no
other: with many instances such a part is less than one request.
"""

from __future__ import annotations

DEMAND_TIME_CONSTANT_MS = 3000.0  # over which a customer's demand is averaged
OWNER_CEILING_FRACTION = 0.5  # of a ceiling that the owner may grant; the rest is divided over the local buckets
RESERVE_FRACTION = 0.5  # of the burst that requests of no priority leave; less with more priority
IDLE_MS = 60_000.0  # without a request, after which a customer may be evicted
MIN_SWEEP = 16  # customers that are checked for eviction in a control period
SWEEP_DIVISOR = 300  # plus this part of the known customers


def sweep_size(known: int) -> int:
    """Return how many of the known customers are checked for eviction now; a sweep of all would stall the loop."""
    return min(known, MIN_SWEEP + known // SWEEP_DIVISOR)
