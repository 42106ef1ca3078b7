"""Gateway instance for the RESP platform: frontend, requests to workers, discovery, peer datagrams, configuration."""
