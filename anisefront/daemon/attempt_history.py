"""What the controller and a backup must know about attempts that an earlier instance, or this one, has started."""

from __future__ import annotations

from dataclasses import replace

from anisefront.cluster.backup_state import ReplicatedRequest
from anisefront.gateway.pending_request import PendingRequest
from anisefront.policy.events import Arrival, PriorAttempts


def attempts_of_replica(replica: ReplicatedRequest) -> PriorAttempts:
    """Return what the controller must know about the attempts of a failed primary."""
    attempts = sorted(replica.attempts.items())
    if not attempts:
        return PriorAttempts(0, 0, "", 0.0, False)
    endpoint, started_ms = attempts[0][1]
    return PriorAttempts(attempts[-1][0] + 1, len(attempts), endpoint, started_ms, True)


def prior_endpoints(request: PendingRequest) -> dict[int, str]:
    """Return the attempts of a failed instance that may have been executed, all with the endpoint of the first."""
    prior = request.arrival.prior_attempts
    if prior is None:
        return {}
    return dict.fromkeys(range(prior.attempts - prior.uncertain, prior.attempts), prior.endpoint)


def arrival_to_start_again(request: PendingRequest, uncertain_attempts: dict[int, str]) -> Arrival:
    """Return a request as it starts again at this instance.

    Args:
        request: The request.
        uncertain_attempts: Endpoints of its attempts that may have been executed, by number; they count as prior ones.
    """
    if not uncertain_attempts:
        return request.arrival
    prior_attempts = PriorAttempts(
        attempts=request.attempts,
        uncertain=len(uncertain_attempts),
        endpoint=uncertain_attempts[min(uncertain_attempts)],
        started_ms=request.first_attempt_after_ms,
        quota_debited=True,
    )
    return replace(request.arrival, prior_attempts=prior_attempts)
