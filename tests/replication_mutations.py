"""Mutations of the replication code, each of which removes one safeguard. The searches must detect every one."""

MUTATIONS = {
    "an attempt waits for the backup's acknowledgement": [("primary", "return not requires_ack", "return True")],
    "a rejection waits for the acknowledgement too": [
        ("primary", "if local.epoch not in self._sender.logs or not local.accepted.requires_ack:", "if True:")
    ],
    "a primary that lost a request starts no attempt": [
        (
            "primary",
            """        if local.lost:
            return False
        local.attempts""",
            "        local.attempts",
        )
    ],
    "a request moves after the witness's decision": [
        ("primary", "if not self._requests[request].accepted.requires_ack:  #", "if True:  #")
    ],
    "only the backup's own incarnation acknowledges": [
        (
            "primary",
            "from_backup = (sender, sender_incarnation) == (log.backup.number, log.backup.incarnation)",
            "from_backup = sender == log.backup.number",
        ),
        ("backup", "if message.backup_incarnation != self.incarnation:", "if False:"),
    ],
    "entries of a claimed epoch are not acknowledged": [
        ("backup", "if epoch.state is EpochState.CLAIMED:\n            self._send", "if False:\n            self._send")
    ],
    "the backup asks the witness": [("backup", "if epoch.witness < 0:", "if True:")],
    "entries are applied in sequence": [
        ("backup", "if sequence == epoch.last_sequence + 1:", "if sequence > epoch.last_sequence:")
    ],
    "the witness's decision is final": [
        (
            "witness",
            "decision = decisions.setdefault(message.epoch, claimed)",
            "decision = decisions[message.epoch] = claimed",
        )
    ],
    "a restarted witness does not decide": [
        ("witness", "if message.witness_incarnation != self.incarnation:", "if False:"),
        (
            "primary",
            "(sender, sender_incarnation) != (witness.number, witness.incarnation)",
            "sender != witness.number",
        ),
        (
            "backup",
            "(epoch.witness, epoch.witness_incarnation) != (sender, sender_incarnation)",
            "epoch.witness != sender",
        ),
    ],
}
# Needs two primaries and a delayed message: it has a test of its own.
DECLINED = (
    "backup",
    "self.request_count >= self.max_requests or entry.request in epoch.declined",
    "self.request_count >= self.max_requests",
)
# These need a message that arrives after everything else has ended: each has a test of its own.
LATE = {
    "epoch": [("backup", "if message.epoch <= epochs.closed_up_to:", "if False:")],
    "incarnation": [("backup", "if primary_incarnation <= self._terminated.get(primary, 0):", "if False:")],
}
