"""Takeover of a live instance: its clients and the requests that wait for it get the outcome from its successor."""

import pytest
from replication_fleet import ENDPOINTS, LEASE_MS, NO_ENDPOINTS, REPLY_S, SERVICE_S, TAKEOVER_S, TRANSIT_S
from test_lost_owners import Scenario, ranks_of

from anisefront.cluster.replication_messages import Append

STOP_S = 2 * LEASE_MS / 1000
CONNECT_S = STOP_S + 0.4


@pytest.fixture(params=["pay", "order"])
def scenario(request):
    return Scenario(request.param)


def stop(scenario, rank):
    """Stop a process for so long that its backup takes its requests over."""
    scenario[rank].reactor.stopped_until_s = scenario.cluster.clock.seconds() + STOP_S
    scenario.run(STOP_S)


def test_the_client_of_a_stopped_instance_is_served_by_its_successor(scenario):
    # Guards against "failed" for a request that another instance executes and responds to.
    scenario.queue_at(0)
    stop(scenario, 0)
    scenario.run(TAKEOVER_S)
    assert scenario.outcomes() == ["served"] and scenario.cluster.runs[scenario.key] == 1


def test_a_client_whose_attempt_has_not_started_when_its_instance_is_declared_dead_is_served_by_its_successor():
    scenario = Scenario("order")
    scenario[0].connect_s = CONNECT_S
    scenario.send(0)
    scenario.run(0.1)
    stop(scenario, 0)
    scenario.run(CONNECT_S + TAKEOVER_S + REPLY_S)
    assert scenario.outcomes() == ["served"] and scenario.cluster.runs[scenario.key] == 1


def test_the_client_of_a_request_that_its_successor_never_stored_is_served_and_frees_its_lock(scenario):
    # Guards against a wait until the deadline: the backup had claimed the epoch before the request reached it.
    other_key = next(key for key in map(str, range(1000)) if ranks_of(key)[:2] == scenario.ranks[:2])
    other = scenario.cluster.client(other_key, scenario.client.kind, lambda client: None)
    scenario[0].table.update_endpoints(NO_ENDPOINTS)
    scenario.run(0.05)
    scenario.send(0, other)
    scenario.run(0.02)
    scenario.is_lost = lambda sender, receiver, message: isinstance(message, Append) and (sender, receiver) == (0, 1)
    scenario.send(0)
    scenario.run(0.005)
    stop(scenario, 0)
    scenario.run(0.02)
    scenario.is_lost = lambda sender, receiver, message: False
    scenario.run(TAKEOVER_S)
    scenario[0].table.update_endpoints(ENDPOINTS)
    scenario.run(REPLY_S)
    assert scenario.outcomes(other) == ["served"] and scenario.outcomes() == ["served"]
    assert scenario.cluster.runs == {scenario.key: 1, other_key: 1}


def test_a_request_that_waits_for_an_instance_declared_dead_after_its_response_gets_that_response():
    # Guards against "failed" for a served request: its backup knew of the completion, but did not store the response.
    scenario = Scenario("pay")
    scenario.queue_at(0)
    scenario.kill(0, detected=False)
    scenario.send(4)
    while not scenario.cluster.runs[scenario.key]:
        scenario.run(TRANSIT_S)
    scenario.run(SERVICE_S + 4 * TRANSIT_S)
    for rank in range(2, 6):
        scenario.update_view(rank, 0)
        scenario.update_view(rank, 1)
    scenario.run(REPLY_S)
    assert scenario.outcomes() == ["served"] and scenario.cluster.runs[scenario.key] == 1


def test_a_backup_with_a_valid_lease_claims_no_requests_whatever_the_membership(scenario):
    # Guards against a live instance that loses a request: the lease was valid, but its backup considered it dead.
    scenario.queue_at(0)
    scenario.update_view(1, 0)
    scenario.run(2 * LEASE_MS / 1000)
    scenario[0].table.update_endpoints(ENDPOINTS)
    scenario.run(TAKEOVER_S)
    assert scenario.outcomes() == ["served"] and scenario.cluster.runs[scenario.key] == 1
    assert scenario[1].replication.counts["taken_over"] == 0
