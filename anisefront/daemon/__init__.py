"""Process lifecycle and wiring of a gateway instance: start, reload, drain and exit, logs and state report."""
