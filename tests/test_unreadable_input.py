"""Invalid input from peers, proxies, endpoints and clients is rejected without an exception."""

from wire_samples import jsonrpc_response

from anisefront.daemon.request_records import decode_response
from anisefront.protocols import orca
from anisefront.upstream.delegated_index import DelegatedIndex

HUGE = "1" + "0" * 400
SURROGATE_ID = b'{"jsonrpc":"2.0","method":"state","id":"\\ud800"}\n'
SURROGATE_NAME = b'{"jsonrpc":"2.0","method":"call","params":{"\\ud800":1},"id":1}\n'


def test_invalid_input_is_rejected_instead_of_raising():
    """Invalid values in a stored response, an attempt token, a load report, and a JSON-RPC id and parameter."""
    raised = []
    find_attempt = DelegatedIndex("life").find_attempt
    for read, data in (
        (decode_response, b'[{},"",0,false,0,""]'),
        (find_attempt, "life.1.²"),
        (orca.decode_report, {"endpoint-load-metrics": f'JSON {{"eps": {HUGE}}}'}),
        (jsonrpc_response, SURROGATE_ID),
        (jsonrpc_response, SURROGATE_NAME),
    ):
        try:
            result = read(data)
            assert result is None or read not in (decode_response, find_attempt)
        except (KeyError, ValueError, OverflowError) as error:
            raised.append(f"{data!r:.40}: {error!r:.60}")
    assert raised == []
