"""Baseline for the gateway: a bare grpcio asyncio server that allows every check and discards the access logs."""

import asyncio
import json
import sys

import grpc
from envoy.service.accesslog.v3 import als_pb2
from envoy.service.auth.v3 import external_auth_pb2

ALLOW = external_auth_pb2.CheckResponse()
ALLOW.status.code = 0
for name, value in (("x-envoy-original-dst-host", "127.0.0.1:1"), ("x-anisefront-attempt", "bare.1.0")):
    option = ALLOW.ok_response.headers.add()
    option.header.key, option.header.value = name, value


async def check(request, context):
    """Allow the check."""
    return ALLOW


async def discard_logs(messages, context):
    """Read the log stream to its end."""
    async for _ in messages:
        pass
    return als_pb2.StreamAccessLogsResponse()


async def main():
    """Serve on a free loopback port and print its address as JSON."""
    server = grpc.aio.server()
    server.add_generic_rpc_handlers(
        (
            grpc.method_handlers_generic_handler(
                "envoy.service.auth.v3.Authorization",
                {
                    "Check": grpc.unary_unary_rpc_method_handler(
                        check,
                        external_auth_pb2.CheckRequest.FromString,
                        external_auth_pb2.CheckResponse.SerializeToString,
                    )
                },
            ),
            grpc.method_handlers_generic_handler(
                "envoy.service.accesslog.v3.AccessLogService",
                {
                    "StreamAccessLogs": grpc.stream_unary_rpc_method_handler(
                        discard_logs,
                        als_pb2.StreamAccessLogsMessage.FromString,
                        als_pb2.StreamAccessLogsResponse.SerializeToString,
                    )
                },
            ),
        )
    )
    port = server.add_insecure_port("127.0.0.1:0")
    await server.start()
    print(json.dumps({"grpc": f"127.0.0.1:{port}"}), flush=True)
    await server.wait_for_termination()


if __name__ == "__main__":
    asyncio.run(main())
    sys.exit(0)
