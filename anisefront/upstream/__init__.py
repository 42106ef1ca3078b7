"""Attempts: sent by the proxy that asked, or over connections of this gateway instance."""
