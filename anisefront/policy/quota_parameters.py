"""Parameters shared by the borrower's and the owner's side of quotas.

One gateway instance, the quota owner, keeps a customer's token bucket; the other instances request units from it.

The original design has only local buckets, each of which fills in proportion to its instance's fraction of the
customer's demand. With many instances such a fraction amounts to less than one request, hence the owner's bucket.
"""

from __future__ import annotations

DEMAND_TIME_CONSTANT_MS = 3000.0  # over which a customer's demand is averaged
OWNER_CEILING_FRACTION = 0.5  # fraction of a ceiling that the owner grants; the rest is divided among local buckets
RESERVE_FRACTION = 0.5  # fraction of the burst that requests of priority 0 leave unused; less with higher priority
IDLE_MS = 60_000.0  # time without a request after which a customer may be evicted
# Customers that are checked for eviction in a control period: a minimum, and one in so many of the known ones.
MIN_SWEEP = 16
SWEEP_DIVISOR = 300


def sweep_size(known: int) -> int:
    """Return how many customers to check for eviction; checking all at once would stall the event loop."""
    return min(known, MIN_SWEEP + known // SWEEP_DIVISOR)
