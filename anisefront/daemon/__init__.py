"""Lifecycle of the process and wiring of a gateway instance: start, reload, drain and end, logs and state report."""
