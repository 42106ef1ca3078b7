"""Guards of the identity locks: the faults under which the search must find each taken out, and the lines."""

WRONG_BELIEF = {"doubt": 1, "tick": 4, "wait": 4, "lose": 3, "twice": 3}
RESTART = {"kill": 1, "start": 1, "learn": 3, "tick": 4, "wait": 4, "lose": 3, "twice": 3}
CUTS = {
    "a majority of the voters": (WRONG_BELIEF, [("lock_requester", "MAJORITY = 2  #", "MAJORITY = 1  #")]),
    "an attempt waits for the lock": (
        WRONG_BELIEF,
        [("primary", "local.is_locked = False\n", "local.is_locked = True\n")],
    ),
    "a vote is for one request": (
        WRONG_BELIEF,
        [("lock_voter", "if holder is not None:", "if False:")],
    ),
    "a restarted voter abstains": (
        RESTART,
        [("lock_voter", "if not self._recovery.is_recovered(slot):", "if False:")],
    ),
    "only the successor of the holder gets its vote": (
        WRONG_BELIEF,
        [("lock_voter", "if request.predecessor in lock.holders:", "if request.predecessor is not None:")]
        + [("lock_voter", "del lock.holders[request.predecessor]", "lock.holders.clear()")],
    ),
}
