"""Peers of a gateway instance: membership, replication of requests in flight, datagrams, the endpoint file.

The modules decide without I/O and clocks; `daemon/` connects them to sockets and timers.
"""
