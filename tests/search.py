"""`make search`: random schedules of faults by seed, on all cores: who is there, who has work in hand, and what can
befall one client's connection."""

import itertools
import sys
from concurrent.futures import ProcessPoolExecutor

import connection_model
import replication_net
from test_connection_search import BEGINNINGS
from test_identity_locks import SINGLE_FAULTS
from test_membership import schedule

KEEPING = 20  # schedules of keeping for each of membership: they take a twentieth of the time
IDENTITIES = 34  # schedules of two requests of one identity for each of membership


def play(seed):
    """The fault of one seed, "" where there is none."""
    try:
        schedule(seed, 3 + seed % 6)
        code = replication_net.fresh()
        for each in range(seed * KEEPING, (seed + 1) * KEEPING):
            replication_net.schedule(code, each, 3 + each % 3, 1 + each % 4, 40 + each % 40)
        for each in range(seed * IDENTITIES, (seed + 1) * IDENTITIES):
            faults = SINGLE_FAULTS[each % len(SINGLE_FAULTS)]
            replication_net.schedule_of_one_identity(code, each, faults, 3 + each % 3, 100 + each % 150)
    except AssertionError as problem:
        return f"seed {seed}: {str(problem)[:300]}"
    return ""


def all_orders(left):
    """Every order of six steps of one request among three, with these faults: (states, the fault)."""
    world = replication_net.World(replication_net.fresh(), 3, left)
    world.take(0, 1, "r")
    return replication_net.explore(world, 6)


def connection_orders(first):
    """Every order of four events on one connection that begins with this one: how many, and the fault."""
    count = 0
    for start in BEGINNINGS:
        for rest in itertools.product(connection_model.EVENTS, repeat=3):
            order, count = start + first + "".join(rest), count + 1
            try:
                connection_model.play(order)
            except connection_model.Broken as problem:
                return count, f"{order}: {problem}"
    return count, ""


def main(count):
    with ProcessPoolExecutor() as pool:
        wide = [
            pool.submit(all_orders, left)
            for left in (
                {"kill": 1, "doubt": 2, "tick": 2},
                {"kill": 1, "start": 1, "learn": 1, "doubt": 1},
                {"twice": 1, "lose": 1, "doubt": 1, "wait": 2},
                {"doubt": 3, "learn": 2, "tick": 1},
            )
        ]
        links = pool.map(connection_orders, connection_model.EVENTS)
        faults = [fault for fault in pool.map(play, range(count), chunksize=8) if fault]
        for states, fault in (each.result() for each in wide):
            print(f"all orders: {states} states, fault {fault}")
            faults += [f"all orders: {fault}"] if fault else []
        for orders, fault in links:
            print(f"one connection: {orders} orders, fault {fault or None}")
            faults += [f"one connection: {fault}"] if fault else []
    print("\n".join(faults[:20]))
    print(f"{max(0, count - len(faults))} passed, {len(faults)} failed")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1])))
