"""anisefront: the decisions of a quota-keeping gateway for a shared API."""
