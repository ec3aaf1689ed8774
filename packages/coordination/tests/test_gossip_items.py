"""Gossip items of a member: each version is new once, and their number is bounded."""

from eelgrass_coordination import gossip_items as gossip_items_module
from eelgrass_coordination.gossip_items import GossipItems
from eelgrass_coordination.messages import GossipItem


class TestGossipItems:
    def test_an_item_is_new_once_and_again_with_a_greater_number(self):
        items = GossipItems()
        assert items.apply(GossipItem("kind", "name", 2), period=0, times=1)
        assert not items.apply(GossipItem("kind", "name", 2), period=0, times=1)
        assert not items.apply(GossipItem("kind", "name", 1), period=0, times=1)
        assert items.apply(GossipItem("kind", "name", 3), period=0, times=1)
        assert items.next_to_send(8) == (GossipItem("kind", "name", 3),)
        assert items.next_to_send(8) == ()

    def test_the_number_of_remembered_items_is_bounded(self, monkeypatch):
        """A caller that keeps sending new poison requests adds an item for each."""
        monkeypatch.setattr(gossip_items_module, "MAX_ITEMS", 4)
        items = GossipItems()
        for number in range(20):
            items.apply(GossipItem("kind", f"name-{number}", 1), period=0, times=1)
        assert [item.name for item in items.all()] == [
            f"name-{n}" for n in range(16, 20)
        ]
