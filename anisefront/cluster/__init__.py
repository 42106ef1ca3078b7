"""Peers of a gateway instance: membership, replication of requests in flight, datagrams, the endpoint file.

The modules perform no I/O and read no clock; `daemon/` connects them to sockets and timers.
"""
