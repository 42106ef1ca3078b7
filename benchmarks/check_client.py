"""Load on a check server: one connection with a number of concurrent checks, each allowed one logged.

    python -m benchmarks.check_client ADDRESS STREAMS SECONDS CUSTOMERS

Prints one JSON line: allowed checks whose outcome was written to the log stream, and latencies in microseconds.
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

LOG_INTERVAL_S = 0.02  # a proxy writes its log entries in batches


async def main(address, streams, seconds, customers):
    """Send checks from so many concurrent streams and print the result."""
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
    warm_up_end = time.perf_counter() + seconds / 5
    end = warm_up_end + seconds

    async def send_checks(number):
        """Send one check after another until the end of the run."""
        sequence = 0
        while time.perf_counter() < end:
            sequence += 1
            request = external_auth_pb2.CheckRequest()
            http = request.attributes.request.http
            http.method, http.path, http.host = "GET", "/stock-view", "stalls.example"
            http.headers.update(
                {
                    "x-api-key": f"stall-{(number * 31 + sequence) % customers}",
                    "x-request-id": f"{os.getpid()}-{number}-{sequence}",
                    ":method": "GET",
                    "user-agent": "tablet/1.0",
                    "accept": "application/json",
                }
            )
            began = time.perf_counter()
            response = await check(request)
            ended = time.perf_counter()
            if response.status.code:
                counts["denied"] += 1
                continue
            token = next(o.header.value for o in response.ok_response.headers if o.header.key == "x-anisefront-attempt")
            pending.append((token, began >= warm_up_end))
            if began >= warm_up_end and ended <= end:
                counts["allowed"] += 1
                histogram.record_value(int((ended - began) * 1e6))

    async def write_logs():
        """Write the outcomes of allowed checks to the log stream in batches."""
        while time.perf_counter() < end or pending:
            await asyncio.sleep(LOG_INTERVAL_S)
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

    await asyncio.gather(write_logs(), *(send_checks(number) for number in range(streams)))
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
