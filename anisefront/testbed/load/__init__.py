"""An open-loop load generator: schedule, sender processes, and latencies measured from the scheduled times."""
