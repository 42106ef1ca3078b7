"""The platform's protocol, both sides: RESP, terms, front, carrier, discovery, peers, and the gatekeeper of them."""
