"""Every short order of what can befall one connection, long ones by seeds, and each guard taken out."""

import itertools
import random
from unittest import mock

import pytest
from connection_model import EVENTS, Broken, play

from anisefront.gateway.request_table import RequestTable
from anisefront.resp_gateway import front as fronts
from anisefront.resp_gateway import resp
from anisefront.resp_gateway.carrier import NodeCarrier
from anisefront.resp_gateway.front import Client

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
    """`_ask` as it would be without the look at whether the connection is ending."""

    def ask(self, slot, parts):
        ending, self._ending = self._ending, False
        try:
            function(self, slot, parts)
        finally:
            self._ending = ending

    return ask


def dropped(self, data, refuse=False):
    """`_take_in` as it was: what would pass the cap on open commands is dropped, and the connection ends."""
    commands = self.reader.feed(data)
    if len(self.slots) + len(commands) > fronts.MOST_OPEN:
        self._unreadable(b"ERR")
        return
    for parts in commands:
        self._command(parts, refuse)
    self._flush()


def dropped_unread(self, data):
    """`_keep_unread` as it was: at its cap all that waits is dropped, and the connection ends."""
    self._unread += data
    self.front.bodies += len(data)
    if len(self._unread) > fronts.MOST_UNREAD or self.front.bodies > self.front.limits.most_bodies:
        self._forget_unread()
        self._unreadable(b"ERR")


def kept_unread(self, data):
    self._unread += data
    self.front.bodies += len(data)


def uncapped(self, parts, refuse):
    with mock.patch.object(fronts, "MOST_OPEN", 10**6):
        COMMAND(self, parts, refuse)


def unlimited(self, data, refuse=False):
    with mock.patch.object(fronts, "MOST_WAITING", 10**6):
        TAKE_IN(self, data, refuse)


def forgotten(self, line):
    """`_refuse_all` as it was: what was read while the connection is ending is not written."""
    if not self._ending:
        UNREADABLE(self, line)
    self.slots.clear()


def impatient(self):
    self._unreadable(b"ERR")


def unmeasured(self, slot, parts):
    slot.answer = resp.bulk(parts[-1])
    slot.size = len(parts[-1])
    self.front.bodies += slot.size


COMMAND, TAKE_IN, UNREADABLE = Client._command, Client._take_in, Client._unreadable
GUARDS = [
    (Client, "_take_in", dropped),
    (Client, "_keep_unread", dropped_unread),
    (Client, "_keep_unread", kept_unread),
    (Client, "_command", uncapped),
    (Client, "_unreadable", forgotten),
    (Client, "overdue", impatient),
    (Client, "_hold", lambda self: None),
    (Client, "_fail_open", lambda self: None),
    (Client, "_pong", unmeasured),
    (Client, "_let_go", lambda self, slot: None),
    (Client, "_take_in", unlimited),
    (Client, "_write", lambda self: None),
    (Client, "_withdraw_all", lambda self: None),
    (Client, "_ask", unwrapped(Client._ask)),
    (Client, "_forget_unread", lambda self: bytes(self._unread)),
    (Client, "_read_on", lambda self: None),
    (Client, "fail_all", Client.end),
    (Client, "abort", lambda self: None),
    (RequestTable, "may_start_attempt", lambda self, request, attempt: True),
    (NodeCarrier, "client_disconnected", lambda self, number: None),
]


@pytest.mark.parametrize(("owner", "name", "without"), GUARDS, ids=[f"{each[1]}-{each[2].__name__}" for each in GUARDS])
def test_each_guard_taken_out_is_found_out(monkeypatch, owner, name, without):
    monkeypatch.setattr(owner, name, without)
    try:
        found = first_broken()
    except Exception as problem:  # it may also show as an error of its own
        found = problem
    assert found is not None
