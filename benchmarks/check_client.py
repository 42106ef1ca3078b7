"""The load on a server of checks: one connection, so many checks under way at a time, each allowed one logged.

    python -m benchmarks.check_client ADDRESS STREAMS SECONDS CUSTOMERS
Prints one JSON line: checks allowed whose outcome was written to the log stream, and latencies in microseconds.
"""

import asyncio
import json
import os
import sys
import time

import grpc
from envoy.service.accesslog.v3 import als_pb2
from envoy.service.auth.v3 import external_auth_pb2
from hdrh.histogram import HdrHistogram

LOG_EVERY_S = 0.02  # a proxy writes what it has collected


async def main(address, streams, seconds, customers):
    channel = grpc.aio.insecure_channel(address)
    check = channel.unary_unary(
        "/envoy.service.auth.v3.Authorization/Check",
        external_auth_pb2.CheckRequest.SerializeToString,
        external_auth_pb2.CheckResponse.FromString,
    )
    log = channel.stream_unary(
        "/envoy.service.accesslog.v3.AccessLogService/StreamAccessLogs",
        als_pb2.StreamAccessLogsMessage.SerializeToString,
        als_pb2.StreamAccessLogsResponse.FromString,
    )()
    histogram = HdrHistogram(1, 60_000_000, 3)
    pending, counts = [], {"allowed": 0, "denied": 0, "logged": 0}
    warm = time.perf_counter() + seconds / 5
    end = warm + seconds

    async def ask(number):
        turn = 0
        while time.perf_counter() < end:
            turn += 1
            request = external_auth_pb2.CheckRequest()
            http = request.attributes.request.http
            http.method, http.path, http.host = "GET", "/stock-view", "stalls.example"
            http.headers.update(
                {
                    "x-api-key": f"stall-{(number * 31 + turn) % customers}",
                    "x-request-id": f"{os.getpid()}-{number}-{turn}",
                    ":method": "GET",
                    "user-agent": "tablet/1.0",
                    "accept": "application/json",
                }
            )
            began = time.perf_counter()
            answer = await check(request)
            ended = time.perf_counter()
            if answer.status.code:
                counts["denied"] += 1
                continue
            token = next(o.header.value for o in answer.ok_response.headers if o.header.key == "x-anisefront-attempt")
            pending.append((token, began >= warm))
            if began >= warm and ended <= end:
                counts["allowed"] += 1
                histogram.record_value(int((ended - began) * 1e6))

    async def write_logs():
        while time.perf_counter() < end or pending:
            await asyncio.sleep(LOG_EVERY_S)
            while pending:
                batch = pending[:200]
                del pending[:200]
                message = als_pb2.StreamAccessLogsMessage()
                for token, counted in batch:
                    entry = message.http_logs.log_entry.add()
                    entry.request.request_headers["x-anisefront-attempt"] = token
                    entry.response.response_code.value = 200
                    entry.common_properties.time_to_first_upstream_tx_byte.FromMicroseconds(100)
                    entry.common_properties.time_to_last_upstream_rx_byte.FromMicroseconds(5000)
                    counts["logged"] += counted
                await log.write(message)
        await log.done_writing()
        await log

    await asyncio.gather(write_logs(), *(ask(number) for number in range(streams)))
    counted = min(counts["allowed"], counts["logged"])
    print(
        json.dumps(
            {
                "checks": counted,
                "seconds": seconds,
                "denied": counts["denied"],
                "p50": histogram.get_value_at_percentile(50),
                "p99": histogram.get_value_at_percentile(99),
                "p99.9": histogram.get_value_at_percentile(99.9),
            }
        )
    )
    await channel.close()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], int(sys.argv[2]), float(sys.argv[3]), int(sys.argv[4])))
