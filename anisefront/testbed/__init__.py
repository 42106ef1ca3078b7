"""The laboratory: stand-ins for workers, proxies and clients, trouble by script, and the auditor."""
