"""Logs under load, and with a reader that stops reading."""

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


def read(reader):
    os.set_blocking(reader, False)
    data = b""
    while True:
        try:
            data += os.read(reader, 1 << 20)
        except BlockingIOError:
            return data


def parsed(data):
    return [json.loads(line) for line in data.splitlines()]


class TestLogPipe:
    async def test_a_reader_that_stalls_holds_nobody_up(self, pipe, monkeypatch):
        monkeypatch.setattr(log_pipe, "LINES_PER_S", 1_000_000)
        reader, writer = pipe
        log = LogPipe(writer)
        began = time.monotonic()
        for number in range(20_000):
            log.write({"message": "a", "number": number, "filler": "x" * 100})
        assert time.monotonic() - began < 2.0
        data = read(reader)
        # Once there is room the rest of what was kept follows.
        for _ in range(10):
            await asyncio.sleep(0.01)
            data += read(reader)
        first = parsed(data)
        assert [entry["number"] for entry in first] == list(range(len(first)))
        assert len(first) < 20_000

    async def test_what_was_left_out_is_told_with_its_number(self, pipe):
        reader, writer = pipe
        log = LogPipe(writer)
        # At the start of a second, so that all lines fall into one.
        await asyncio.sleep(1.0 - time.monotonic() % 1)
        for _ in range(LINES_PER_S + 50):
            log.write({"message": "many"})
        await asyncio.sleep(1.0)
        log.write({"message": "other"})
        lines = parsed(read(reader))
        left_out = [entry["left_out"] for entry in lines if "left_out" in entry]
        assert left_out == [{"many": 50}]

    async def test_the_line_of_a_failed_request_is_never_left_out(self, pipe):
        reader, writer = pipe
        log = LogPipe(writer)
        for number in range(3 * LINES_PER_S):
            log.write({"message": "requests: Refused.", "id": number})
        assert len(parsed(read(reader))) == 3 * LINES_PER_S


class TestMetrics:
    def test_counters_gauges_and_histograms_as_text(self):
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
