"""Submits the requests of JSON-RPC calls: routes each one and has this instance carry its attempts out."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from anisefront.frontends.jsonrpc_params import parse_params
from anisefront.gateway.request_terms import RequestTerms
from anisefront.gateway.routing import Router
from anisefront.upstream.direct_requests import DirectRequests, FinalResponse

DRAINING_RETRY_AFTER_MS = 1000.0


class CallDispatcher:
    """State that the calls of all connections share."""

    def __init__(
        self,
        router: Callable[[], Router],
        requests: DirectRequests,
        now_ms: Callable[[], float],
        gateways_of: Callable[[str], tuple[int, int]],
        state: Callable[[], dict[str, Any]],
    ) -> None:
        """Create the dispatcher.

        Args:
            router: Returns the current routes.
            requests: The requests whose attempts this instance carries out.
            now_ms: The clock of deadlines.
            gateways_of: Returns the first gateway instance of a customer's set, and their number.
            state: Returns the state report of this instance.
        """
        self.router = router
        self.requests = requests
        self.now_ms = now_ms
        self.gateways_of = gateways_of
        self.state = state
        self.draining = False  # new requests are rejected; accepted ones continue

    def submit(self, params: Any, on_response: Callable[[FinalResponse], None]) -> int | None:
        """Submit the request that the parameters describe.

        Args:
            params: The `params` member of the call.
            on_response: Called with the final response, possibly before this method returns.

        Returns:
            The number of the request, None if it was not accepted.

        Raises:
            InvalidParamsError: A parameter is wrong.
            UnroutableRequestError: No route or key covers the request.
        """
        request, host = parse_params(params)
        mapped = self.router().route(request.method, host, request.target, request.headers)
        request = replace(request, target=mapped.target)
        if self.draining:
            on_response(FinalResponse(is_rejected=True, retry_after_ms=DRAINING_RETRY_AFTER_MS, reason="draining"))
            return None
        first_gateway, spread = self.gateways_of(mapped.customer)
        terms = RequestTerms(
            mapped.customer,
            mapped.class_name,
            mapped.plan,
            self.now_ms() + mapped.deadline_ms,
            mapped.units,
            first_gateway,
            spread,
            mapped.is_retry,
        )
        return self.requests.accept(request, on_response, terms)

    def cancel(self, number: int) -> None:
        """Cancel a request: its client no longer waits for the response."""
        self.requests.client_disconnected(number)
