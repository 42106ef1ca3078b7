"""Speed and memory, side by side in one run. Never part of the tests."""
