"""Attempts over the connection pool: what each result proves about execution, and checks right before the write."""

import math

import pytest
from socket_harness import SocketHarness, reset
from test_module import ENDPOINT_LIST, new_arrival, new_controller
from test_node_front import GatewayHarness, command_with_id, start_attempt
from test_node_wire import ASK, SERVED_REPLY
from twisted.internet import error
from twisted.python.failure import Failure

from anisefront.resp_gateway import resp_codec
from anisefront.policy.actions import StartAttempt
from anisefront.policy.events import AttemptEnded, AttemptResult, Endpoint, EndpointList, EndpointStatus

NEVER_EXECUTED = (AttemptResult.CONNECT_FAILED, AttemptResult.OVERLOADED, AttemptResult.DISCARDED)


@pytest.fixture
def stage():
    made = SocketHarness()
    yield made
    made.close()


def results(module):
    return [each.result for each in module.ends if isinstance(each, AttemptEnded)]


def test_the_results_that_prove_that_nothing_was_executed_are_these_and_no_others():
    assert tuple(each for each in AttemptResult if each.never_executed) == tuple(
        each for each in AttemptResult if each in NEVER_EXECUTED
    )


# ---- before, at and after the write of the last byte ------------------------------------------------------------


@pytest.mark.parametrize(
    ("full", "reason", "result"),
    [
        (True, error.ConnectionLost(), AttemptResult.CONNECT_FAILED),
        (True, error.ConnectionDone(), AttemptResult.CONNECT_FAILED),
        (False, error.ConnectionLost(), AttemptResult.RESET),
        (False, error.ConnectionDone(), AttemptResult.RESET),
    ],
)
def test_a_disconnection_before_the_last_byte_is_written_proves_that_nothing_was_executed(full, reason, result):
    house = GatewayHarness()
    house.send(house.client(), ASK)
    house.run_iteration(StartAttempt(1, "s1", 400.0))
    worker = house.connect_worker(full)
    worker.protocol.connectionLost(Failure(reason))
    house.run_iteration()
    assert results(house.controller) == [result]


def test_a_timeout_before_the_last_byte_is_written_proves_that_nothing_was_executed():
    house = GatewayHarness()
    house.send(house.client(), ASK)
    house.run_iteration(StartAttempt(1, "s1", 400.0))
    worker = house.connect_worker(full=True)
    house.reactor.advance(0.5)
    house.run_iteration()
    assert worker.aborted and results(house.controller) == [AttemptResult.CONNECT_FAILED]


@pytest.mark.parametrize("early", [SERVED_REPLY, b"-BUSY\r\n", b"*3\r\n$2"])
def test_bytes_that_arrive_before_the_last_byte_is_written_are_no_response(early):
    """They belong to an earlier attempt: part of a response, a late duplicate, or an overload response."""
    house = GatewayHarness()
    client = house.client()
    house.send(client, ASK)
    house.run_iteration(StartAttempt(1, "s1", 400.0))
    worker = house.connect_worker(full=True)
    worker.protocol.dataReceived(early)
    house.run_iteration()
    assert worker.aborted and results(house.controller) == [AttemptResult.CONNECT_FAILED] and client.take() == b""


def test_a_stray_response_on_an_idle_connection_at_the_time_of_the_write_is_sent_to_nobody(stage):
    client, worker = stage.served()
    stage.time += 0.02
    client.sendall(resp_codec.encode_command(command_with_id(2)))
    stage.turns()
    stage.decide(StartAttempt(2, "s1", 400.0))  # the connection is chosen and written to in this iteration
    worker.sendall(SERVED_REPLY)  # a late duplicate response
    stage.turns()
    assert results(stage.controller) == [AttemptResult.OK, AttemptResult.CONNECT_FAILED]
    client.setblocking(False)
    with pytest.raises(BlockingIOError):
        client.recv(1000)


def test_a_connection_closed_by_its_worker_in_the_iteration_of_the_write_executed_nothing(stage):
    client, worker = stage.served()
    stage.time += 0.02
    client.sendall(resp_codec.encode_command(command_with_id(2)))
    stage.turns()
    stage.decide(StartAttempt(2, "s1", 400.0))
    worker.close()
    stage.turns()
    assert results(stage.controller) == [AttemptResult.OK, AttemptResult.CONNECT_FAILED]


@pytest.mark.parametrize("disconnect", [lambda link: link.close(), reset])
@pytest.mark.parametrize("received", [b"", b"*3\r\n$5\r\nva"])
def test_a_disconnection_after_the_last_byte_leaves_open_whether_it_was_executed(stage, disconnect, received):
    stage.client(ASK)
    stage.perform(StartAttempt(1, "s1", 400.0))
    worker = stage.accept()
    worker.recv(1000)
    worker.sendall(received)
    stage.turns()
    disconnect(worker)
    stage.turns()
    assert results(stage.controller) == [AttemptResult.RESET]


def test_a_response_in_single_bytes_is_complete_and_one_after_the_timeout_is_dropped():
    house = GatewayHarness()
    client, worker = start_attempt(house)
    for byte in SERVED_REPLY:
        worker.protocol.dataReceived(bytes([byte]))
    house.run_iteration()
    assert results(house.controller) == [AttemptResult.OK] and client.take() == b"$5\r\nva\r\nl\r\n"
    client, worker = start_attempt(house, 2)
    house.reactor.advance(1.5)
    worker.protocol.dataReceived(SERVED_REPLY)
    house.run_iteration()
    assert (
        results(house.controller) == [AttemptResult.OK, AttemptResult.TIMEOUT]
        and client.take() == b""
        and worker.aborted
    )


# ---- checks right before the write --------------------------------------------------------------------------


def test_a_worker_whose_address_changed_while_connecting_is_not_written_to_at_its_old_address():
    house = GatewayHarness()
    house.send(house.client(), ASK)
    house.run_iteration(StartAttempt(1, "s1", 400.0))
    house.address["s1"] = ("127.0.0.1", 7009)  # another worker may have the old address now
    worker = house.connect_worker()
    house.run_iteration()
    assert worker.take() == b"" and worker.disconnecting and results(house.controller) == [AttemptResult.DISCARDED]


def test_an_attempt_whose_window_ends_before_its_connection_is_made_is_not_started():
    house = GatewayHarness()
    house.send(house.client(), ASK)
    house.run_iteration(StartAttempt(1, "s1", 1400.0, start_within_ms=200.0))
    house.reactor.advance(0.19)
    first = house.connect_worker()
    assert first.take()
    house.send(house.client(), command_with_id(2))
    house.run_iteration(StartAttempt(2, "s1", 1400.0, start_within_ms=200.0))
    house.reactor.advance(0.21)
    late = house.connect_worker()
    house.run_iteration()
    assert late.take() == b"" and results(house.controller) == [AttemptResult.DISCARDED]


def test_an_attempt_of_a_request_that_was_transferred_to_a_backup_is_not_started():
    house = GatewayHarness()
    house.send(house.client(), ASK)
    house.run_iteration(StartAttempt(1, "s1", 400.0))
    house.request_table.transfer_to_backup(1)
    late = house.connect_worker()
    house.run_iteration()
    assert late.take() == b"" and results(house.controller) == [AttemptResult.DISCARDED]


def test_a_connection_that_is_made_after_its_attempt_was_cancelled_is_not_written_to_and_counts_once(stage):
    stage.client(ASK)
    stage.decide(StartAttempt(1, "s1", 400.0))
    stage.reactor.runUntilCurrent()  # the kernel has made the connection, but the event loop has not seen it
    assert stage.pool.connections == 1
    stage.requests.cancel_attempt(1, 0)
    stage.turns()
    assert stage.pool.connections == 0 and results(stage.controller) == [AttemptResult.CANCELLED]
    try:
        assert stage.accept().recv(100) == b""
    except ConnectionResetError:
        pass


def attempts_of(actions):
    return [each for each in actions if isinstance(each, StartAttempt)]


@pytest.mark.parametrize("class_name", ["look", "book"])
def test_a_retry_must_start_within_the_deduplication_window_of_the_first_attempt(class_name):
    """The window counts from the first attempt that may have been executed, and connecting may take long."""
    controller = new_controller()
    controller.handle(1000, [ENDPOINT_LIST])
    (first,) = attempts_of(controller.handle(1100, [new_arrival(1, class_name)]))
    assert first.start_within_ms == math.inf
    window_ms = controller.classes[class_name].deduplication_window_ms
    (retry,) = attempts_of(
        controller.handle(1300, [AttemptEnded(1, 0, first.endpoint, 200.0, AttemptResult.RESET, False)])
    )
    assert retry.start_within_ms == (
        math.inf if class_name == "look" else window_ms - 200.0 - controller.settings.tick_ms
    )
    later = attempts_of(
        controller.handle(1350, [AttemptEnded(1, 1, retry.endpoint, 50.0, AttemptResult.CONNECT_FAILED, False)])
    )
    assert [each.start_within_ms for each in later] == (
        [math.inf] if class_name == "look" else [window_ms - 250.0 - controller.settings.tick_ms]
    ) * len(later)


def test_after_an_attempt_that_was_never_executed_the_window_starts_anew():
    controller = new_controller()
    controller.handle(1000, [ENDPOINT_LIST])
    (first,) = attempts_of(controller.handle(1100, [new_arrival(1, "book")]))
    (retry,) = attempts_of(
        controller.handle(1300, [AttemptEnded(1, 0, first.endpoint, 200.0, AttemptResult.CONNECT_FAILED, False)])
    )
    assert retry.start_within_ms == math.inf


def test_an_attempt_is_discarded_if_its_endpoint_drains_between_the_choice_and_the_write(stage):
    stage.client(ASK)
    stage.controller.next = [StartAttempt(1, "s1", 400.0)]
    stage.request_table.batches.schedule_iteration()
    stage.reactor.iterate(0)
    stage.request_table.update_endpoints(
        EndpointList((Endpoint("s1", "z", 0, EndpointStatus.DRAINING), Endpoint("s2", "z", 0, EndpointStatus.READY)))
    )
    stage.turns()
    worker = stage.accept()
    assert worker.recv(1000) == b"" and results(stage.controller) == [AttemptResult.DISCARDED]
