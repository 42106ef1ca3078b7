"""The protocols that clients, proxies and balancers speak to a gatekeeper. No decision about a request."""
