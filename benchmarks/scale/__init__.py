"""Scale benchmark: real and simulated gateways, one axis at a time, with fits and predictions (`make scale`)."""
