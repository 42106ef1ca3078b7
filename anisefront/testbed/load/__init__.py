"""An open-loop load tool: what is to be sent when, the senders, and honest latencies."""
