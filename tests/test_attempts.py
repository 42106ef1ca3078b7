"""Attempts over connections of our own: what each end proves, and what may still begin at the last moment."""

import math

import pytest
from stage import Stage, reset
from test_module import ENDPOINT_LIST, new_arrival, new_controller
from test_node_front import House, other, sent
from test_node_wire import ASK, SERVED
from twisted.internet import error
from twisted.python.failure import Failure

from anisefront.resp_gateway import resp_codec
from anisefront.policy.actions import StartAttempt
from anisefront.policy.events import AttemptEnded, AttemptResult, Endpoint, EndpointList, EndpointStatus

NEVER = (AttemptResult.CONNECT_FAILED, AttemptResult.OVERLOADED, AttemptResult.DISCARDED)


@pytest.fixture
def stage():
    made = Stage()
    yield made
    made.close()


def results(module):
    return [each.result for each in module.ends if isinstance(each, AttemptEnded)]


def test_the_ends_that_prove_that_nothing_ran_are_these_and_no_others():
    assert tuple(each for each in AttemptResult if each.never_executed) == tuple(
        each for each in AttemptResult if each in NEVER
    )


# ---- before, at and after the last byte ------------------------------------------------------------


@pytest.mark.parametrize(
    ("full", "reason", "end"),
    [
        (True, error.ConnectionLost(), AttemptResult.CONNECT_FAILED),
        (True, error.ConnectionDone(), AttemptResult.CONNECT_FAILED),
        (False, error.ConnectionLost(), AttemptResult.RESET),
        (False, error.ConnectionDone(), AttemptResult.RESET),
    ],
)
def test_a_break_before_the_last_byte_is_with_the_system_proves_that_it_never_ran(full, reason, end):
    house = House()
    house.say(house.client(), ASK)
    house.turn(StartAttempt(1, "s1", 400.0))
    worker = house.worker(full)
    worker.protocol.connectionLost(Failure(reason))
    house.turn()
    assert results(house.module) == [end]


def test_a_time_out_before_the_last_byte_is_with_the_system_proves_that_it_never_ran():
    house = House()
    house.say(house.client(), ASK)
    house.turn(StartAttempt(1, "s1", 400.0))
    worker = house.worker(full=True)
    house.reactor.advance(0.5)
    house.turn()
    assert worker.aborted and results(house.module) == [AttemptResult.CONNECT_FAILED]


@pytest.mark.parametrize("early", [SERVED, b"-BUSY\r\n", b"*3\r\n$2"])
def test_what_comes_before_the_last_byte_is_with_the_system_is_no_answer(early):
    """Half a line on a resting connection, a second copy that is late, a refusal in the middle of a body."""
    house = House()
    client = house.client()
    house.say(client, ASK)
    house.turn(StartAttempt(1, "s1", 400.0))
    worker = house.worker(full=True)
    worker.protocol.dataReceived(early)
    house.turn()
    assert worker.aborted and results(house.module) == [AttemptResult.CONNECT_FAILED] and client.take() == b""


def test_half_a_line_between_the_look_at_a_resting_connection_and_the_write_serves_nobody(stage):
    client, worker = stage.served()
    stage.time += 0.02
    client.sendall(resp_codec.encode_command(other(2)))
    stage.turns()
    stage.decide(StartAttempt(2, "s1", 400.0))  # the connection is chosen and written to
    worker.sendall(SERVED)  # a second copy
    stage.turns()
    assert results(stage.module) == [AttemptResult.OK, AttemptResult.CONNECT_FAILED]
    client.setblocking(False)
    with pytest.raises(BlockingIOError):
        client.recv(1000)


def test_a_connection_closed_by_its_worker_in_the_turn_in_which_we_write_never_ran(stage):
    client, worker = stage.served()
    stage.time += 0.02
    client.sendall(resp_codec.encode_command(other(2)))
    stage.turns()
    stage.decide(StartAttempt(2, "s1", 400.0))
    worker.close()
    stage.turns()
    assert results(stage.module) == [AttemptResult.OK, AttemptResult.CONNECT_FAILED]


@pytest.mark.parametrize("leave", [lambda link: link.close(), reset])
@pytest.mark.parametrize("said", [b"", b"*3\r\n$5\r\nva"])
def test_a_break_after_the_last_byte_may_have_run(stage, leave, said):
    stage.client(ASK)
    stage.say(StartAttempt(1, "s1", 400.0))
    worker = stage.accept()
    worker.recv(1000)
    worker.sendall(said)
    stage.turns()
    leave(worker)
    stage.turns()
    assert results(stage.module) == [AttemptResult.RESET]


def test_an_answer_in_single_bytes_is_whole_and_one_after_our_time_out_is_nobodys():
    house = House()
    client, worker = sent(house)
    for byte in SERVED:
        worker.protocol.dataReceived(bytes([byte]))
    house.turn()
    assert results(house.module) == [AttemptResult.OK] and client.take() == b"$5\r\nva\r\nl\r\n"
    client, worker = sent(house, 2)
    house.reactor.advance(1.5)
    worker.protocol.dataReceived(SERVED)
    house.turn()
    assert (
        results(house.module) == [AttemptResult.OK, AttemptResult.TIMEOUT] and client.take() == b"" and worker.aborted
    )


# ---- what may still begin --------------------------------------------------------------------------


def test_a_worker_that_moved_while_the_connection_was_made_is_not_written_to_at_its_old_address():
    house = House()
    house.say(house.client(), ASK)
    house.turn(StartAttempt(1, "s1", 400.0))
    house.address["s1"] = ("127.0.0.1", 7009)  # and another worker is at the old one now
    worker = house.worker()
    house.turn()
    assert worker.take() == b"" and worker.disconnecting and results(house.module) == [AttemptResult.DISCARDED]


def test_an_attempt_whose_window_is_over_before_its_connection_is_up_is_not_begun():
    house = House()
    house.say(house.client(), ASK)
    house.turn(StartAttempt(1, "s1", 1400.0, start_within_ms=200.0))
    house.reactor.advance(0.19)
    first = house.worker()
    assert first.take()
    house.say(house.client(), other(2))
    house.turn(StartAttempt(2, "s1", 1400.0, start_within_ms=200.0))
    house.reactor.advance(0.21)
    late = house.worker()
    house.turn()
    assert late.take() == b"" and results(house.module) == [AttemptResult.DISCARDED]


def test_an_attempt_of_what_another_gatekeeper_has_taken_over_is_not_begun():
    house = House()
    house.say(house.client(), ASK)
    house.turn(StartAttempt(1, "s1", 400.0))
    house.request_table.transfer_to_backup(1)
    late = house.worker()
    house.turn()
    assert late.take() == b"" and results(house.module) == [AttemptResult.DISCARDED]


def test_a_connection_that_is_given_up_and_comes_up_after_all_is_not_written_to_and_counts_once(stage):
    stage.client(ASK)
    stage.decide(StartAttempt(1, "s1", 400.0))
    stage.reactor.runUntilCurrent()  # the system has made the connection, the loop has not seen it
    assert stage.pool.connections == 1
    stage.carrier.cancel_attempt(1, 0)
    stage.turns()
    assert stage.pool.connections == 0 and results(stage.module) == [AttemptResult.CANCELLED]
    try:
        assert stage.accept().recv(100) == b""
    except ConnectionResetError:
        pass


def sends(actions):
    return [each for each in actions if isinstance(each, StartAttempt)]


@pytest.mark.parametrize("kind", ["look", "book"])
def test_a_further_attempt_has_to_begin_inside_the_window_that_the_first_has_begun(kind):
    """The window counts from the first that may have run; a connection may come up long after the decision."""
    c = new_controller()
    c.handle(1000, [ENDPOINT_LIST])
    (first,) = sends(c.handle(1100, [new_arrival(1, kind)]))
    assert first.start_within_ms == math.inf
    window = c.classes[kind].deduplication_window_ms
    (again,) = sends(c.handle(1300, [AttemptEnded(1, 0, first.endpoint, 200.0, AttemptResult.RESET, False)]))
    assert again.start_within_ms == (math.inf if kind == "look" else window - 200.0 - c.settings.tick_ms)
    more = sends(c.handle(1350, [AttemptEnded(1, 1, again.endpoint, 50.0, AttemptResult.CONNECT_FAILED, False)]))
    assert [each.start_within_ms for each in more] == (
        [math.inf] if kind == "look" else [window - 250.0 - c.settings.tick_ms]
    ) * len(more)


def test_after_what_never_ran_the_window_begins_anew():
    c = new_controller()
    c.handle(1000, [ENDPOINT_LIST])
    (first,) = sends(c.handle(1100, [new_arrival(1, "book")]))
    (again,) = sends(c.handle(1300, [AttemptEnded(1, 0, first.endpoint, 200.0, AttemptResult.CONNECT_FAILED, False)]))
    assert again.start_within_ms == math.inf


def test_a_list_between_the_choice_and_the_write_keeps_the_drain(stage):
    stage.client(ASK)
    stage.module.next = [StartAttempt(1, "s1", 400.0)]
    stage.request_table.batches.schedule_iteration()
    stage.reactor.iterate(0)
    stage.request_table.update_endpoints(
        EndpointList((Endpoint("s1", "z", 0, EndpointStatus.DRAINING), Endpoint("s2", "z", 0, EndpointStatus.READY)))
    )
    stage.turns()
    worker = stage.accept()
    assert worker.recv(1000) == b"" and results(stage.module) == [AttemptResult.DISCARDED]
