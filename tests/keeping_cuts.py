"""Guards of the deciding code, each with the line that takes it out. The searches must find every one."""

CUTS = {
    "the origin waits for the keeper's word": [("origin", "return not work.taken.bound", "return True")],
    "a refusal waits for it too": [("origin", "if work is None or link is None or not work.taken.bound:", "if True:")],
    "an origin that lost a request sends no more": [
        (
            "origin",
            """        if work.lost:
            return False
        work.sent""",
            "        work.sent",
        )
    ],
    "work moves after the witness's word": [("origin", "if not self._works[request].taken.bound:  #", "if True:  #")],
    "only the keeper's own life acknowledges": [
        (
            "origin",
            "of_keeper = (sender, life) == (link.keeper.number, link.keeper.life)",
            "of_keeper = sender == link.keeper.number",
        ),
        ("keeper", "if message.keeper_life != self.life:", "if False:"),
    ],
    "what is taken over is not acknowledged": [
        ("keeper", "if epoch.state is _State.CLOSED:\n            self.out", "if False:\n            self.out")
    ],
    "the keeper asks the witness": [("keeper", "if epoch.witness < 0:", "if True:")],
    "entries are taken in their order": [("keeper", "if number == epoch.upto + 1:", "if number > epoch.upto:")],
    "the witness gives one word": [
        ("keeper", "word = ruled.setdefault(message.epoch, closed)", "word = ruled[message.epoch] = closed")
    ],
    "a new life of the witness gives none": [
        ("keeper", "or message.witness_life != self.life:", "or False:"),
        ("origin", "(sender, life) != (witness.number, witness.life)", "sender != witness.number"),
        ("keeper", "(epoch.witness, epoch.witness_life) == (sender, life)", "epoch.witness == sender"),
    ],
}
# This one wants two origins and a word that is late: it has a test of its own.
DECLINED = ("keeper", "self.count >= self.most or entry.request in epoch.declined)", "self.count >= self.most)")
# These want a message that comes after all else was over: each has a test of its own.
LATE = {
    "epoch": [("keeper", "if message.epoch <= of_life.floor:", "if False:")],
    "life": [("keeper", "if life <= self._over.get(sender, 0):", "if False:")],
}
