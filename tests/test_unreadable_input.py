"""Input from peers and proxies that cannot be read is rejected, and raises nothing."""

from anisefront.daemon.request_records import decode_response
from anisefront.upstream.delegated_index import DelegatedIndex


def test_input_that_cannot_be_read_is_rejected_instead_of_raising():
    """A response whose first element is an object, and an attempt whose number is a digit but no decimal one."""
    raised = []
    for read, data in (
        (decode_response, b'[{},"",0,false,0,""]'),
        (DelegatedIndex("life").find_attempt, "life.1.²"),
    ):
        try:
            assert read(data) is None
        except (KeyError, ValueError) as error:
            raised.append(repr(error))
    assert raised == []
