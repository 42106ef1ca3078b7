"""Request lifecycle between frontends, attempt handlers and the controller, and routing of requests."""
