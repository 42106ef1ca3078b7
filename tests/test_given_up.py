"""A live instance that was given up: its clients, and those that wait for it, hear of the end elsewhere."""

import pytest
from replication_fleet import ENDPOINTS, LEASE_MS, NO_ENDPOINTS, REPLY_S, SERVICE_S, TAKEOVER_S, TRANSIT_S
from test_lost_owners import Scene, ranks_of

from anisefront.cluster.replication_messages import Append

STOP_S = 2 * LEASE_MS / 1000
CONNECT_S = STOP_S + 0.4


@pytest.fixture(params=["pay", "order"])
def scene(request):
    return Scene(request.param)


def stop(scene, rank):
    """Stop a process for so long that its backup takes its requests over."""
    scene[rank].reactor.stopped_until_s = scene.fleet.clock.seconds() + STOP_S
    scene.run(STOP_S)


def test_the_client_of_a_stopped_instance_is_served_by_its_successor(scene):
    # Guards against "failed" for a request that another instance executes and answers.
    scene.queue_at(0)
    stop(scene, 0)
    scene.run(TAKEOVER_S)
    assert scene.ends() == ["served"] and scene.fleet.runs[scene.key] == 1


def test_a_client_whose_attempt_has_not_left_when_its_instance_is_taken_for_dead_is_served_by_its_successor():
    scene = Scene("order")
    scene[0].connect_s = CONNECT_S
    scene.ask(0)
    scene.run(0.1)
    stop(scene, 0)
    scene.run(CONNECT_S + TAKEOVER_S + REPLY_S)
    assert scene.ends() == ["served"] and scene.fleet.runs[scene.key] == 1


def test_the_client_of_a_request_that_its_successor_never_stored_is_served_and_frees_its_lock(scene):
    # Guards against a wait until the deadline: the backup had claimed the epoch before the request reached it.
    other_key = next(key for key in map(str, range(1000)) if ranks_of(key)[:2] == scene.ranks[:2])
    other = scene.fleet.client(other_key, scene.client.kind, lambda client: None)
    scene[0].table.update_endpoints(NO_ENDPOINTS)
    scene.run(0.05)
    scene.ask(0, other)
    scene.run(0.02)
    scene.lose = lambda sender, receiver, message: isinstance(message, Append) and (sender, receiver) == (0, 1)
    scene.ask(0)
    scene.run(0.005)
    stop(scene, 0)
    scene.run(0.02)
    scene.lose = lambda sender, receiver, message: False
    scene.run(TAKEOVER_S)
    scene[0].table.update_endpoints(ENDPOINTS)
    scene.run(REPLY_S)
    assert scene.ends(other) == ["served"] and scene.ends() == ["served"]
    assert scene.fleet.runs == {scene.key: 1, other_key: 1}


def test_who_waits_for_an_instance_that_was_taken_for_dead_after_its_response_gets_that_response():
    # Guards against "failed" for what was served: its backup had been told the response, and kept none.
    scene = Scene("pay")
    scene.queue_at(0)
    scene.kill(0, detected=False)
    scene.ask(4)
    while not scene.fleet.runs[scene.key]:
        scene.run(TRANSIT_S)
    scene.run(SERVICE_S + 4 * TRANSIT_S)
    for rank in range(2, 6):
        scene.believe(rank, 0)
        scene.believe(rank, 1)
    scene.run(REPLY_S)
    assert scene.ends() == ["served"] and scene.fleet.runs[scene.key] == 1


def test_a_backup_that_hears_its_primary_leaves_it_its_requests_whatever_the_members_say(scene):
    # Guards against a request that is lost by a live instance: its lease ran, and its backup took it for dead.
    scene.queue_at(0)
    scene.believe(1, 0)
    scene.run(2 * LEASE_MS / 1000)
    scene[0].table.update_endpoints(ENDPOINTS)
    scene.run(TAKEOVER_S)
    assert scene.ends() == ["served"] and scene.fleet.runs[scene.key] == 1
    assert scene[1].replication.counts["taken_over"] == 0
