"""Planned restarts under load: processes of `anisefront node`, judged by what crossed the sockets around them.

`make soak` plays them by their seeds. What is neither played nor audited: the form `serve` with backups; workers that
vanish or are cut off without a word; answers of several parts; `peers_all`.
"""
