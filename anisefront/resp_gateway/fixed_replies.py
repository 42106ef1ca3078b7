"""Replies to commands that never become requests."""

from __future__ import annotations

from anisefront.resp_gateway.reply_queue import PendingReply
from anisefront.resp_gateway.resp_requests import encode_rejection

RETRY_AFTER_MS = 250.0  # in the reply to a command that is rejected for lack of capacity
MAX_ERROR_VERB = 20  # bytes of an unknown command's name in its error reply
PONG = b"+PONG\r\n"
OK = b"+OK\r\n"
REJECTED = PendingReply(encode_rejection(RETRY_AFTER_MS))  # shared by all of them: a flood costs a pointer each
