"""Mutations of the identity locks, each of which removes one safeguard, and the faults under which it is detected."""

FALSE_SUSPICION = {"doubt": 1, "tick": 4, "wait": 4, "lose": 3, "twice": 3}
RESTART = {"kill": 1, "start": 1, "learn": 3, "tick": 4, "wait": 4, "lose": 3, "twice": 3}
MUTATIONS = {
    "a majority of the voters": (FALSE_SUSPICION, [("lock_requester", "MAJORITY = 2  #", "MAJORITY = 1  #")]),
    "an attempt waits for the lock": (
        FALSE_SUSPICION,
        [("primary", "local.is_locked = False\n", "local.is_locked = True\n")],
    ),
    "a vote is for one request": (
        FALSE_SUSPICION,
        [("lock_voter", "if holder is not None:", "if False:")],
    ),
    "a restarted voter abstains": (
        RESTART,
        [("lock_voter", "if not self._recovery.is_recovered(slot):", "if False:")],
    ),
    "only the successor of the holder gets its vote": (
        FALSE_SUSPICION,
        [("lock_voter", "if request.predecessor in lock.holders:", "if request.predecessor is not None:")]
        + [("lock_voter", "del lock.holders[request.predecessor]", "lock.holders.clear()")],
    ),
}
LATE = {"tick": 6, "wait": 6}
LATE_RESTART = {**LATE, "kill": 1, "start": 1, "learn": 3}
ONLY_LIVE_VOTER = """alive = tuple(voter for voter in lock.voters if voter in self._alive)
        is_half_alive = 2 * len(self._alive) >= len(self._placement.instances)
        return alive if len(alive) == 1 and is_half_alive else lock.voters"""
BELIEVED_DEAD = """instances = self._placement.instances - {self._local.number}
        replied = self._recovery._recovered_by_replies.keys()
        if not self._recovery.is_recovered(slot) and not (replied and instances <= replied | self._departed):"""
PARTITION_MUTATIONS = {
    "the only live voter does not decide alone": (
        LATE,
        [
            (
                "lock_requester",
                "return (tie_breaker,) if len(lock.voters) == MAJORITY and is_other_lost else lock.voters",
                ONLY_LIVE_VOTER,
            )
        ],
    ),
    "of two only the tie-breaker decides alone": (
        LATE,
        [("lock_requester", "tie_breaker = min(lock.voters)", "tie_breaker = self._local.number")],
    ),
    "a lock is held while its backup may continue its request": (
        LATE,
        [("lock_voter", "backup == NO_INSTANCE and", "(backup == NO_INSTANCE or backup in self._departed) and")],
    ),
    "a restarted voter waits for instances that seem dead": (
        LATE_RESTART,
        [("lock_voter", "if not self._recovery.is_recovered(slot):", BELIEVED_DEAD)],
    ),
}
