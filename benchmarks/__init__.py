"""Benchmarks of speed and memory, each against a baseline in the same run. They are not part of the tests."""
