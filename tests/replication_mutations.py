"""Guards of the deciding code, each with the line that takes it out. The searches must find every one."""

CUTS = {
    "the origin waits for the keeper's word": [("primary", "return not requires_ack", "return True")],
    "a refusal waits for it too": [
        ("primary", "if local.epoch not in self._sender.logs or not local.accepted.requires_ack:", "if True:")
    ],
    "an origin that lost a request sends no more": [
        (
            "primary",
            """        if local.lost:
            return False
        local.attempts""",
            "        local.attempts",
        )
    ],
    "work moves after the witness's word": [
        ("primary", "if not self._requests[request].accepted.requires_ack:  #", "if True:  #")
    ],
    "only the keeper's own life acknowledges": [
        (
            "primary",
            "from_backup = (sender, sender_incarnation) == (log.backup.number, log.backup.incarnation)",
            "from_backup = sender == log.backup.number",
        ),
        ("backup", "if message.backup_incarnation != self.incarnation:", "if False:"),
    ],
    "what is taken over is not acknowledged": [
        ("backup", "if epoch.state is EpochState.CLAIMED:\n            self._send", "if False:\n            self._send")
    ],
    "the keeper asks the witness": [("backup", "if epoch.witness < 0:", "if True:")],
    "entries are taken in their order": [
        ("backup", "if sequence == epoch.last_sequence + 1:", "if sequence > epoch.last_sequence:")
    ],
    "the witness gives one word": [
        (
            "witness",
            "decision = decisions.setdefault(message.epoch, claimed)",
            "decision = decisions[message.epoch] = claimed",
        )
    ],
    "a new life of the witness gives none": [
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
# This one wants two origins and a word that is late: it has a test of its own.
DECLINED = (
    "backup",
    "self.request_count >= self.max_requests or entry.request in epoch.declined",
    "self.request_count >= self.max_requests",
)
# These want a message that comes after all else was over: each has a test of its own.
LATE = {
    "epoch": [("backup", "if message.epoch <= epochs.closed_up_to:", "if False:")],
    "life": [("backup", "if primary_incarnation <= self._terminated.get(primary, 0):", "if False:")],
}
