"""Peers and the roster: who else is there. What is decided here is free of I/O."""
