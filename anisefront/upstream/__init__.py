"""Attempt handlers: attempts are sent by the proxy that asked, or over this gateway instance's own connections."""
