"""Every short order of what can befall one connection, long ones by seeds, and each guard taken out."""

import itertools
import random

import pytest
from connection_model import EVENTS, Broken, play

from anisefront.core.ledger import Ledger
from anisefront.node.carrier import NodeCarrier
from anisefront.node.front import Client

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


GUARDS = [
    (Client, "_withdraw_all", lambda self: None), (Client, "_ask", unwrapped(Client._ask)),
    (Client, "_forget_unread", lambda self: bytes(self._unread)),
    (Client, "_read_on", lambda self: None), (Client, "fail_all", Client.end), (Client, "abort", lambda self: None),
    (Ledger, "may_begin", lambda self, request, attempt: True), (NodeCarrier, "withdraw", lambda self, number: None),
]


@pytest.mark.parametrize(("owner", "name", "without"), GUARDS, ids=[name for _, name, _ in GUARDS])
def test_each_guard_taken_out_is_found_out(monkeypatch, owner, name, without):
    monkeypatch.setattr(owner, name, without)
    try:
        found = first_broken()
    except Exception as problem:  # it may also show as an error of its own
        found = problem
    assert found is not None
