"""The lifecycle of requests between frontends, attempt handlers and the controller, and the routing of requests."""
