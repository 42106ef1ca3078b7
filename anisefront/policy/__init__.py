"""Decisions on requests: quotas, priorities, choice of endpoints, retries.

`controller.Controller` turns events into actions. The package is deterministic, does no I/O and needs only the
standard library.
"""
