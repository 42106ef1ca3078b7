"""Who keeps whose work, decided without I/O: all orders of a small world, random ones of a larger, guards taken out."""

import random
from dataclasses import replace

import pytest
from keeping_cuts import CUTS, DECLINED, LATE
from keeping_net import World, explore, fresh, schedule

from anisefront.cluster.keeper import Keeper, Witness
from anisefront.cluster.keeping import (
    MOST_RECORD,
    NO_NAME,
    Ack,
    Close,
    Ended,
    Feed,
    Full,
    Leave,
    NotYours,
    Over,
    Ruled,
    Sent,
    Taken,
    pack,
    pack_entry,
    unpack,
)
from anisefront.cluster.origin import LATE_MS, MOST_UNHEARD, PATIENCE_MS, Member, Origin

ENTRIES = (
    Taken(7, True, 900, b"12345678", b"record"),
    Sent(7, 0, "10.0.0.1:80"),
    Sent(7, 1, "w", False),
    Ended(7, 0),
    Over(7),
)
MESSAGES = (
    Feed(3, 2**40, 4, 2**41, 1, 9, ENTRIES),
    Feed(1, 1, -1, 0, 1, 1, ()),
    Ack(3, 12),
    NotYours(3),
    Leave(3, 5),
    Close(4, 2**41, 3, 5),
    Ruled(4, 2**41, 3, True),
    Ruled(0, 1, 3, False),
)


def origin(others=(1, 2), **rooms):
    made = Origin(Member(0, 1, "a"))
    made.members(0.0, {n: Member(n, 1, rooms.get(f"r{n}", "")) for n in others})
    return made


def feeds(made, now=0.0):
    made.look(now)
    made.flush(now)
    out, made.out = made.out, []
    return out


def test_every_order_of_one_request_among_three():
    world = World(fresh(), 3, {"kill": 1, "doubt": 1, "tick": 1})
    world.take(0, 1, "r")
    states, fault = explore(world, 5)
    assert fault is None and states > 3000


@pytest.mark.parametrize("name", [b"%08d" % n for n in range(3)])
@pytest.mark.parametrize("places", [(0, 1), (1, 2), (0, 2)])
def test_every_order_of_two_of_one_name_at_two_of_three(name, places):
    world = World(fresh(), 3, {"twice": 1})
    for request, number in enumerate(places, 1):
        world.take(number, request, "the name", name)
    states, fault = explore(world, 8, 400)
    assert fault is None and states > 50


def test_of_two_that_keep_each_others_one_gives_way():
    cuts = [("origin", "return _mixed(slot, other) < _mixed(slot, self.me.number)", "return True")]
    faults = []
    for name in (b"%08d" % n for n in range(6)):
        world = World(fresh(*cuts), 3, {})
        for request, number in enumerate((1, 2), 1):
            world.take(number, request, "the name", name)
        faults.append(explore(world, 8, 1500)[1])
    assert any(faults)


def test_a_search_of_all_orders_finds_what_is_missing():
    world = World(fresh(*CUTS["work moves after the witness's word"]), 3, {"doubt": 2})
    world.take(0, 1, "r")
    assert explore(world, 6)[1] is not None


def test_random_orders_run_nothing_twice():
    code = fresh()
    assert sum(sum(schedule(code, seed).runs.values()) for seed in range(800)) > 1200  # and most of it runs


@pytest.mark.parametrize("name", CUTS)
def test_each_guard_taken_out_is_found(name):
    code = fresh(*CUTS[name])
    for seed in range(8000):
        try:
            schedule(code, seed, 3, 2, 50)
        except AssertionError:
            return
    raise AssertionError(f"without {name!r} nothing was found")


def late(cut):
    """A message that was under way until all was over: what a keeper makes of it."""
    keeper = (fresh(*LATE[cut]) if cut else fresh()).Keeper(1, 1)
    first = Feed(1, 1, 2, 1, 1, 1, (Taken(1, True, 10_000, NO_NAME, b""),))
    keeper.hear(0.0, 0, 1, first)
    keeper.hear(0.0, 0, 1, Feed(1, 1, 2, 1, 1, 2, (Over(1),)))
    keeper.hear(0.0, 0, 1, Feed(2, 1, 2, 1, 2, 1, (Taken(2, True, 10_000, NO_NAME, b""), Over(2))))
    if cut == "life":
        keeper.gone(0.0, 0, 1)
        first = Feed(3, 1, 2, 1, 3, 1, first.entries)
    keeper.hear(1.0, 0, 1, first)
    return keeper.count


@pytest.mark.parametrize("cut", LATE)
def test_a_message_that_comes_when_all_is_over_begins_nothing(cut):
    assert late("") == 0 and late(cut) == 1


def test_a_bound_attempt_waits_for_the_keeper_and_a_safe_one_does_not():
    made = origin()
    named = b"one name"
    assert made.take(0.0, Taken(1, True, 1000, named, b"")) and made.take(0.0, Taken(2, False, 1000, named, b""))
    assert not made.send(0.0, 1, 0, "w") and made.send(0.0, 2, 0, "w")
    [(keeper, feed)] = feeds(made)
    assert [type(each) for each in feed.entries] == [Taken, Sent]  # a batch of the turn
    made.hear(1.0, keeper, 1, Ack(feed.epoch, 1))
    assert made.go == []
    made.hear(1.0, keeper, 1, Ack(feed.epoch, 2))
    assert made.go == [(1, 0)] and feeds(made, 1.0) == []


def test_what_may_simply_run_again_is_told_after_a_while_and_not_at_all_where_it_has_ended_by_then():
    made = origin()
    for number in (1, 2, 3):
        made.take(0.0, Taken(number, False, 1000, NO_NAME, b"r"))
        assert made.send(0.0, number, 0, "w")
    assert feeds(made) == []
    made.never_executed(5.0, 2, 0)
    made.over(10.0, 1)
    assert made.next_timer_ms <= LATE_MS and len(made) == 2
    made.look(LATE_MS)
    told = [entry for _, feed in feeds(made, LATE_MS) for entry in feed.entries]
    assert sorted(told, key=lambda entry: (entry.request, str(type(entry)))) == sorted(
        [
            Taken(2, False, 1000, NO_NAME, b"r"),
            Sent(2, 0, "w"),
            Ended(2, 0),
            Taken(3, False, 1000, NO_NAME, b"r"),
            Sent(3, 0, "w"),
        ],
        key=lambda entry: (entry.request, str(type(entry))),
    )
    made.over(LATE_MS + 1, 2)
    assert 1 not in [entry.request for link in made._links.values() for entry, _ in link.entries]
    for link in made._links.values():  # no epoch keeps what was never told
        assert not link.late and not link.late_ms


def test_late_ones_of_a_keeper_that_is_left_are_told_to_another():
    made = origin()
    made.take(0.0, Taken(1, False, 1000, NO_NAME, b"r"))
    keeper = made.kept_by(1)
    made.members(5.0, {n: Member(n, 1) for n in (1, 2, 3) if n != keeper})
    made.look(5.0 + LATE_MS)
    assert [(to != keeper, entry.request) for to, feed in feeds(made, 5.0 + LATE_MS) for entry in feed.entries] == [
        (True, 1)
    ]
    assert not any(link.late for link in made._links.values())


def test_entries_packed_before_are_the_same_bytes():
    feed = Feed(1, 2, 3, 4, 1, 1, ENTRIES)
    packed = b"".join(map(pack_entry, ENTRIES))
    assert pack(replace(feed, packed=packed)) == pack(feed) and unpack(pack(feed)) == feed


def test_a_slow_keeper_is_left_for_another_by_the_witness():
    made = origin((1, 2, 3))
    made.take(0.0, Taken(1, True, 1000, NO_NAME, b""))
    made.send(0.0, 1, 0, "w")
    [(slow, feed)] = feeds(made)
    out, now = [], 0.0
    while not any(isinstance(message, Leave) for _, message in out) and now < 1000:
        now += 5.0
        out += feeds(made, now)
    assert PATIENCE_MS <= now <= 2 * PATIENCE_MS
    made.hear(now, feed.witness, feed.witness_life, Ruled(0, 1, feed.epoch, False))
    [(other, again)] = feeds(made, now)
    assert other != slow and made.go == []
    made.hear(now, other, 1, Ack(again.epoch, 2))
    assert made.go == [(1, 0)]
    made.take(now, Taken(2, True, 1000, NO_NAME, b""))
    assert feeds(made, now)[0][0] != slow  # nor is it asked for what comes next


def test_a_lost_entry_is_fed_again_while_others_follow_it():
    made, keeper = origin((1,)), Keeper(1, 1)
    made.take(0.0, Taken(1, True, 1000, NO_NAME, b""))
    feeds(made)  # lost
    for now in range(5, 100, 5):
        made.take(float(now), Taken(1 + now, True, 1000, NO_NAME, b""))
        for _, message in feeds(made, float(now)):
            keeper.hear(float(now), 0, 1, message)
        for _, message in keeper.out:
            made.hear(float(now), 1, 1, message)
        keeper.out.clear()
    assert keeper.count == 20


def test_an_end_is_told_with_what_comes_next_or_with_a_sign_of_life():
    made, keeper = origin((1,)), Keeper(1, 1)
    made.take(0.0, Taken(1, True, 60_000, NO_NAME, b""))
    keeper.hear(0.0, 0, 1, feeds(made)[0][1])
    made.hear(1.0, 1, 1, keeper.out.pop()[1])
    made.over(2.0, 1)
    assert feeds(made, 3.0) == [] and keeper.count == 1
    keeper.hear(260.0, 0, 1, feeds(made, 260.0)[0][1])
    made.hear(261.0, 1, 1, keeper.out.pop()[1])
    assert keeper.count == 0 and feeds(made, 2000.0) == []  # and then there is nothing more to say


def test_another_room_keeps_and_few_move_when_a_member_comes():
    made = origin(tuple(range(1, 9)), r1="a", r2="a", r3="a")
    chosen = {slot: made._ranked(slot, "a", 0)[0] for slot in range(64)}
    assert {member.number for member in chosen.values()} <= {4, 5, 6, 7, 8}
    made.members(0.0, {n: Member(n, 1, "a" if n < 4 else "") for n in range(1, 10)})
    moved = sum(made._ranked(slot, "a", 0)[0] != chosen[slot] for slot in range(64))
    assert 0 < moved < 24  # a sixth is the newcomer's part


def test_a_keeper_that_hears_nothing_holds_so_much_at_most():
    made = origin((1,))
    taken = [made.take(0.0, Taken(n, True, 1000, NO_NAME, b"")) for n in range(MOST_UNHEARD + 5)]
    assert sum(taken) == MOST_UNHEARD and not any(taken[MOST_UNHEARD:])


def declined(*cuts):
    """A keeper with room for one that turned a request away, and has room when it is fed again: how many it keeps."""
    keeper = fresh(*cuts).Keeper(1, 1, most=1)
    feed = Feed(1, 1, 2, 1, 1, 1, (Taken(1, True, 10_000, NO_NAME, b""),))
    keeper.hear(0.0, 2, 1, feed)
    keeper.hear(0.0, 0, 1, feed)
    keeper.hear(1.0, 2, 1, Feed(1, 1, 2, 1, 1, 2, (Over(1),)))
    keeper.hear(2.0, 0, 1, feed)  # its origin may still hear of the first word, and go on by itself
    return keeper.count


def test_what_was_turned_away_for_want_of_room_stays_so():
    assert declined() == 0 and declined(DECLINED) == 1


def test_a_full_keeper_takes_no_more_and_what_it_turned_away_it_never_takes():
    keeper = Keeper(1, 1, most=2)
    four = Feed(1, 1, -1, 0, 1, 1, tuple(Taken(n, True, 1000, NO_NAME, b"") for n in range(4)))
    keeper.hear(0.0, 0, 1, four)
    assert keeper.out == [(0, Full(1, 2)), (0, Full(1, 3)), (0, Ack(1, 2))] and keeper.count == 2
    keeper.out.clear()
    keeper.hear(0.0, 0, 1, Feed(2, 1, -1, 0, 2, 1, ()))  # all of the first epoch is over
    assert keeper.count == 0
    keeper = Keeper(1, 1, most=1)
    keeper.hear(0.0, 0, 1, replace(four, entries=four.entries[1:3]))
    keeper._let_go(keeper._epochs(0, 1)[1], keeper._epochs(0, 1)[1].kept[1])  # there is room again
    keeper.out.clear()
    keeper.hear(1.0, 0, 1, Feed(1, 1, -1, 0, 1, 2, (Taken(2, True, 1000, NO_NAME, b""),)))
    assert keeper.out == [(0, Full(1, 2)), (0, Ack(1, 1))] and keeper.count == 0
    keeper.hear(2.0, 0, 1, Feed(1, 1, -1, 0, 1, 2, (Over(2), Taken(3, True, 1000, NO_NAME, b""))))
    assert keeper.out[-1] == (0, Ack(1, 3)) and keeper.count == 1 and not keeper._epochs(0, 1)[1].declined


def test_an_origin_whose_keeper_is_full_goes_on_without_and_tells_the_rest():
    made = origin((1,))
    for request in (1, 2):
        made.take(0.0, Taken(request, True, 1000, NO_NAME, b""))
        assert not made.send(0.0, request, 0, "w")
    [(_, feed)] = feeds(made)
    made.hear(1.0, 1, 1, Full(feed.epoch, 1))
    assert made.unkept == [1] and made.go == [(1, 0)] and made.counts["unprotected_full"] == 1
    made.hear(1.0, 1, 1, Full(feed.epoch, 1))  # said twice
    assert made.go == [(1, 0)]
    [(_, again)] = feeds(made, 1.0)
    assert [entry.request for entry in again.entries] == [1, 1, 2, 2] and again.entries[0] == Over(1)
    made.hear(2.0, 1, 1, Ack(feed.epoch, 4))
    assert made.go == [(1, 0), (2, 0)] and made.send(3.0, 1, 1, "w")


def test_every_order_of_two_requests_where_a_keeper_has_room_for_one():
    world = World(fresh(), 3, {"twice": 1, "kill": 1, "doubt": 1}, most=1)
    for request in (1, 2):
        world.take(0, request, f"r{request}")
    states, fault = explore(world, 5, 6000)
    assert fault is None and states > 2000


def test_a_lease_decides_when_the_witness_is_asked_and_signs_of_life_keep_it():
    made, keeper, witness = origin(r2="a"), Keeper(1, 1), Witness(1)
    made.take(0.0, Taken(1, True, 60_000, NO_NAME, b"r"))
    for now in range(0, 5000, 10):
        for receiver, message in feeds(made, float(now)):
            if receiver == 1:
                keeper.hear(float(now), 0, 1, message)
        keeper.look(float(now))
        for _, message in keeper.out:
            made.hear(float(now), 1, 1, message)
        keeper.out.clear()
    assert keeper.count == 1
    assert keeper.counts["leases_out"] == 0
    keeper.look(6100.0)
    [(receiver, close)] = keeper.out
    witness.hear(1, 1, close)
    keeper.hear(6100.0, receiver, 1, witness.out[0][1])
    assert [kept.record for _, _, kept in keeper.taken] == [b"r"] and keeper.count == 0


def test_messages_come_back_as_they_went():
    for message in MESSAGES:
        data = pack(message)
        assert unpack(data) == message
        for cut in range(len(data)):
            assert unpack(data[:cut]) is None
    with pytest.raises(ValueError, match="record: 1101 bytes are more than 1100"):
        pack(Feed(1, 1, -1, 0, 1, 1, (Taken(1, True, 0, NO_NAME, bytes(MOST_RECORD + 1)),)))


def test_noise_is_no_message_and_raises_nothing():
    rng = random.Random(5)
    for _ in range(4000):
        data = bytearray(pack(rng.choice(MESSAGES)))
        for _ in range(rng.randrange(1, 4)):
            data[rng.randrange(len(data))] = rng.randrange(256)
        unpack(bytes(data))
