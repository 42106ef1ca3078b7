"""Parsers and writers free of I/O: bytes in, typed events out; events in, bytes out."""
