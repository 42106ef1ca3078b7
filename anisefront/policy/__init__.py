"""Decisions on requests: quotas, priorities, choice of endpoints, retries.

`controller.Controller` turns events into actions. The package is deterministic, has no I/O and needs the standard
library only.
"""
