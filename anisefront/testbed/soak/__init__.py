"""Soak tests of planned restarts under load: processes of `anisefront node`, judged by the traffic on their sockets.

`make soak` runs them from seeds. Not covered: the command `serve` with backups; workers that vanish or become
unreachable without closing their connections; answers of several parts; `peers_all`.
"""
