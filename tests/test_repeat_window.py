"""Requests that wait for a keyed one of their identity run only while all endpoints still drop a second execution."""

import math

import pytest
from replication_fleet import DEADLINE_S, ENDPOINTS, LEASE_MS, REPLY_S
from test_lost_owners import Scenario

from anisefront.policy.events import AttemptResult
from anisefront.policy.settings import DeduplicationScope, Idempotency, RequestClass


@pytest.mark.parametrize(
    ("idempotency", "scope", "until_ms"),
    [
        (Idempotency.IDEMPOTENT, DeduplicationScope.ALL, math.inf),
        (Idempotency.KEYED, DeduplicationScope.ALL, 1000.0 + 20_000.0 - 8000.0),
        (Idempotency.KEYED, DeduplicationScope.ZONE, -math.inf),
        (Idempotency.KEYED, DeduplicationScope.CELL, -math.inf),
        (Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, -math.inf),
    ],
)
def test_another_request_may_replace_a_keyed_one_while_its_deadline_lies_in_the_window(idempotency, scope, until_ms):
    request_class = RequestClass("order", 4000.0, 8000.0, 1.0, idempotency, 0.0, scope, 20_000.0)
    assert request_class.repeatable_until_ms(1000.0) == until_ms
    assert request_class.repeatable_until_ms(-math.inf) == (math.inf if until_ms == math.inf else -math.inf)


@pytest.mark.parametrize(("kind", "outcome"), [("order", "served"), ("ticket", "failed")])
def test_a_request_that_waits_for_a_keyed_one_is_not_executed_after_its_window(kind, outcome):
    # Guards against a second effect: it was told "never executed" at the deadline of the first, after the window.
    scenario = Scenario(kind)
    scenario[0].is_mute = True
    scenario.send(0)
    scenario.run(1.0)
    other = scenario.other(4)
    scenario.run(DEADLINE_S - 1.1)
    executions = scenario.cluster.runs[scenario.key]
    scenario.run(0.1 + REPLY_S)
    assert (scenario.outcomes(), scenario.outcomes(other)) == (["failed"], [outcome])
    assert scenario.cluster.runs[scenario.key] - executions == (1 if outcome == "served" else 0)


def test_a_request_that_may_have_been_executed_and_follows_its_successor_remembers_its_attempts(monkeypatch):
    # Guards against a second effect: started again, it was sent whatever the window, or rejected as safe to retry.
    scenario = Scenario("order")
    scenario[0].is_mute = scenario[1].is_mute = True
    scenario.send(0)
    scenario.run(0.1)
    scenario[0].reactor.stopped_until_s = scenario.cluster.clock.seconds() + 2 * LEASE_MS / 1000
    scenario.run(2 * LEASE_MS / 1000 + 0.1)
    (request,) = scenario[0].table.requests.values()
    arrivals = []
    monkeypatch.setattr(
        scenario[0].direct_requests, "yield_to_duplicate", lambda arrival, key: arrivals.append(arrival)
    )
    scenario[0].table.attempt_ended(request.arrival.id, 0, AttemptResult.RESET)
    (prior,) = [arrival.prior_attempts for arrival in arrivals]
    assert (prior.attempts, prior.uncertain, prior.started_ms) == (1, 1, request.accepted_ms)
    assert prior.endpoint in {endpoint.id for endpoint in ENDPOINTS.endpoints}
