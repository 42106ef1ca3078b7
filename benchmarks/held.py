"""Cost of a controller with N requests queued for their quota: their intake, and a turn that dispatches at once.

python -m benchmarks.held [FOLDER]     FOLDER: another version's anisefront/policy, for comparison
"""

import subprocess
import sys
import time

from anisefront.policy.actions import StartAttempt
from anisefront.policy.events import Arrival, AttemptEnded, AttemptResult, Endpoint, EndpointList, EndpointStatus
from anisefront.policy.settings import Idempotency, Plan, RequestClass, Settings

QUEUE_LENGTHS = (0, 1000, 10_000, 40_000)
TURNS = 400


def run(queued):
    """Return the intake in seconds, its longest turn, and the mean and longest turn of one arrival, in ms."""
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
        """Handle events and return the duration in ms and the actions."""
        began = time.perf_counter()
        actions = controller.handle(now, events)
        return (time.perf_counter() - began) * 1000, actions

    intake_ms, max_intake_ms = 0.0, 0.0
    for _ in range(0, queued, 100):
        now += 0.5
        events = []
        for _ in range(100):
            number += 1
            events.append(Arrival(number, f"c{number % 20}", "r", "none", now + 300_000))
        duration_ms, actions = turn(events)
        intake_ms, max_intake_ms = intake_ms + duration_ms, max(max_intake_ms, duration_ms)
        for action in actions:
            if isinstance(action, StartAttempt):
                controller.handle(now, [AttemptEnded(action.id, 0, action.endpoint, 1.0, AttemptResult.OK, True)])
    total_ms, max_ms = 0.0, 0.0
    for _ in range(TURNS):
        now += 1.0
        number += 1
        duration_ms, actions = turn([Arrival(number, f"w{number % 50}", "r", "wide", now + 5000)])
        total_ms, max_ms = total_ms + duration_ms, max(max_ms, duration_ms)
        for action in actions:
            if isinstance(action, StartAttempt):
                controller.handle(now, [AttemptEnded(action.id, 0, action.endpoint, 1.0, AttemptResult.OK, True)])
    return intake_ms / 1000, max_intake_ms, total_ms / TURNS, max_ms


def table(folder=""):
    """Print one row for each queue length, each measured in a process of its own."""
    print(f"{'queued':>8} {'intake, s':>12} {'max of 100, ms':>17} {'mean turn, us':>14} {'max turn, ms':>15}")
    for queued in QUEUE_LENGTHS:
        code = (
            "import sys, anisefront.policy\n"
            + (f"anisefront.policy.__path__ = [{folder!r}]\n" if folder else "")
            + f"from benchmarks.held import run; print(*run({queued}))"
        )
        output = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout.split()
        intake_s, max_intake_ms, mean_ms, max_ms = map(float, output)
        print(f"{queued:8} {intake_s:12.2f} {max_intake_ms:17.1f} {mean_ms * 1000:14.0f} {max_ms:15.1f}", flush=True)


if __name__ == "__main__":
    for each in sys.argv[1:]:
        print(each)
        table(each)
    print("this version")
    table()
