"""Simulation of a fleet whose gatekeepers run the real controller, with fitting, comparison, search and reports."""
