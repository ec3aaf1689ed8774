"""Waits of a process that stands still, beside others that go on."""

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

# Twice as long as the waits here.
STALL_S = 0.3
WAIT_S = 0.15


@contextmanager
def answer_after(seconds):
    """Yield a stream's socket on which another thread answers after so long."""
    ours, theirs = socket.socketpair()
    with ours, theirs:
        ours.setblocking(False)
        timer = threading.Timer(seconds, theirs.sendall, [b"answer"])
        timer.start()
        yield ours
        timer.join()


async def read(ours):
    return await asyncio.get_running_loop().sock_recv(ours, 100)


def stand_still():
    time.sleep(STALL_S)


class TestAwakeTimeout:
    # An answer that came during a stall was taken for silence.
    async def test_an_answer_that_came_during_a_stall_is_read(self):
        with answer_after(0.02) as ours:
            asyncio.get_running_loop().call_soon(stand_still)
            async with StallAwareTimeout(WAIT_S):
                assert await read(ours) == b"answer"

    async def test_time_without_running_does_not_count(self):
        loop = asyncio.get_running_loop()
        with answer_after(STALL_S + WAIT_S * 0.6) as ours:
            loop.call_soon(stand_still)
            async with StallAwareTimeout(WAIT_S):
                assert await read(ours) == b"answer"

    async def test_several_stalls_add_up(self):
        loop = asyncio.get_running_loop()
        # Of each stall up to one tick is not told from a wait.
        with answer_after(2 * STALL_S + WAIT_S - 2 * TICK_S) as ours:
            loop.call_soon(stand_still)
            loop.call_later(STALL_S + 0.01, stand_still)
            async with StallAwareTimeout(WAIT_S):
                assert await read(ours) == b"answer"

    @pytest.mark.parametrize("stalled", [False, True])
    async def test_silence_ends_the_wait(self, stalled):
        loop = asyncio.get_running_loop()
        if stalled:
            loop.call_soon(stand_still)
        began = loop.time()
        with pytest.raises(TimeoutError):
            async with StallAwareTimeout(WAIT_S):
                await loop.create_future()
        longest_s = WAIT_S + stalled * STALL_S
        assert WAIT_S * 0.9 <= loop.time() - began < longest_s + 0.15

    async def test_a_restart_puts_the_end_off_or_brings_it_nearer(self):
        loop = asyncio.get_running_loop()
        began = loop.time()
        with pytest.raises(TimeoutError):
            async with StallAwareTimeout(5.0) as bound:
                bound.restart(0.01)
                bound.restart(0.2)
                await asyncio.sleep(0.05)
                bound.restart(0.1)
                await loop.create_future()
        assert bound.expired()
        assert 0.14 <= loop.time() - began < 0.5

    async def test_a_wait_that_has_ended_is_not_begun_again(self):
        with pytest.raises(TimeoutError):
            async with StallAwareTimeout(0.01) as bound:
                try:
                    await asyncio.get_running_loop().create_future()
                finally:
                    bound.restart(0.01)
                    await asyncio.sleep(0.05)

    async def test_a_cancellation_from_outside_is_passed_on(self):
        async def wait():
            async with StallAwareTimeout(None):
                await asyncio.get_running_loop().create_future()

        waiting = asyncio.create_task(wait())
        await asyncio.sleep(0)
        waiting.cancel()
        with pytest.raises(asyncio.CancelledError):
            await waiting


class TestAwakeWait:
    async def test_it_tells_whether_the_future_is_done(self):
        loop = asyncio.get_running_loop()
        future = loop.create_future()
        assert not await stall_aware_wait(future, 0.01)
        loop.call_later(0.01, future.set_result, None)
        assert await stall_aware_wait(future, 1.0)

    async def test_a_sleep_is_longer_by_a_stall(self):
        loop = asyncio.get_running_loop()
        began = loop.time()
        loop.call_soon(stand_still)
        await stall_aware_sleep(WAIT_S)
        # The stall is known but for one tick.
        assert loop.time() - began >= STALL_S + WAIT_S - 0.06


class TestDeadlineTimeout:
    # A whole answer was thrown away because its deadline passed during a stall.
    async def test_an_answer_that_is_there_is_given(self):
        loop = asyncio.get_running_loop()
        with answer_after(0.02) as ours:
            loop.call_soon(stand_still)
            async with deadline_timeout(loop.time() + 0.1):
                assert await read(ours) == b"answer"

    async def test_the_deadline_goes_on_during_a_stall(self):
        loop = asyncio.get_running_loop()
        began = loop.time()
        loop.call_soon(stand_still)
        with pytest.raises(TimeoutError):
            async with deadline_timeout(began + STALL_S + 0.05):
                await loop.create_future()
        assert loop.time() - began < STALL_S + 0.2
