"""Waits of a process that stalls while other processes keep running."""

import asyncio
import socket
import threading
import time
from contextlib import contextmanager

import pytest

from eelgrass_coordination import (
    StallAwareTimeout,
    deadline_timeout,
    stall_aware_sleep,
    stall_aware_wait,
)
from eelgrass_coordination.running_time import TICK_S

# Twice as long as ``WAIT_S``, so that a plain timeout would expire during a stall.
STALL_S = 0.3
WAIT_S = 0.15


@contextmanager
def answer_after(seconds):
    """Yield a socket on which another thread answers after ``seconds``."""
    our_end, their_end = socket.socketpair()
    with our_end, their_end:
        our_end.setblocking(False)
        timer = threading.Timer(seconds, their_end.sendall, [b"answer"])
        timer.start()
        yield our_end
        timer.join()


async def read(our_end):
    return await asyncio.get_running_loop().sock_recv(our_end, 100)


def stall():
    time.sleep(STALL_S)


class TestStallAwareTimeout:
    # A plain timeout mistakes an answer that arrives during a stall for silence.
    async def test_an_answer_that_arrived_during_a_stall_is_read(self):
        with answer_after(0.02) as our_end:
            asyncio.get_running_loop().call_soon(stall)
            async with StallAwareTimeout(WAIT_S):
                assert await read(our_end) == b"answer"

    async def test_stalled_time_does_not_count(self):
        loop = asyncio.get_running_loop()
        with answer_after(STALL_S + WAIT_S * 0.6) as our_end:
            loop.call_soon(stall)
            async with StallAwareTimeout(WAIT_S):
                assert await read(our_end) == b"answer"

    async def test_several_stalls_add_up(self):
        loop = asyncio.get_running_loop()
        # Up to one tick of each stall is counted as running time.
        with answer_after(2 * STALL_S + WAIT_S - 2 * TICK_S) as our_end:
            loop.call_soon(stall)
            loop.call_later(STALL_S + 0.01, stall)
            async with StallAwareTimeout(WAIT_S):
                assert await read(our_end) == b"answer"

    @pytest.mark.parametrize("stalled", [False, True])
    async def test_silence_ends_the_wait(self, stalled):
        loop = asyncio.get_running_loop()
        if stalled:
            loop.call_soon(stall)
        started_at = loop.time()
        with pytest.raises(TimeoutError):
            async with StallAwareTimeout(WAIT_S):
                await loop.create_future()
        longest_s = WAIT_S + stalled * STALL_S
        assert WAIT_S * 0.9 <= loop.time() - started_at < longest_s + 0.15

    async def test_a_restart_extends_or_shortens_the_timeout(self):
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        with pytest.raises(TimeoutError):
            async with StallAwareTimeout(5.0) as timeout:
                timeout.restart(0.01)
                timeout.restart(0.2)
                await asyncio.sleep(0.05)
                timeout.restart(0.1)
                await loop.create_future()
        assert timeout.expired()
        assert 0.14 <= loop.time() - started_at < 0.5

    async def test_an_expired_timeout_is_not_restarted(self):
        with pytest.raises(TimeoutError):
            async with StallAwareTimeout(0.01) as timeout:
                try:
                    await asyncio.get_running_loop().create_future()
                finally:
                    timeout.restart(0.01)
                    await asyncio.sleep(0.05)

    async def test_an_outer_cancellation_is_passed_on(self):
        async def wait():
            async with StallAwareTimeout(None):
                await asyncio.get_running_loop().create_future()

        waiting = asyncio.create_task(wait())
        await asyncio.sleep(0)
        waiting.cancel()
        with pytest.raises(asyncio.CancelledError):
            await waiting


class TestStallAwareWait:
    async def test_it_returns_whether_the_future_is_done(self):
        loop = asyncio.get_running_loop()
        future = loop.create_future()
        assert not await stall_aware_wait(future, 0.01)
        loop.call_later(0.01, future.set_result, None)
        assert await stall_aware_wait(future, 1.0)

    async def test_a_sleep_is_extended_by_a_stall(self):
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        loop.call_soon(stall)
        await stall_aware_sleep(WAIT_S)
        # The length of the stall is known to within one tick.
        assert loop.time() - started_at >= STALL_S + WAIT_S - 0.06


class TestDeadlineTimeout:
    # A plain timeout discards a complete answer if its deadline passes during a stall.
    async def test_an_answer_that_has_arrived_is_delivered(self):
        loop = asyncio.get_running_loop()
        with answer_after(0.02) as our_end:
            loop.call_soon(stall)
            async with deadline_timeout(loop.time() + 0.1):
                assert await read(our_end) == b"answer"

    async def test_the_deadline_keeps_running_during_a_stall(self):
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        loop.call_soon(stall)
        with pytest.raises(TimeoutError):
            async with deadline_timeout(started_at + STALL_S + 0.05):
                await loop.create_future()
        assert loop.time() - started_at < STALL_S + 0.2
