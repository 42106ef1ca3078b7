"""The open delegated requests, found by number, by request id and by the name of an attempt."""

from __future__ import annotations

from anisefront.upstream.delegated_checks import DelegatedRequest, parse_number, split_attempt_name


class DelegatedIndex:
    """Index of the open delegated requests.

    Attributes:
        by_number: By their number in the request table.
        by_request_id: Their numbers by request id, then by customer. Clients choose the ids: if an id had to be unique
            across customers, one customer could block another's requests.
    """

    def __init__(self, incarnation: str) -> None:
        """Create an empty index; `incarnation` names this process in the names of attempts."""
        self._incarnation = incarnation
        self.by_number: dict[int, DelegatedRequest] = {}
        self.by_request_id: dict[str, dict[str, int]] = {}

    def add(self, request: DelegatedRequest) -> None:
        """Add a request."""
        self.by_number[request.number] = request
        if request.request_id:
            self.by_request_id.setdefault(request.request_id, {})[request.customer] = request.number

    def remove(self, request: DelegatedRequest) -> None:
        """Remove a request, unless it was removed before."""
        self.by_number.pop(request.number, None)
        numbers = self.by_request_id.get(request.request_id, {})
        if numbers.get(request.customer) == request.number:
            del numbers[request.customer]
            if not numbers:
                del self.by_request_id[request.request_id]

    def get(self, number: int) -> DelegatedRequest | None:
        """Return a request by its number."""
        return self.by_number.get(number)

    def find(self, request_id: str, customer: str) -> DelegatedRequest | None:
        """Return a customer's request by its request id."""
        number = self.by_request_id.get(request_id, {}).get(customer)
        return None if number is None else self.by_number[number]

    def find_sole(self, request_id: str) -> DelegatedRequest | None:
        """Return the request with this request id, if only one customer has one."""
        numbers = self.by_request_id.get(request_id, {})
        if len(numbers) != 1:
            return None
        return self.by_number.get(next(iter(numbers.values())))

    def find_attempt(self, name: str) -> DelegatedRequest | None:
        """Return the request whose last attempt has this name."""
        parts = split_attempt_name(name)
        if parts.incarnation != self._incarnation:
            return None
        number = parse_number(parts.request)
        request = None if number is None else self.by_number.get(number)
        return request if request is not None and request.attempt_number == parse_number(parts.attempt) else None
