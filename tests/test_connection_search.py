"""All short orders of events on one connection, long ones by seeds, and a search with each guard removed."""

import itertools
import random
from unittest import mock

import pytest
from connection_model import EVENTS, InvariantViolation, run_events

from anisefront.gateway.request_table import RequestTable
from anisefront.resp_gateway import client_connection
from anisefront.resp_gateway import resp_codec
from anisefront.resp_gateway.resp_codec import CommandReader
from anisefront.resp_gateway.resp_requests import RespRequests
from anisefront.resp_gateway.client_connection import ClientConnection
from anisefront.resp_gateway.input_pause import InputPause
from anisefront.resp_gateway.reply_queue import ReplyQueue

PREFIXES = ("", "c", "cg", "cgk", "uc")
DEPTH, SEEDS, LENGTH = 3, 3000, 12


def first_violation(depth=DEPTH, seeds=SEEDS):
    """Return the first order that violates an invariant, with the violation; None if there is none."""
    orders = (start + "".join(rest) for start in PREFIXES for rest in itertools.product(EVENTS, repeat=depth))
    rng = random.Random(41)
    longer = ("".join(rng.choices(list(EVENTS), k=LENGTH)) for _ in range(seeds))
    for order in itertools.chain(orders, longer):
        try:
            run_events(order)
        except InvariantViolation as problem:
            return order, str(problem)
    for order in itertools.product(EVENTS, repeat=depth - 1):  # and of a connection beyond the limit
        try:
            run_events(order, turned_away=True)
        except InvariantViolation as problem:
            return "turned away", order, str(problem)
    return None


def test_no_order_of_events_violates_an_invariant():
    assert first_violation() is None


@pytest.mark.parametrize("order", ["uuzttmm", "uuzttmahkgon"])
def test_pause_ends_with_a_protocol_error(order):
    """Guards against input that stays paused behind malformed bytes, although nothing is buffered any more."""
    run_events(order)


def without_closing_check(function):
    """Return `_handle_request` without the check whether the connection is closing."""

    def handle(self, slot, parts):
        closing, self._closing = self._closing, False
        try:
            function(self, slot, parts)
        finally:
            self._closing = closing

    return handle


def drop_excess_commands(self, data, reject=False):
    """Process input as an earlier version did: drop commands beyond the limit and close the connection."""
    commands = self.reader.feed(data)
    if len(self.replies.pending) + len(commands) > client_connection.MAX_OPEN_COMMANDS:
        self._protocol_error(b"ERR")
        return len(commands)
    for parts in commands:
        self._handle_command(parts, reject)
    self._flush()
    return len(commands)


def drop_excess_input(self, data):
    """Buffer input as an earlier version did: at the limit drop all of it and close the connection."""
    self.input.buffer(data, self._arrived_ms)
    if self.input.overflowed:
        self.input.take_buffered()
        self._protocol_error(b"ERR")


def buffer_without_limit(self, data):
    self.input.buffer(data, self._arrived_ms)


def allow_unlimited_commands(self, parts, reject):
    with mock.patch.object(client_connection, "MAX_OPEN_COMMANDS", 10**6):
        COMMAND(self, parts, reject)


def allow_unlimited_replies(self, data, reject=False):
    with mock.patch.object(client_connection, "MAX_PENDING_REPLIES", 10**6):
        return PROCESS(self, data, reject)


def drop_pending_replies(self, line):
    """Handle an error as an earlier version did: drop replies to commands read while the connection closes."""
    if not self._closing:
        PROTOCOL_ERROR(self, line)
    self.replies.pending.clear()


def fail_overdue_command(self):
    self._protocol_error(b"ERR")


def ignore_reservation(self, slot, parts):
    slot.reply = resp_codec.encode_bulk(parts[-1])
    self.replies.reserve(slot, len(parts[-1]))


COMMAND, PROCESS = ClientConnection._handle_command, ClientConnection._process
PROTOCOL_ERROR = ClientConnection._protocol_error
GUARDS = [
    (ClientConnection, "_process", drop_excess_commands),
    (ClientConnection, "_buffer_input", drop_excess_input),
    (ClientConnection, "_buffer_input", buffer_without_limit),
    (ClientConnection, "_handle_command", allow_unlimited_commands),
    (ClientConnection, "_protocol_error", drop_pending_replies),
    (ClientConnection, "command_overdue", fail_overdue_command),
    (InputPause, "pause_reading", lambda self, stop_reading: None),
    (ClientConnection, "_fail_open", lambda self: None),
    (ClientConnection, "discard_incoming", lambda self: None),
    (CommandReader, "discard_command", lambda self: None),
    (ClientConnection, "_handle_ping", ignore_reservation),
    (ReplyQueue, "release", lambda self, slot: None),
    (ClientConnection, "_process", allow_unlimited_replies),
    (ClientConnection, "_write_ready", lambda self: None),
    (ClientConnection, "_cancel_all", lambda self: None),
    (ClientConnection, "_handle_request", without_closing_check(ClientConnection._handle_request)),
    (InputPause, "take_buffered", lambda self: bytes(self.buffered)),
    (ClientConnection, "_resume_input", lambda self: None),
    (ClientConnection, "fail_all", ClientConnection.shutdown_write),
    (ClientConnection, "abort", lambda self: None),
    (RequestTable, "may_start_attempt", lambda self, request, attempt: True),
    (RespRequests, "client_disconnected", lambda self, number: None),
]


@pytest.mark.parametrize(("owner", "name", "without"), GUARDS, ids=[f"{each[1]}-{each[2].__name__}" for each in GUARDS])
def test_each_guard_taken_out_is_found_out(monkeypatch, owner, name, without):
    monkeypatch.setattr(owner, name, without)
    try:
        found = first_violation()
    except Exception as problem:  # the violation may also raise another error
        found = problem
    assert found is not None
