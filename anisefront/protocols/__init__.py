"""Sans-I/O codecs: they parse bytes to typed events and encode events to bytes, and import nothing of the project."""
