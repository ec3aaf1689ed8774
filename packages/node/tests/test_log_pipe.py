"""Log lines under load and with a stalled reader, and the text of the metrics."""

import asyncio
import json
import os
import time

import pytest

from eelgrass_node import log_pipe
from eelgrass_node.log_pipe import LINES_PER_S, LogPipe
from eelgrass_node.process.counters import Counters
from eelgrass_node.process.metrics import Gauge, Metrics


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def read_available(reader):
    os.set_blocking(reader, False)
    data = b""
    while True:
        try:
            data += os.read(reader, 1 << 20)
        except BlockingIOError:
            return data


def parse_lines(data):
    return [json.loads(line) for line in data.splitlines()]


class TestLogPipe:
    async def test_a_stalled_reader_does_not_block_writers(self, pipe, monkeypatch):
        monkeypatch.setattr(log_pipe, "LINES_PER_S", 1_000_000)
        reader, writer = pipe
        log = LogPipe(writer)
        began = time.monotonic()
        for number in range(20_000):
            log.write({"message": "a", "number": number, "filler": "x" * 100})
        assert time.monotonic() - began < 2.0
        data = read_available(reader)
        # The rest of the buffered lines follows once the pipe is writable again.
        for _ in range(10):
            await asyncio.sleep(0.01)
            data += read_available(reader)
        written = parse_lines(data)
        assert [entry["number"] for entry in written] == list(range(len(written)))
        assert len(written) < 20_000

    async def test_the_number_of_dropped_lines_is_logged(self, pipe):
        reader, writer = pipe
        log = LogPipe(writer)
        # Begin at the start of a second, so that all lines fall into the same one.
        await asyncio.sleep(1.0 - time.monotonic() % 1)
        for _ in range(LINES_PER_S + 50):
            log.write({"message": "many"})
        await asyncio.sleep(1.0)
        log.write({"message": "other"})
        lines = parse_lines(read_available(reader))
        dropped = [entry["left_out"] for entry in lines if "left_out" in entry]
        assert dropped == [{"many": 50}]

    async def test_lines_of_failed_requests_have_no_rate_limit(self, pipe):
        reader, writer = pipe
        log = LogPipe(writer)
        for number in range(3 * LINES_PER_S):
            log.write({"message": "requests: Refused.", "id": number})
        assert len(parse_lines(read_available(reader))) == 3 * LINES_PER_S


class TestMetrics:
    def test_the_text_has_counters_gauges_and_histograms(self):
        counters = Counters()
        counters.count("retry.connect_failed", 3)
        gauges = [
            Gauge("servers", "Servers.", 2.0, "service", "s1"),
            Gauge("servers", "Servers.", 3.0, "service", "s2"),
            Gauge("in_flight", "Requests.", 7.0),
        ]
        metrics = Metrics(counters, lambda: gauges)
        metrics.record_request("answered", 0.3)
        metrics.record_stages("r1", 0.2)
        metrics.record_wait("s1", 0.01)
        text = metrics.text().decode()
        assert 'eelgrassward_events_total{kind="retry.connect_failed"} 3.0' in text
        assert 'eelgrassward_servers{service="s2"} 3.0' in text
        assert "eelgrassward_in_flight 7.0" in text
        assert (
            'eelgrassward_request_seconds_bucket{le="0.4",outcome="answered"} 1.0'
            in text
        )
