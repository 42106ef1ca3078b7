"""The test bed: simulated workers, proxies and clients, scripted fault injection, and the auditor of the results."""
