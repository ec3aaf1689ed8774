"""Payloads of other protocols that share the socket of the membership protocol."""

import asyncio

import msgspec
import pytest

from eelgrass_coordination.datagrams import PAYLOAD_PREFIX, Datagrams
from eelgrass_coordination.members import Member
from eelgrass_coordination.membership import Membership
from eelgrass_coordination.messages import Message
from eelgrass_standins.ports import free_addresses


def member(name, address):
    return Member(name, "a", f"{name}:1", address, epoch=1)


class TestPayloads:
    async def test_a_payload_arrives_with_the_address_of_its_sender(self):
        received = []
        first, second = free_addresses(2)
        sender, receiver = Datagrams(lambda _: None), Datagrams(lambda _: None)
        receiver.on_payload = lambda *arguments: received.append(arguments)
        await sender.open(first)
        await receiver.open(second)
        sender.send_payload(second, b'["any"]')
        async with asyncio.timeout(1):
            while not received:  # noqa: ASYNC110
                await asyncio.sleep(0.001)
        assert received == [(b'["any"]', first)]
        sender.close()
        receiver.close()
        sender.send_payload(second, b"after the end")

    # Guards against payloads that nodes of an earlier release take for messages.
    @pytest.mark.parametrize("payload", [b"", b"{}", b'["any"]'])
    def test_a_payload_is_no_message(self, payload):
        with pytest.raises(msgspec.MsgspecError):
            msgspec.json.decode(PAYLOAD_PREFIX + payload, type=Message)

    # Guards against a node that can no longer be asked while it ends its last requests.
    async def test_payloads_pass_after_a_node_has_left(self):
        received = []
        first, second = free_addresses(2)
        left = Membership(member("n1", first), interval_s=0.05)
        other = Membership(member("n2", second), [first], interval_s=0.05)
        left.datagrams.on_payload = lambda payload, address: received.append(payload)
        await left.start()
        await other.start()
        await left.leave()
        other.datagrams.send_payload(first, b"still there?")
        async with asyncio.timeout(1):
            while not received:  # noqa: ASYNC110
                await asyncio.sleep(0.001)
        await left.stop()
        await other.stop()
