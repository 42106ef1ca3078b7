"""Every short order of what can befall one connection, long ones by seeds, and each guard taken out."""

import itertools
import random
from unittest import mock

import pytest
from connection_model import EVENTS, Broken, play

from anisefront.gateway.request_table import RequestTable
from anisefront.resp_gateway import client_connection
from anisefront.resp_gateway import resp_codec
from anisefront.resp_gateway.resp_requests import RespRequests
from anisefront.resp_gateway.client_connection import ClientConnection
from anisefront.resp_gateway.input_pause import InputPause
from anisefront.resp_gateway.reply_queue import ReplyQueue

BEGINNINGS = ("", "c", "cg", "cgk", "uc")
DEPTH, SEEDS, LENGTH = 3, 3000, 12


def first_broken(depth=DEPTH, seeds=SEEDS):
    """The first order that breaks something, and what; None where none does."""
    orders = (start + "".join(rest) for start in BEGINNINGS for rest in itertools.product(EVENTS, repeat=depth))
    rng = random.Random(41)
    longer = ("".join(rng.choices(list(EVENTS), k=LENGTH)) for _ in range(seeds))
    for order in itertools.chain(orders, longer):
        try:
            play(order)
        except Broken as problem:
            return order, str(problem)
    for order in itertools.product(EVENTS, repeat=depth - 1):  # and of one for which there is no room
        try:
            play(order, turned_away=True)
        except Broken as problem:
            return "turned away", order, str(problem)
    return None


def test_no_order_breaks_anything():
    assert first_broken() is None


def unwrapped(function):
    """`_handle_request` as it would be without the look at whether the connection is ending."""

    def handle(self, slot, parts):
        closing, self._closing = self._closing, False
        try:
            function(self, slot, parts)
        finally:
            self._closing = closing

    return handle


def dropped(self, data, reject=False):
    """`_process` as it was: what would pass the cap on open commands is dropped, and the connection ends."""
    commands = self.reader.feed(data)
    if len(self.replies.pending) + len(commands) > client_connection.MAX_OPEN_COMMANDS:
        self._protocol_error(b"ERR")
        return
    for parts in commands:
        self._handle_command(parts, reject)
    self._flush()


def dropped_unread(self, data):
    """`_buffer_input` as it was: at its cap all that waits is dropped, and the connection ends."""
    self.input.buffer(data)
    if self.input.overflowed:
        self.input.take_buffered()
        self._protocol_error(b"ERR")


def kept_unread(self, data):
    self.input.buffer(data)


def uncapped(self, parts, reject):
    with mock.patch.object(client_connection, "MAX_OPEN_COMMANDS", 10**6):
        COMMAND(self, parts, reject)


def unlimited(self, data, reject=False):
    with mock.patch.object(client_connection, "MAX_PENDING_REPLIES", 10**6):
        PROCESS(self, data, reject)


def forgotten(self, line):
    """`_protocol_error` as it was: what was read while the connection is ending is not written."""
    if not self._closing:
        PROTOCOL_ERROR(self, line)
    self.replies.pending.clear()


def impatient(self):
    self._protocol_error(b"ERR")


def unmeasured(self, slot, parts):
    slot.reply = resp_codec.encode_bulk(parts[-1])
    self.replies.reserve(slot, len(parts[-1]))


COMMAND, PROCESS = ClientConnection._handle_command, ClientConnection._process
PROTOCOL_ERROR = ClientConnection._protocol_error
GUARDS = [
    (ClientConnection, "_process", dropped),
    (ClientConnection, "_buffer_input", dropped_unread),
    (ClientConnection, "_buffer_input", kept_unread),
    (ClientConnection, "_handle_command", uncapped),
    (ClientConnection, "_protocol_error", forgotten),
    (ClientConnection, "command_overdue", impatient),
    (InputPause, "pause_reading", lambda self, stop_reading: None),
    (ClientConnection, "_fail_open", lambda self: None),
    (ClientConnection, "_handle_ping", unmeasured),
    (ReplyQueue, "release", lambda self, slot: None),
    (ClientConnection, "_process", unlimited),
    (ClientConnection, "_write_ready", lambda self: None),
    (ClientConnection, "_cancel_all", lambda self: None),
    (ClientConnection, "_handle_request", unwrapped(ClientConnection._handle_request)),
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
        found = first_broken()
    except Exception as problem:  # it may also show as an error of its own
        found = problem
    assert found is not None
