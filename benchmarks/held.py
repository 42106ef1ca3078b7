"""The module with N requests held for their quota: what taking them in costs, and a turn with one that can go at once.

python -m benchmarks.held [FOLDER]     FOLDER: another version's decision files, to set beside this one's
"""

import subprocess
import sys
import time
from anisefront.policy.actions import StartAttempt
from anisefront.policy.events import Arrival, AttemptEnded, AttemptResult as R, Endpoint, EndpointList, EndpointStatus
from anisefront.policy.settings import Idempotency, Plan, RequestClass, Settings

SIZES, TURNS = (0, 1000, 10_000, 40_000), 400


def run(held):
    """Seconds of intake, its worst turn, mean and worst turn of one arrival, all in ms but the first."""
    from anisefront.policy.controller import Controller

    settings = Settings(
        gateways=1,
        number=0,
        zone="a",
        classes=(RequestClass("r", 60_000, 300_000, 1.0, Idempotency.IDEMPOTENT),),
        plans=(Plan("none", 0.001, 1), Plan("wide", 1e6, 1e6)),
        warm_up_ms=1000,
        slow_start_initial_factor=0.2,
        overload_multiple=3,
        overload_window_ms=1000,
        max_attempts=3,
    )
    controller, now, number = Controller(settings, 1), 1000.0, 0
    controller.handle(now, [EndpointList(tuple(Endpoint(f"s{n}", "a", 0, EndpointStatus.READY) for n in range(20)))])

    def turn(events):
        began = time.perf_counter()
        actions = controller.handle(now, events)
        return (time.perf_counter() - began) * 1000, actions

    intake, worst_in = 0.0, 0.0
    for _ in range(0, held, 100):
        now += 0.5
        events = []
        for _ in range(100):
            number += 1
            events.append(Arrival(number, f"c{number % 20}", "r", "none", now + 300_000))
        took, actions = turn(events)
        intake, worst_in = intake + took, max(worst_in, took)
        for action in actions:
            if isinstance(action, StartAttempt):
                controller.handle(now, [AttemptEnded(action.id, 0, action.endpoint, 1.0, R.OK, True)])
    spent, worst = 0.0, 0.0
    for _ in range(TURNS):
        now += 1.0
        number += 1
        took, actions = turn([Arrival(number, f"w{number % 50}", "r", "wide", now + 5000)])
        spent, worst = spent + took, max(worst, took)
        for action in actions:
            if isinstance(action, StartAttempt):
                controller.handle(now, [AttemptEnded(action.id, 0, action.endpoint, 1.0, R.OK, True)])
    return intake / 1000, worst_in, spent / TURNS, worst


def table(folder=""):
    """The rows, each size in a process of its own."""
    print(f"{'held':>8} {'taken in, s':>12} {'worst of 100, ms':>17} {'mean turn, us':>14} {'worst turn, ms':>15}")
    for held in SIZES:
        code = (
            "import sys, anisefront.policy\n"
            + (f"anisefront.policy.__path__ = [{folder!r}]\n" if folder else "")
            + f"from benchmarks.held import run; print(*run({held}))"
        )
        said = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout.split()
        intake, worst_in, mean, worst = map(float, said)
        print(f"{held:8} {intake:12.2f} {worst_in:17.1f} {mean * 1000:14.0f} {worst:15.1f}", flush=True)


if __name__ == "__main__":
    for each in sys.argv[1:]:
        print(each)
        table(each)
    print("this version")
    table()
