"""Server side of the protocols of clients, proxies and load balancers; makes no decision about a request."""
