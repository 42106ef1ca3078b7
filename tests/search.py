"""`make search`: random schedules of faults by seed, on all cores: who is there, and who has work in hand."""

import sys
from concurrent.futures import ProcessPoolExecutor

import keeping_net
from test_membership import schedule

KEEPING = 20  # schedules of keeping for each of membership: they take a twentieth of the time


def play(seed):
    """The fault of one seed, "" where there is none."""
    try:
        schedule(seed, 3 + seed % 6)
        code = keeping_net.fresh()
        for each in range(seed * KEEPING, (seed + 1) * KEEPING):
            keeping_net.schedule(code, each, 3 + each % 3, 1 + each % 4, 40 + each % 40)
    except AssertionError as problem:
        return f"seed {seed}: {str(problem)[:300]}"
    return ""


def main(count):
    with ProcessPoolExecutor() as pool:
        faults = [fault for fault in pool.map(play, range(count), chunksize=8) if fault]
    print("\n".join(faults[:20]))
    print(f"{count - len(faults)} passed, {len(faults)} failed")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1])))
