"""`make search`: seeded random schedules of faults for membership, replication and connections, on all cores."""

import itertools
import sys
from concurrent.futures import ProcessPoolExecutor

import connection_model
import replication_net
from test_connection_search import PREFIXES
from test_identity_locks import SINGLE_FAULTS
from test_membership import schedule

REPLICATION_SCHEDULES = 20  # for each schedule of membership, which takes twenty times as long
IDENTITY_SCHEDULES = 34  # of two requests of one identity, for each schedule of membership


def play(seed):
    """Play the schedules of one seed; returns the failure, "" without one."""
    try:
        schedule(seed, 3 + seed % 6)
        code = replication_net.load_code()
        for each in range(seed * REPLICATION_SCHEDULES, (seed + 1) * REPLICATION_SCHEDULES):
            replication_net.schedule(code, each, 3 + each % 3, 1 + each % 4, 40 + each % 40)
        for each in range(seed * IDENTITY_SCHEDULES, (seed + 1) * IDENTITY_SCHEDULES):
            faults = SINGLE_FAULTS[each % len(SINGLE_FAULTS)]
            replication_net.schedule_of_one_identity(code, each, faults, 3 + each % 3, 100 + each % 150)
    except AssertionError as problem:
        return f"seed {seed}: {str(problem)[:300]}"
    return ""


def all_orders(remaining_faults):
    """Explore every order of six steps of one request at three instances; return the number of states and a failure."""
    world = replication_net.World(replication_net.load_code(), 3, remaining_faults)
    world.accept(0, 1, "r")
    return replication_net.explore(world, 6)


def connection_orders(first):
    """Play every order of four events on a connection, by the first event; returns their number, and the failure."""
    count = 0
    for start in PREFIXES:
        for rest in itertools.product(connection_model.EVENTS, repeat=3):
            order, count = start + first + "".join(rest), count + 1
            try:
                connection_model.run_events(order)
            except connection_model.InvariantViolation as problem:
                return count, f"{order}: {problem}"
    return count, ""


def main(count):
    with ProcessPoolExecutor() as pool:
        wide = [
            pool.submit(all_orders, remaining_faults)
            for remaining_faults in (
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
